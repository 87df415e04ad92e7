package dispatch

import (
	"slices"
	"time"
)

// Flapping detection excludes machines that repeatedly crash and return. Such a machine is
// empty each time it returns, so waiting work on a full deployment starts there and is lost
// with it: the machine attracts work as long as it flaps, and the same healthy tasks lose one
// worker after another. A machine that crashed twice within crashMemory gets no new work.
// Crashes attributed to a task that failed permanently are not counted against the machine.
// Machines that crash together indicate an outage rather than a faulty task.

const (
	// crashMemory is how long a machine's crash counts.
	crashMemory = 30 * time.Second
	// flappingAfter is the number of crashes within crashMemory after which a machine gets no
	// new work.
	flappingAfter = 2
	// maxFlappingDivisor limits the exclusion: if more than one in this many workers of a pool is
	// flapping, none is excluded.
	maxFlappingDivisor = 4
	// outageMinMachines is the number of machines that must crash within outageWindow of a
	// crash for it to count as part of an outage.
	outageMinMachines = 5
	outageWindow      = time.Second
)

// machineCrash is one crash of a worker's machine, with the attempts that ran on it.
type machineCrash struct {
	at       time.Time
	attempts []int64
	jobs     []*job
}

// recordMachineCrash records the crash of a worker.
func (c *Core) recordMachineCrash(w *worker) {
	for addr, list := range c.machineCrashes {
		list = slices.DeleteFunc(list, func(m machineCrash) bool { return c.now.Sub(m.at) >= crashMemory })
		c.setMachineCrashes(addr, list)
	}
	crash := machineCrash{at: c.now}
	for _, r := range w.runs {
		crash.add(r.task, r.attempt)
	}
	for _, lost := range w.lostAttempts {
		crash.add(lost.task, lost.attempt)
	}
	c.machineCrashes[w.Addr] = append(c.machineCrashes[w.Addr], crash)
}

func (m *machineCrash) add(t *task, attempt int64) {
	m.attempts = append(m.attempts, attempt)
	m.jobs = append(m.jobs, t.step.job)
}

// inOutage reports whether many machines that ran nothing of the job crashed at about the given
// time.
func (c *Core) inOutage(j *job, at time.Time) bool {
	count := 0
	for _, list := range c.machineCrashes {
		if slices.ContainsFunc(list, func(m machineCrash) bool {
			return m.at.Sub(at).Abs() <= outageWindow && !slices.Contains(m.jobs, j)
		}) {
			count++
		}
		if count == outageMinMachines {
			return true
		}
	}
	return false
}

func (c *Core) setMachineCrashes(addr string, list []machineCrash) {
	if len(list) == 0 {
		delete(c.machineCrashes, addr)
		return
	}
	c.machineCrashes[addr] = list
}

// forgetMachineCrashes removes the crashes attributed to a task that failed permanently.
func (c *Core) forgetMachineCrashes(attempts []int64) {
	blamed := func(m machineCrash) bool {
		return slices.ContainsFunc(m.attempts, func(a int64) bool { return slices.Contains(attempts, a) })
	}
	for addr, list := range c.machineCrashes {
		c.setMachineCrashes(addr, slices.DeleteFunc(list, blamed))
	}
}

// recentCrashes returns the number of recent crashes of a worker's machine.
func (c *Core) recentCrashes(w *worker) int {
	count := 0
	for _, m := range c.machineCrashes[w.Addr] {
		if c.now.Sub(m.at) < crashMemory {
			count++
		}
	}
	return count
}

// markFlapping marks the workers whose machine crashed repeatedly, not counting crashes that were
// attributed to a task that failed permanently. If there are many, the cause lies outside the
// machines and none is excluded.
func (c *Core) markFlapping(pools map[string][]*workerCapacity) {
	if len(c.machineCrashes) == 0 || !c.enabled(MechFlappingWorkers) {
		return
	}
	for _, workers := range pools {
		var flapping []*workerCapacity
		for _, r := range workers {
			if c.recentCrashes(r.worker) >= flappingAfter {
				flapping = append(flapping, r)
			}
		}
		if maxFlappingDivisor*len(flapping) > len(workers) {
			continue
		}
		for _, r := range flapping {
			r.flapping = true
		}
	}
}

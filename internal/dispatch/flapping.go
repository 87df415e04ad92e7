package dispatch

import (
	"slices"
	"time"
)

// This file answers machines that go down and come back by turns. Each time one is back it
// is empty, so what is waiting on a full deployment starts there, and is lost with it: the
// machine draws work as long as it flaps, and the same healthy tasks lose one worker after
// the other. A machine that went down twice within a while gets nothing new. Crashes under
// a task that was given up for them are not held against the machine. Machines that go
// down together tell an outage from a task.

const (
	// crashMemory is how long it counts that a machine went down.
	crashMemory = 30 * time.Second
	// flappingAfter crashes within crashMemory, nothing new starts on a machine.
	flappingAfter = 2
	// flappingMost bounds the workers that are left out to one in so many of a pool.
	flappingMost = 4
	// outageLeast machines that go down within outageWithin of a crash make it one of many.
	outageLeast  = 5
	outageWithin = time.Second
)

// machineCrash is one time that a worker's machine went down, with what ran there.
type machineCrash struct {
	at       time.Time
	attempts []int64
	jobs     []*job
}

// noteCrashed notes that a worker went down.
func (c *Core) noteCrashed(w *worker) {
	for addr, list := range c.machineCrashes {
		list = slices.DeleteFunc(list, func(m machineCrash) bool { return c.now.Sub(m.at) >= crashMemory })
		c.setMachineCrashes(addr, list)
	}
	crash := machineCrash{at: c.now}
	for _, r := range w.runs {
		crash.add(r.task, r.attempt)
	}
	for _, lost := range w.lapsed {
		crash.add(lost.task, lost.attempt)
	}
	c.machineCrashes[w.Addr] = append(c.machineCrashes[w.Addr], crash)
}

func (m *machineCrash) add(t *task, attempt int64) {
	m.attempts = append(m.attempts, attempt)
	m.jobs = append(m.jobs, t.step.job)
}

// inOutage reports whether many machines went down about a time that ran nothing of a job.
func (c *Core) inOutage(j *job, at time.Time) bool {
	count := 0
	for _, list := range c.machineCrashes {
		if slices.ContainsFunc(list, func(m machineCrash) bool {
			return m.at.Sub(at).Abs() <= outageWithin && !slices.Contains(m.jobs, j)
		}) {
			count++
		}
		if count == outageLeast {
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

// forgetMachineCrashes forgets the crashes under a task that was given up for them.
func (c *Core) forgetMachineCrashes(attempts []int64) {
	blamed := func(m machineCrash) bool {
		return slices.ContainsFunc(m.attempts, func(a int64) bool { return slices.Contains(attempts, a) })
	}
	for addr, list := range c.machineCrashes {
		c.setMachineCrashes(addr, slices.DeleteFunc(list, blamed))
	}
}

// crashesOf counts how often a worker's machine went down lately.
func (c *Core) crashesOf(w *worker) int {
	count := 0
	for _, m := range c.machineCrashes[w.Addr] {
		if c.now.Sub(m.at) < crashMemory {
			count++
		}
	}
	return count
}

// noteFlapping marks the workers that get nothing new because their machine went down again
// and again, under tasks that were not given up for it. If they are many, something else
// than the machines is at fault, and none is left out.
func (c *Core) noteFlapping(pools map[string][]*room) {
	if len(c.machineCrashes) == 0 || !c.has(MechFlappingWorkers) {
		return
	}
	for _, rooms := range pools {
		var flapping []*room
		for _, r := range rooms {
			if c.crashesOf(r.worker) >= flappingAfter {
				flapping = append(flapping, r)
			}
		}
		if flappingMost*len(flapping) > len(rooms) {
			continue
		}
		for _, r := range flapping {
			r.flapping = true
		}
	}
}

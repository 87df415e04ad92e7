package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// downtime is the time until a crashed worker restarts.
	downtime = 3 * time.Second
	// crashDelay is the run time after which a crashing task takes down its worker.
	crashDelay = 10 * time.Millisecond
)

// crashIfDue crashes a worker because of a fault of the day or because of a task that
// runs there, and reports whether it did.
func (sim *simulation) crashIfDue(w *worker) bool {
	due := false
	for _, r := range w.runs {
		if r.job.crashing && r.key.task.Index == 0 && sim.now-r.startedAt >= crashDelay {
			sim.tally.crashesByJob[r.job]++
			due = true
		}
	}
	f := w.activeFault(sim.now)
	if f != nil && f.CrashIntervalS > 0 {
		due = due || sim.random.Float64() < 1-math.Exp(-tick.Seconds()/f.CrashIntervalS)
	}
	if f != nil && f.PartitionedRestart && w.restartedIn != f {
		w.restartedIn, due = f, true
	}
	if due {
		sim.crash(w)
	}
	return due
}

// crash ends an incarnation of a worker. Its runs are lost without a completion, and so
// are completions that no poll has returned yet. The remaining members of a gang wait
// until they are stopped.
func (sim *simulation) crash(w *worker) {
	sim.tally.workerCrashes++
	for _, r := range w.runs {
		sim.tally.recordWaste(r)
		if r.gang != nil {
			r.gang.removeMember(r)
		}
	}
	w.runs, w.completions, w.lastCompletionNumber, w.leaseUntilMS = nil, nil, 0, 0
	w.restartAt = sim.now + downtime
}

// removeMember removes a run from its gang. The remaining members then make no progress.
func (g *gang) removeMember(r *run) {
	for i, m := range g.members {
		if m.run == r {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// stillDown restarts a worker whose downtime is over, and reports whether the worker is
// down after that.
func (sim *simulation) stillDown(w *worker) bool {
	if w.restartAt == 0 || sim.now < w.restartAt {
		return w.restartAt > 0
	}
	w.restartAt = 0
	w.restarts++
	if sim.day.KeepIDs {
		w.Incarnation++
	} else {
		w.ID = fmt.Sprintf("%s-%d", w.machine, w.restarts)
		sim.workers[w.ID] = w
	}
	if sim.leader.core != nil {
		sim.notifyWorkers()
		sim.roundDue = true
	}
	return false
}

// notifyWorkers passes the list of workers to the leader. A crashed worker stays listed
// until it restarts.
func (sim *simulation) notifyWorkers() {
	list := make([]workload.Worker, 0, len(sim.workerList))
	for _, w := range sim.workerList {
		list = append(list, w.Worker)
	}
	if sim.day.KeepIDs && len(sim.storedWorkers) > 0 {
		sim.leader.core.WorkersListed(sim.storedWorkers, sim.clock(), sim.wallMS())
	}
	sim.leader.core.WorkersListed(list, sim.clock(), sim.wallMS())
	sim.leader.core.WorkersStored(list)
	sim.storedWorkers = list
}

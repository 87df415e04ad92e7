package emulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// failDelay is the time after which a task fails on a worker with FailsTasks.
const failDelay = 200 * time.Millisecond

type runKey struct {
	task    workload.TaskID
	attempt int64
}

// run is one run of a task on a worker.
type run struct {
	key       runKey
	job       *arrival
	startedAt time.Duration
	// workDone is the work done so far, checkpointedWork the part of it in the last
	// checkpoint, and resumedWork the work in the checkpoint that the run resumed from.
	// They are measured as run time on a worker of speed one.
	workDone, checkpointedWork, resumedWork time.Duration
	// stopAt is the time at which a requested stop takes effect, or zero.
	stopAt time.Duration
	// failAtShare is the share of its work after which the run fails because of the job
	// itself, or zero.
	failAtShare float64
	gang        *gang
}

// gang holds the current members of one attempt.
type gang struct {
	size    int
	members []member
	racks   map[string]int
	ended   bool
}

// member is a run of a gang with its worker.
type member struct {
	*run
	worker *worker
}

// worker executes orders and keeps the completions until they are acknowledged.
type worker struct {
	workload.Worker
	zone   int
	speed  float64
	faults []*workerFault
	// leaseUntilMS is the time at which all runs end unless the lease is extended, in
	// milliseconds since 1970.
	leaseUntilMS int64
	// runs are in the order of their starts.
	runs                 []*run
	completions          []workload.Completion
	lastCompletionNumber int64
	// waitingPoll is a long poll that waits for a completion until pollDeadline.
	waitingPoll  *dispatch.Action
	pollDeadline time.Duration
	// machine identifies the worker across its incarnations; restarts counts them.
	machine  string
	restarts int
	// restartedIn is the last fault with PartitionedRestart that crashed the worker; each
	// such fault crashes it once.
	restartedIn *workerFault
	// restartAt is the time of the next restart, or zero while the worker is up.
	restartAt time.Duration
}

// rate returns the current speed of a run, in work per unit of time.
func (w *worker) rate(r *run, now time.Duration, bounds *workload.Bounds) float64 {
	step := &r.job.job.Steps[0]
	rate := w.speed
	if r.gang != nil && len(r.gang.members) < r.gang.size {
		return 0
	}
	if step.RackSensitive && len(r.gang.racks) > 1 || step.DataRack != "" && step.DataRack != w.Rack {
		rate /= bounds.RemoteFactor
	}
	if f := w.activeFault(now); f != nil {
		switch {
		case f.Stalled:
			return 0
		case f.Slowdown > 0:
			rate /= f.Slowdown
		}
	}
	return rate
}

func (w *worker) activeFault(now time.Duration) *workerFault {
	for _, f := range w.faults {
		if f.contains(now) {
			return f
		}
	}
	return nil
}

// extendLease extends the lease of all runs.
func (w *worker) extendLease(untilMS int64) { w.leaseUntilMS = max(w.leaseUntilMS, untilMS) }

// hasUnacknowledged reports whether there is a completion after the acknowledged
// number.
func (w *worker) hasUnacknowledged(acknowledged int64) bool {
	return len(w.completions) > 0 && w.completions[len(w.completions)-1].Number > acknowledged
}

// advanceWorker moves the runs of a worker forward by one tick.
func (sim *simulation) advanceWorker(w *worker) {
	if sim.stillDown(w) || sim.crashIfDue(w) {
		return
	}
	leaseExpired := sim.wallMS() > w.leaseUntilMS
	for _, r := range slices.Clone(w.runs) {
		if !slices.Contains(w.runs, r) {
			continue // it ended with another member of its gang
		}
		if kind := sim.advanceRun(w, r, leaseExpired); kind != "" {
			if kind != workload.CompletionDone {
				sim.tally.recordWaste(r)
			}
			w.endRun(r, kind)
		}
	}
}

// advanceRun moves a run forward by one tick and returns its end kind, or an empty one
// while it runs on.
func (sim *simulation) advanceRun(w *worker, r *run, leaseExpired bool) workload.CompletionKind {
	switch f := w.activeFault(sim.now); {
	case leaseExpired:
		return workload.CompletionExpired
	case r.stopAt > 0 && sim.now >= r.stopAt:
		return workload.CompletionStopped
	case r.stopAt > 0:
		return ""
	case f != nil && f.FailsTasks && r.startedAt >= seconds(f.From) && sim.now-r.startedAt > failDelay:
		return workload.CompletionFailed
	}
	r.workDone += time.Duration(float64(tick) * w.rate(r, sim.now, &sim.deployment.bounds))
	if every := milliseconds(sim.deployment.CheckpointMS); r.workDone-r.checkpointedWork >= every {
		r.checkpointedWork += every
	}
	totalWork := r.job.work[r.key.task.Index]
	if r.failAtShare > 0 && r.workDone >= time.Duration(r.failAtShare*float64(totalWork)) {
		// The failure is not the scheduler's fault: extend the objective.
		r.job.objective += time.Duration(r.job.kind.LatencyFactor * float64(sim.now-r.startedAt))
		return workload.CompletionFailed
	}
	if r.workDone >= totalWork && r.gang.readyToEnd(r) {
		return workload.CompletionDone
	}
	return ""
}

// readyToEnd reports whether a run may end: all members of a gang end together.
func (g *gang) readyToEnd(r *run) bool {
	if g == nil {
		return true
	}
	for _, m := range g.members {
		if m.workDone < r.job.work[m.key.task.Index] {
			return false
		}
	}
	return len(g.members) == g.size
}

// startRun adds a run to the worker and to its gang.
func (w *worker) startRun(r *run, g *gang) {
	w.runs = append(w.runs, r)
	if g != nil {
		r.gang = g
		g.members = append(g.members, member{r, w})
		g.racks[w.Rack]++
	}
}

// findRun returns the run with a key, or nil.
func (w *worker) findRun(key runKey) *run {
	at := slices.IndexFunc(w.runs, func(r *run) bool { return r.key == key })
	if at < 0 {
		return nil
	}
	return w.runs[at]
}

// endRun ends a run and the other members of its gang, and lists their completions.
func (w *worker) endRun(r *run, kind workload.CompletionKind) {
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Delete(slices.Clone(w.runs), at, at+1)
	w.lastCompletionNumber++
	checkpoint := ""
	if r.job.job.Steps[0].Checkpoints && kind != workload.CompletionDone {
		if kind == workload.CompletionStopped {
			r.checkpointedWork = r.workDone
		}
		checkpoint = encodeCheckpoint(r.checkpointedWork)
	}
	w.completions = append(w.completions, workload.Completion{Number: w.lastCompletionNumber, Task: r.key.task, Attempt: r.key.attempt, Kind: kind, Checkpoint: checkpoint})
	if g := r.gang; g != nil && !g.ended {
		g.ended = true
		rest := kind
		if kind != workload.CompletionDone {
			rest = workload.CompletionInterrupted
		}
		for _, m := range g.members {
			m.worker.endRun(m.run, rest)
		}
	}
}

// runningTasks returns the runs as reported in a poll.
func (w *worker) runningTasks() []workload.Running {
	var list []workload.Running
	for _, r := range w.runs {
		percent := int(100 * r.workDone / max(r.job.work[r.key.task.Index], 1))
		list = append(list, workload.Running{Task: r.key.task, Attempt: r.key.attempt, Percent: percent, Checkpoint: r.checkpoint()})
	}
	return list
}

func (r *run) checkpoint() string {
	if !r.job.job.Steps[0].Checkpoints || r.checkpointedWork == 0 {
		return ""
	}
	return encodeCheckpoint(r.checkpointedWork)
}

func encodeCheckpoint(work time.Duration) string {
	if work == 0 {
		return ""
	}
	return strconv.FormatInt(int64(work), 10)
}

// decodeCheckpoint returns the work that a checkpoint holds, or zero for an empty or
// invalid one.
func decodeCheckpoint(checkpoint string) time.Duration {
	work, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(work)
}

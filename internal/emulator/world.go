package emulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// failAfter is how long a task runs on a failing worker.
const failAfter = 200 * time.Millisecond

type runKey struct {
	task    workload.TaskID
	attempt int64
}

// run is one run of a task on a worker.
type run struct {
	key   runKey
	job   *arrival
	began time.Duration
	// done is the work done so far, kept what of it a checkpoint holds; from is
	// what it started with.
	done, kept, from time.Duration
	// stopAt is when a stop takes effect; zero while none is under way.
	stopAt time.Duration
	// fails is the share of its work after which it fails by its own fault; zero if it
	// does not.
	fails float64
	gang  *gang
}

// gang is the members of one attempt that are there.
type gang struct {
	size    int
	members []member
	racks   map[string]int
	ended   bool
}

// member is a run of a gang and where it runs.
type member struct {
	*run
	at *worker
}

// worker runs what it is told and lists what has ended.
type worker struct {
	workload.Worker
	zone     int
	speed    float64
	troubles []*workerTrouble
	// leaseUntil ends everything that runs, in milliseconds since 1970.
	leaseUntil int64
	// runs are in the order of their starts.
	runs   []*run
	ended  []workload.Ended
	number int64
	// poll is the poll that waits for an end, until lookBy.
	poll   *dispatch.Action
	lookBy time.Duration
	// machine names the worker over all its lives, lives counts them.
	machine string
	lives   int
	// rebornIn is the trouble in which it came back as another last.
	rebornIn *workerTrouble
	// backAt is when the next life begins; zero while this one lasts.
	backAt time.Duration
}

// rate is how fast a run goes on now, in work a unit of time.
func (w *worker) rate(r *run, now time.Duration, bounds *workload.Bounds) float64 {
	step := &r.job.job.Steps[0]
	rate := w.speed
	if r.gang != nil && len(r.gang.members) < r.gang.size {
		return 0
	}
	if step.OneRack && len(r.gang.racks) > 1 || step.DataRack != "" && step.DataRack != w.Rack {
		rate /= bounds.RemoteFactor
	}
	if t := w.troubled(now); t != nil {
		switch {
		case t.Stalled:
			return 0
		case t.Slower > 0:
			rate /= t.Slower
		}
	}
	return rate
}

func (w *worker) troubled(now time.Duration) *workerTrouble {
	for _, t := range w.troubles {
		if t.holds(now) {
			return t
		}
	}
	return nil
}

// lease extends the lease of what runs.
func (w *worker) lease(untilMS int64) { w.leaseUntil = max(w.leaseUntil, untilMS) }

// unseen reports whether an end has come after a number.
func (w *worker) unseen(noted int64) bool {
	return len(w.ended) > 0 && w.ended[len(w.ended)-1].Number > noted
}

// work moves the runs of a worker on by a tick.
func (pl *player) work(w *worker) {
	if pl.isDown(w) || pl.takeDown(w) {
		return
	}
	lapsed := pl.wall() > w.leaseUntil
	for _, r := range slices.Clone(w.runs) {
		if !slices.Contains(w.runs, r) {
			continue // it ended with another member of its gang
		}
		if kind := pl.ends(w, r, lapsed); kind != "" {
			if kind != workload.EndDone {
				pl.tally.thrownAway(r)
			}
			w.end(r, kind)
		}
	}
}

// ends moves a run on and says how it ends at this tick; empty if it does not.
func (pl *player) ends(w *worker, r *run, lapsed bool) workload.EndKind {
	switch t := w.troubled(pl.now); {
	case lapsed:
		return workload.EndLapsed
	case r.stopAt > 0 && pl.now >= r.stopAt:
		return workload.EndStopped
	case r.stopAt > 0:
		return ""
	case t != nil && t.Fails && r.began >= seconds(t.From) && pl.now-r.began > failAfter:
		return workload.EndFailed
	}
	r.done += time.Duration(float64(tick) * w.rate(r, pl.now, &pl.deployment.bounds))
	if every := milliseconds(pl.deployment.CheckpointMS); r.done-r.kept >= every {
		r.kept += every
	}
	whole := r.job.work[r.key.task.Index]
	if r.fails > 0 && r.done >= time.Duration(r.fails*float64(whole)) {
		// Its own fault is no fault of ours: the job may take as much longer.
		r.job.objective += time.Duration(r.job.kind.Stretch * float64(pl.now-r.began))
		return workload.EndFailed
	}
	if r.done >= whole && r.gang.complete(r) {
		return workload.EndDone
	}
	return ""
}

// complete reports whether a run may end: a gang's members end together.
func (g *gang) complete(of *run) bool {
	if g == nil {
		return true
	}
	for _, m := range g.members {
		if m.done < of.job.work[m.key.task.Index] {
			return false
		}
	}
	return len(g.members) == g.size
}

// start begins a run.
func (w *worker) start(r *run, g *gang) {
	w.runs = append(w.runs, r)
	if g != nil {
		r.gang = g
		g.members = append(g.members, member{r, w})
		g.racks[w.Rack]++
	}
}

// find returns a run that is under way, or nil.
func (w *worker) find(key runKey) *run {
	at := slices.IndexFunc(w.runs, func(r *run) bool { return r.key == key })
	if at < 0 {
		return nil
	}
	return w.runs[at]
}

// end lists the end of a run, and of the members that end with it.
func (w *worker) end(r *run, kind workload.EndKind) {
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Delete(slices.Clone(w.runs), at, at+1)
	w.number++
	checkpoint := ""
	if r.job.job.Steps[0].Checkpoints && kind != workload.EndDone {
		if kind == workload.EndStopped {
			r.kept = r.done
		}
		checkpoint = encodeCheckpoint(r.kept)
	}
	w.ended = append(w.ended, workload.Ended{Number: w.number, Task: r.key.task, Attempt: r.key.attempt, Kind: kind, Checkpoint: checkpoint})
	if g := r.gang; g != nil && !g.ended {
		g.ended = true
		rest := kind
		if kind != workload.EndDone {
			rest = workload.EndBroken
		}
		for _, m := range g.members {
			m.at.end(m.run, rest)
		}
	}
}

// running lists the runs as a poll shows them.
func (w *worker) running() []workload.Running {
	var list []workload.Running
	for _, r := range w.runs {
		percent := int(100 * r.done / max(r.job.work[r.key.task.Index], 1))
		list = append(list, workload.Running{Task: r.key.task, Attempt: r.key.attempt, Percent: percent, Checkpoint: r.checkpoint()})
	}
	return list
}

func (r *run) checkpoint() string {
	if !r.job.job.Steps[0].Checkpoints || r.kept == 0 {
		return ""
	}
	return encodeCheckpoint(r.kept)
}

func encodeCheckpoint(work time.Duration) string {
	if work == 0 {
		return ""
	}
	return strconv.FormatInt(int64(work), 10)
}

// decodeCheckpoint is the work that a checkpoint holds; none for an empty one.
func decodeCheckpoint(checkpoint string) time.Duration {
	work, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(work)
}

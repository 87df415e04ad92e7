package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// downFor is how long a crashed worker is away before its next life begins.
	downFor = 3 * time.Second
	// crashAfter is how long a task runs that takes its worker down.
	crashAfter = 10 * time.Millisecond
)

// takeDown takes a worker down if it is time, or if it runs what does so.
func (pl *player) takeDown(w *worker) bool {
	due := false
	for _, r := range w.runs {
		if r.job.crashing && r.key.task.Index == 0 && pl.now-r.began >= crashAfter {
			pl.tally.crashesOf[r.job]++
			due = true
		}
	}
	t := w.troubled(pl.now)
	if t != nil && t.CrashEvery > 0 {
		due = due || pl.random.Float64() < 1-math.Exp(-tick.Seconds()/t.CrashEvery)
	}
	if t != nil && t.Reborn && w.rebornIn != t {
		w.rebornIn, due = t, true
	}
	if due {
		pl.crash(w)
	}
	return due
}

// crash ends a life of a worker, and everything that runs there without an end that
// anybody lists. The rest of a gang waits until it is stopped.
func (pl *player) crash(w *worker) {
	pl.tally.crashes++
	for _, r := range w.runs {
		pl.tally.thrownAway(r)
		if r.gang != nil {
			r.gang.leave(r)
		}
	}
	w.runs, w.ended, w.number, w.leaseUntil = nil, nil, 0, 0
	w.backAt = pl.now + downFor
}

// leave takes a member out of a gang, which then makes no progress.
func (g *gang) leave(r *run) {
	for i, m := range g.members {
		if m.run == r {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// isDown reports whether a worker has crashed, and begins its next life when it is time.
func (pl *player) isDown(w *worker) bool {
	if w.backAt == 0 || pl.now < w.backAt {
		return w.backAt > 0
	}
	w.backAt = 0
	w.lives++
	w.ID = fmt.Sprintf("%s-%d", w.machine, w.lives)
	pl.workers[w.ID] = w
	if pl.leader.core != nil {
		pl.tellWorkers()
		pl.touched = true
	}
	return false
}

// tellWorkers tells the leader which workers there are; a dead one is listed until its
// next life begins.
func (pl *player) tellWorkers() {
	list := make([]workload.Worker, 0, len(pl.order))
	for _, w := range pl.order {
		list = append(list, w.Worker)
	}
	pl.leader.core.Listed(list, pl.time(), pl.wall())
	pl.leader.core.Stored(list)
}

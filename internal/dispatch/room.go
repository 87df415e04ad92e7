package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// room is a worker's room during one round of decisions.
type room struct {
	*worker
	// free is free now, soon will be once what is being stopped has ended.
	free, soon workload.Resources
	// kept is what a large step waits for from keptFrom on; shorter work may
	// use it before.
	kept     workload.Resources
	keptFrom time.Time
	// guarded is what protected work uses.
	guarded workload.Resources
	// urgentOnly workers run nothing but work of the first priority, or nothing.
	urgentOnly bool
	// serving and batch count the runs of either sort.
	serving, batch int
	// urgent is the number of accelerators that work of the first priority uses.
	urgent int64
	order  int
	// flapping workers get nothing new.
	flapping bool
	// crashSuspects are the tasks here under which other workers went down.
	crashSuspects crashSuspects
	// stuck is what runs use whose ends cannot be counted on, once it was worked out.
	overdueUse   workload.Resources
	overdueKnown bool
	// sought is the last search for a reservation that this room is part of.
	searchedBy int
}

func (c *Core) rooms() map[string][]*room {
	pools := make(map[string][]*room)
	for _, w := range c.fleet {
		if !w.usable(c.now) || c.isSuspect(w) || c.isDrained(w) {
			continue
		}
		free := w.Room.Sub(w.used).Sub(w.unknownNeed())
		r := &room{worker: w, free: free, soon: free, urgentOnly: true}
		for _, run := range w.runs {
			r.countSort(run.task.step.spec)
			if run.task.crashDecision() != quarantine.StartFreely {
				r.crashSuspects.add(run.task.step.job)
			}
			r.count(run, c.config.Queue(run.task.step.job.Queue))
			if run.task.step.job.protected {
				r.guarded = r.guarded.Add(run.need)
			}
		}
		pools[w.Pool] = append(pools[w.Pool], r)
	}
	for _, rooms := range pools {
		slices.SortFunc(rooms, c.compareRooms)
		for i, r := range rooms {
			r.order = i
		}
	}
	return pools
}

// compareRooms orders the workers of a pool where nothing else does: rack by rack, so
// that what is filled first and what stays free lie together.
func (c *Core) compareRooms(a, b *room) int {
	byRack := 0
	if c.has(MechRackOrder) {
		byRack = cmp.Compare(a.Rack, b.Rack)
	}
	return cmp.Or(byRack, cmp.Compare(a.ID, b.ID))
}

// count takes a run into account.
func (r *room) count(run *run, q *workload.Queue) {
	switch {
	case run.frees():
		r.soon = r.soon.Add(run.need)
	case q != nil && q.Priority == 0:
		r.urgent += run.need.Accelerators
	default:
		r.urgentOnly = false
	}
}

// countSort takes a run of a step into account.
func (r *room) countSort(spec *workload.Step) {
	if spec.TargetMS > 0 {
		r.serving++
	} else {
		r.batch++
	}
}

// open is the room that work ending at a time may use.
func (r *room) open(ends time.Time) workload.Resources {
	free := r.free
	if !r.keptFrom.IsZero() && ends.After(r.keptFrom) {
		free = free.Sub(r.kept)
	}
	return free
}

// takeRoom takes room that is free or being freed for a step that waits for it.
func takeRoom(u *pendingStep, places []*room) {
	need := u.step.spec.Counted()
	for _, r := range places {
		r.soon = r.soon.Sub(need)
		r.free = r.free.Sub(need)
		u.markRoom(r)
	}
}

// disturbs reports whether a serving task would share the worker with a batch
// task. Interference differs by image and changes within seconds, so neither sort
// is put beside the other: no serving task then misses its latency target because
// of where something was placed.
func (r *room) disturbs(spec *workload.Step) bool {
	if spec.TargetMS > 0 {
		return r.batch > 0
	}
	return r.serving > 0
}

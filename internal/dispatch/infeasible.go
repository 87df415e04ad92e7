package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers queues of hundreds of jobs of few shapes on a full deployment.
// Looking for room for each costs a pass over every worker, several times a round:
// most of a round's time at thousands of workers. Room only gets less during a
// round, so what found none says the same of what needs as much.

// shape is what of a step decides whether it fits, but for how much of it there is.
type shape struct {
	pool, label, dataRack string
	need                  workload.Resources
	gang, oneRack         bool
	serving, keptOut      bool
	class                 int
}

// infeasible remembers, for one round, the least of each shape that found no room.
type infeasible map[shape]lacking

// lacking is how many tasks found no room, and how long they take: shorter ones may
// use room that is kept for others from a time on.
type lacking struct {
	tasks  int
	length time.Duration
}

// shapeOf returns a step's shape; false if others like it say nothing of it: where
// its place depends on its own step (a bound by worker, tickets), or on how long it
// has waited.
func (c *Core) shapeOf(u *pendingStep) (shape, bool) {
	s := u.step.spec
	if s.MaxPerWorker > 0 || u.queue.Advice != nil || u.rank.class == 0 || u.rank.urgent() {
		return shape{}, false
	}
	if (s.OneRack || s.DataRack != "") && !c.quietSince[u.queue.Pool].IsZero() {
		return shape{}, false
	}
	return shape{
		pool: u.queue.Pool, label: s.Label, dataRack: s.DataRack, need: s.Counted(), gang: s.Gang, oneRack: s.OneRack,
		serving: s.TargetMS > 0, keptOut: c.mayNotUseReserve(u), class: u.rank.class,
	}, true
}

// lacks reports whether a step will find no room because one that needed no more
// found none. Single tasks lack room once one of them does.
func (n infeasible) lacks(s shape, u *pendingStep) bool {
	found, known := n[s]
	return known && u.length >= found.length && (!s.gang || len(u.tasks) >= found.tasks)
}

// note keeps that a step found no room, not even room that is being freed.
func (n infeasible) note(s shape, u *pendingStep) {
	found, known := n[s]
	if !known || len(u.tasks) <= found.tasks && u.length <= found.length {
		n[s] = lacking{len(u.tasks), u.length}
	}
}

package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Queues of hundreds of jobs with few shapes are common on a full deployment. Searching
// capacity for each takes a pass over every worker, several times a round, which took most of a
// round's time with thousands of workers. Capacity only shrinks during a round, so a failed
// search also holds for every step of the same shape that needs at least as much.

// shape holds the properties of a step that determine where it fits, except for its size.
type shape struct {
	pool, label, dataRack string
	need                  workload.Resources
	gang, rackSensitive   bool
	serving, noHeadroom   bool
	class                 int
	// spareAttempts is set if the queue allows more than one attempt.
	spareAttempts bool
}

// infeasible records, for one round, the smallest demand of each shape that found no capacity.
type infeasible map[shape]infeasibleDemand

// infeasibleDemand is a number of tasks that found no capacity, and their duration: shorter
// tasks may use capacity that is reserved for others from a later time.
type infeasibleDemand struct {
	tasks    int
	duration time.Duration
}

// shapeOf returns a step's shape. It returns false if results do not carry over to other steps,
// because the placement depends on the step itself (a limit per worker, tickets) or on how long
// it has waited.
func (c *Core) shapeOf(u *pendingStep) (shape, bool) {
	s := u.step.spec
	if s.MaxPerWorker > 0 || u.queue.Advice != nil || u.rank.class == 0 || u.rank.urgent() || u.failed > 0 {
		return shape{}, false
	}
	if (s.RackSensitive || s.DataRack != "") && !c.lightLoadSince[u.queue.Pool].IsZero() {
		return shape{}, false
	}
	return shape{
		pool: u.queue.Pool, label: s.Label, dataRack: s.DataRack, need: s.CountedResources(), gang: s.Gang, rackSensitive: s.RackSensitive,
		serving: s.TargetMS > 0, noHeadroom: c.mustAvoidHeadroom(u), class: u.rank.class, spareAttempts: u.queue.Attempts > 1,
	}, true
}

// rulesOut reports whether a step will find no capacity because one that needed no more found
// none. For single tasks one failure is enough.
func (n infeasible) rulesOut(s shape, u *pendingStep) bool {
	smallest, known := n[s]
	return known && u.duration >= smallest.duration && (!s.gang || len(u.tasks) >= smallest.tasks)
}

// record records that a step found no capacity, not even capacity that is being freed.
func (n infeasible) record(s shape, u *pendingStep) {
	smallest, known := n[s]
	if !known || len(u.tasks) <= smallest.tasks && u.duration <= smallest.duration {
		n[s] = infeasibleDemand{len(u.tasks), u.duration}
	}
}

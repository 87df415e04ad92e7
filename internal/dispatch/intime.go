package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Where workers have unequal speeds, this file decides which of them gets a step. Without it urgent
// work that starts at once on a slow worker ends late, while fast workers run work that has time.
// Work goes to the slowest worker on which it still meets its objective, so that faster ones stay
// free for work that needs them; workers of about the same speed are packed as usual. A gang runs
// as its slowest member, so it gets members that are all fast enough, or none in particular.

// speedPolicy compares two workers by their speed for a step; the better one sorts first.
type speedPolicy struct {
	compare func(c *Core, u *pendingStep, a, b *workerCapacity) int
	// restricts is set if gangs are placed only on workers on which they meet their objective, as
	// long as those will have the capacity.
	restricts bool
}

var speedPolicies = map[string]speedPolicy{
	"ignored":      {compare: func(*Core, *pendingStep, *workerCapacity, *workerCapacity) int { return 0 }},
	"earliest_end": {compare: compareEnd},
	"slack_bands":  {compare: compareSlackBand, restricts: true},
}

const (
	// speedBand is the width of the bands of workers of about the same speed, on the logarithmic
	// scale.
	speedBand = 0.2
	// startLatency is the time from the decision to start until a task runs.
	startLatency = 100 * time.Millisecond
)

// band returns the band of a worker's speed. Unequal speeds are the exception, so the usual speed
// lies in the middle of a band.
func (r *workerCapacity) band() int { return int(math.Round(r.speed.value / speedBand)) }

// compareEnd sorts the worker first on which a task ends first.
func compareEnd(_ *Core, _ *pendingStep, a, b *workerCapacity) int {
	return cmp.Compare(b.band(), a.band())
}

// compareSlackBand sorts workers on which the step meets its objective before the others, among
// these known speeds before expected ones, and then the slower band first. Where the objective is
// missed, faster bands sort first.
func compareSlackBand(c *Core, u *pendingStep, a, b *workerCapacity) int {
	rankA, rankB := c.speedRank(u, a), c.speedRank(u, b)
	if byRank := cmp.Compare(rankA, rankB); byRank != 0 {
		return byRank
	}
	if rankA >= speedLikely {
		return cmp.Compare(b.band(), a.band())
	}
	return cmp.Or(c.compareUnknown(u, a, b), cmp.Compare(a.band(), b.band()))
}

// explores reports whether a step is used to learn speeds: it has time on any worker. Workers that
// have just joined are then known within a few seconds; urgent work would otherwise be the first to
// run on many of them.
func (c *Core) explores(u *pendingStep) bool {
	return c.speeds.unequal && c.policies.speed.restricts && !u.step.spec.LongRunning && !u.rank.urgent() &&
		c.slackFactor(u) > slackForUnknown && c.enabled(MechExploreSpeeds)
}

// compareUnknown sorts workers of unknown speed first for a step that explores.
func (c *Core) compareUnknown(u *pendingStep, a, b *workerCapacity) int {
	switch {
	case a.speed.isKnown() == b.speed.isKnown() || !c.explores(u):
		return 0
	case b.speed.isKnown():
		return -1
	}
	return 1
}

// speedRank states how sure it is that a step meets its objective on a worker.
type speedRank int

const (
	speedKnown speedRank = iota
	speedExpected
	// speedLikely workers are fast enough if they are as fast as expected, speedTooSlow ones are not.
	speedLikely
	speedTooSlow
)

func (c *Core) speedRank(u *pendingStep, r *workerCapacity) speedRank {
	switch {
	case u.step.spec.LongRunning:
		return speedKnown
	case !c.endsInTime(u, u.durationOn(c, r)):
		return speedTooSlow
	case !c.endsInTime(u, c.cautiousDuration(u, r)):
		return speedLikely
	case r.speed.isKnown() || c.slackFactor(u) > slackForUnknown:
		return speedKnown
	}
	return speedExpected
}

const (
	// speedMargin is the share of its run time by which a task must be expected to end before its
	// objective.
	speedMargin = 0.1
	// cautiousDeviations is the number of standard deviations by which a worker is assumed to be
	// slower than expected: slower workers are preferred, so that those whose speed is
	// overestimated are chosen more often than others.
	cautiousDeviations = 2
)

// cautiousDuration returns the run time of a task on a worker that is slower than expected.
func (c *Core) cautiousDuration(u *pendingStep, r *workerCapacity) time.Duration {
	duration := float64(u.durationOn(c, r))
	if r.speed.isKnown() {
		duration *= math.Exp(cautiousDeviations * math.Sqrt(r.speed.variance))
	}
	return time.Duration(duration)
}

// endsInTime reports whether a step with the given run time meets its objective if it starts now.
func (c *Core) endsInTime(u *pendingStep, duration time.Duration) bool {
	withMargin := time.Duration(float64(duration) * (1 + speedMargin))
	return !c.now.Add(startLatency + withMargin).After(u.dueBy.Add(-u.after))
}

// slackForUnknown is the multiple of its expected run time that a step must have left to start on
// workers of unknown speed like on any other. Such work is what their speed is learned from.
const slackForUnknown = 2

// slackFactor returns the time that the step has left as a multiple of its expected run time.
func (c *Core) slackFactor(u *pendingStep) float64 {
	return float64(u.dueBy.Sub(c.now)-u.after) / float64(max(u.duration, time.Millisecond))
}

// durationOn returns the expected run time of a task on a worker.
func (u *pendingStep) durationOn(c *Core, r *workerCapacity) time.Duration {
	return time.Duration(float64(u.duration) / c.speedOf(r.worker))
}

// compareSpeed compares two workers for a step while the workers have unequal speeds.
func (c *Core) compareSpeed(u *pendingStep, a, b *workerCapacity) int {
	if !c.speeds.unequal {
		return 0
	}
	return c.policies.speed.compare(c, u, a, b)
}

// inTime returns the workers of at most a rank for a gang, or nil if the gang is not restricted to
// them: all workers are, or none, or a gang bound to one rack fits on no rack of them.
func (c *Core) inTime(u *pendingStep, workers []*workerCapacity, rank speedRank) []*workerCapacity {
	if !c.speeds.unequal || !c.policies.speed.restricts || !u.step.spec.Gang || u.rank.timeliness != onTime || c.reclaimDue(u) {
		return nil
	}
	var list []*workerCapacity
	for _, r := range workers {
		if c.speedRank(u, r) <= rank {
			list = append(list, r)
		}
	}
	if len(list) == 0 || len(list) == len(workers) || u.step.spec.RackSensitive && !c.rackWillFit(u, list) {
		return nil
	}
	return list
}

// reclaimDue reports whether a step inside a guarantee has to start now, wherever it can.
func (c *Core) reclaimDue(u *pendingStep) bool {
	return u.rank.class == 0 && c.now.Sub(u.step.readySince) > c.bounds.MaxReclaimTime-c.bounds.MaxStopTime-reclaimMargin
}

// placeInTime places a gang on workers on which it meets its objective. It returns false if neither
// they have the capacity nor, for urgent work, will have it soon. Capacity on workers that are only
// likely to be fast enough is preferred to stopping other work.
func (c *Core) placeInTime(u *pendingStep, workers []*workerCapacity) bool {
	for _, rank := range []speedRank{speedExpected, speedLikely} {
		list := c.inTime(u, workers, rank)
		if list == nil {
			continue
		}
		places := c.findPlaces(u, list, c.mayRunOffRack(u, list), c.freeFor(u))
		if len(places) == len(u.tasks) {
			c.startOrStore(u, places)
			u.tasks = nil
			return true
		}
	}
	list := c.inTime(u, workers, speedLikely)
	if list == nil || !u.rank.urgent() {
		return false
	}
	switch cause := c.arrangeCapacity(u, list, c.mayRunOffRack(u, list), false); cause {
	case causeBeingFreed, causeEndInTime, causePreempted:
		c.recordReason(u, cause)
		return true
	}
	return false
}

// freeFor returns a function for the capacity of a worker that a step may use now.
func (c *Core) freeFor(u *pendingStep) func(*workerCapacity) workload.Resources {
	return func(r *workerCapacity) workload.Resources { return r.freeUntil(c.now.Add(u.durationOn(c, r))) }
}

// describeSpeeds states, for the log of a start, the slowest of the workers that it uses, and how
// many of them are not known to be fast enough.
func (c *Core) describeSpeeds(u *pendingStep, places []*workerCapacity) string {
	slowest, unknown, tooSlow := math.Inf(1), 0, 0
	for _, r := range places {
		slowest = min(slowest, c.speedOf(r.worker))
		switch c.speedRank(u, r) {
		case speedExpected:
			unknown++
		case speedLikely, speedTooSlow:
			tooSlow++
		}
	}
	return fmt.Sprintf(", slowest worker %.2f, unknown %d, too slow %d of %d", slowest, unknown, tooSlow, len(places))
}

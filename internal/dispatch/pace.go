package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers workers that turn slow, or on which work stands still, for some
// seconds. A gang is as slow as its slowest member: with 15 % of the workers slow two
// gangs of three in five have one there. Without it such workers look free as soon as
// others are full, and one gang after the other gets stuck on them. The progress that
// runs report tells them: a run falls behind what it made itself before, or behind the
// other members of its gang. Its estimate says too little: compared with that, two of
// three alarms were wrong, and each takes room from everybody. One run at its usual pace
// clears its worker.

const (
	// paceSpan is the least time over which progress is compared: it is reported in
	// whole percent.
	paceSpan = 350 * time.Millisecond
	// paceEnough is how many percent of progress must have been due to say anything.
	paceEnough = 6
	// slowPace is the share of the progress that was due under which a worker is slow:
	// the tasks of a job differ by a third, and slow workers take four times as long or
	// more. From soundPace on it is not.
	slowPace  = 0.35
	soundPace = 0.6
	// finishing runs say nothing: a member of a gang waits at its end for the others.
	finishing = 98
	// slowForUrgent and slowForOthers are how long a slow worker of which nothing new is
	// known gets no urgent and no other work: the latter tries it out.
	slowForUrgent = 6 * time.Second
	slowForOthers = 2 * time.Second
	// slowMove is how much longer an urgent run must be going to take on a slow worker
	// than anew on another one to be moved: the worker may be sound again in a second.
	slowMove = 1.5
)

// takePace compares what each run of a worker did since the last look with what it did
// before, or with the other members of its gang.
func (c *Core) takePace(w *worker, list []workload.Running, clockMS int64) {
	slow, sound := false, false
	for _, running := range list {
		r := w.runs[runKey{running.Task, running.Attempt}]
		if r == nil || r.stopping() {
			continue
		}
		span := clockMS - r.seenMS
		if r.seenMS > 0 && span < paceSpan.Milliseconds() {
			continue
		}
		done := float64(running.Percent - r.seenPercent)
		known := r.seenMS > 0
		r.seenMS, r.seenPercent = clockMS, running.Percent
		if !known || running.Percent >= finishing || !tellsPace(r) {
			continue
		}
		usual := usualPace(r)
		due := usual * float64(span)
		r.pace = done / float64(span)
		r.bestPace = max(r.bestPace, r.pace)
		r.slow = due >= paceEnough && done < slowPace*due
		slow = slow || r.slow
		sound = sound || due >= paceEnough && done > soundPace*due
	}
	switch {
	case sound:
		w.health.slowAt = time.Time{}
	case slow:
		w.health.slowAt = c.now
	}
}

// usualPace is the best that a run, or another member of its gang, was seen to make;
// zero if nothing is known.
func usualPace(r *run) float64 {
	best := r.bestPace
	if r.gang == nil {
		return best
	}
	for i := range r.task.step.tasks {
		for _, member := range r.task.step.tasks[i].runs {
			if member.gang == r.gang {
				best = max(best, member.bestPace)
			}
		}
	}
	return best
}

// tellsPace reports whether the progress of a run says something of its worker: the run
// is no part of a gang that is not whole yet, and not away from its rack.
func tellsPace(r *run) bool {
	s := r.task.step
	if s.spec.Lasting || s.spec.DataRack != "" && s.spec.DataRack != r.worker.Rack {
		return false
	}
	return r.gang == nil || !r.gang.broken && !r.gang.far && r.gang.runs == s.open
}

// slow reports whether a worker is slow, as far as work of a priority is concerned.
func (c *Core) slow(h *health, urgent bool) bool {
	if h.slowAt.IsZero() {
		return false
	}
	lasts := c.number(NumSlowOthers, slowForOthers.Seconds())
	if urgent {
		lasts = c.number(NumSlowUrgent, slowForUrgent.Seconds())
	}
	return c.now.Sub(h.slowAt).Seconds() < lasts
}

// leaveSlow stops urgent runs on slow workers that will be done sooner elsewhere.
func (c *Core) leaveSlow() {
	if !c.has(MechPace) {
		return
	}
	for _, w := range c.fleet {
		if w.health.slowAt.IsZero() {
			continue
		}
		for _, r := range w.runs {
			if r.state == stRunRunning && c.isUrgent(r.task.step) && c.soonerElsewhere(r) {
				c.stop(r, "its worker is slow")
			}
		}
	}
}

// soonerElsewhere reports whether a run would surely be done sooner if it was stopped
// and started anew.
func (c *Core) soonerElsewhere(r *run) bool {
	usual := usualPace(r)
	if !r.slow || usual == 0 || !tellsPace(r) {
		return false
	}
	left := float64(100-r.percent) / max(r.pace, leastPace)
	anew := 100/usual + float64(c.bounds.StopTime.Milliseconds())
	return left > c.number(NumSlowMove, slowMove)*anew
}

// leastPace stands for no progress at all, in percent a millisecond.
const leastPace = 0.0005

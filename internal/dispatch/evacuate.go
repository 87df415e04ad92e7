package dispatch

import (
	"time"
)

// evacuateReserve is kept, beside the time of a stop, before a worker leaves:
// the order, and one that has to be repeated.
const evacuateReserve = 700 * time.Millisecond

// evacuate stops what a leaving worker will not finish, so that it goes on
// elsewhere. It answers planned replacement of workers: without it a task runs
// until its worker takes it along, and what it could have saved is lost.
func (c *Core) evacuate() {
	if !c.has(MechEvacuation) {
		return
	}
	for _, w := range c.fleet {
		if !w.Leaving || w.leavesAt.IsZero() || !w.known {
			continue
		}
		left := w.leavesAt.Sub(c.now)
		leaving := w.inOrder(func(r *run) bool { return r.state == stRunRunning && c.mustLeave(r, left) })
		for _, r := range leaving {
			c.stop(r, "its worker leaves")
		}
	}
}

// mustLeave reports whether a run should be stopped now on a worker that leaves in a
// while. What can be saved is, at the last moment if it may still end; what
// cannot is started anew elsewhere at once if it surely will not end here.
func (c *Core) mustLeave(r *run, left time.Duration) bool {
	s := r.task.step.spec
	last := left <= c.bounds.StopTime+evacuateReserve
	if s.Lasting {
		return last
	}
	remaining := c.estimates.left(r, c.now)
	if s.Checkpoints {
		return remaining > left || last && remaining > left-c.bounds.StopTime
	}
	return remaining > surelyNot*left+c.bounds.StopTime
}

// surelyNot is by how much the estimate of a run's rest must exceed the time
// left before work that cannot be saved is given up: estimates are wrong by up
// to half.
const surelyNot = 2

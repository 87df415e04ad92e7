package dispatch

import (
	"cmp"

	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// This file answers crashes of workers with several tasks, of which one is at fault. All
// of them become pending at once and look for the same room: placed as usual they meet on
// one worker again, the next crash counts against all of them once more, and healthy work
// is given up with the one at fault. So tasks under which workers went down start apart from
// those of other jobs and away from machines that went down lately, and the start that may
// be their last one beside as little as there is. It is a preference: none of them waits
// for it.

// crashSuspects says whose tasks run on a worker under which others went down.
type crashSuspects struct {
	job     *job
	several bool
}

func (s *crashSuspects) add(j *job) {
	s.several = s.several || s.job != nil && s.job != j
	s.job = j
}

// besideOthers reports whether tasks of other jobs are among them.
func (s *crashSuspects) besideOthers(j *job) bool { return s.several || s.job != nil && s.job != j }

// noteCrashes notes how many workers went down under the tasks of a step.
func (u *pendingStep) noteCrashes() {
	for _, t := range u.tasks {
		if t.crashes != nil {
			u.crashes = max(u.crashes, t.crashes.Seen+t.crashes.Shared+t.crashes.Recent)
		}
	}
}

// markRoom notes that a step with tasks under which workers went down will use a worker.
func (u *pendingStep) markRoom(r *room) {
	if u.crashes > 0 {
		r.crashSuspects.add(u.step.job)
	}
}

// compareApart puts the workers first that run no task of another job under which others
// went down, and of those the ones that did not go down lately.
func compareApart(c *Core, u *pendingStep, a, b *room) int {
	worse := func(r *room) int {
		score := 0
		if r.crashSuspects.besideOthers(u.step.job) {
			score += 2
		}
		if c.crashesOf(r.worker) > 0 {
			score++
		}
		return score
	}
	return cmp.Compare(worse(a), worse(b))
}

// compareAlone does so, and puts those first that run the least for a task of which one
// more crash gives its job up.
func compareAlone(c *Core, u *pendingStep, a, b *room) int {
	byApart := compareApart(c, u, a, b)
	if byApart != 0 || u.crashes < quarantine.CrashLimit-1 {
		return byApart
	}
	return cmp.Compare(len(a.runs), len(b.runs))
}

// crashOrder orders two workers for a step, if workers went down under its tasks.
func (c *Core) crashOrder(u *pendingStep, a, b *room) int {
	if u.crashes == 0 {
		return 0
	}
	return c.ways.crashSuspects(c, u, a, b)
}

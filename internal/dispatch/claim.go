package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers urgent gangs that come in quick succession. One that has others
// stopped starts when these have ended, rounds later. Without a claim each round
// chose anew: the next urgent gang took the room as it became free, the first had
// others stopped elsewhere, was late by then, and was given up: dozens of tasks
// were stopped for a gang that started nowhere.

// claim is the room that a gang had freed, or found being freed, and starts in.
type claim struct {
	places []claimedPlace
}

// claimedPlace is a number of tasks on one worker.
type claimedPlace struct {
	worker *worker
	slots  int64
}

// claimRooms notes where an urgent gang will start.
func (c *Core) claimRooms(u *pendingStep, places []claimedPlace) {
	if u.step.spec.Gang && c.has(MechClaims) {
		u.step.claim = &claim{places: places}
	}
}

// placesOf counts the tasks that a list of rooms has on each.
func placesOf(rooms []*room) []claimedPlace {
	var places []claimedPlace
	for i, r := range rooms {
		if i > 0 && rooms[i-1] == r {
			places[len(places)-1].slots++
			continue
		}
		places = append(places, claimedPlace{r.worker, 1})
	}
	return places
}

// claimForRestart lets an urgent gang that failed by its own fault start again where it
// was. Without it the room of each member went to others as its end was heard, some
// milliseconds before the last one's, and the gang had others stopped a second time.
// A worker on which other jobs failed as well is not claimed.
func (c *Core) claimForRestart(r *run) {
	s, g := r.task.step, r.gang
	if g == nil || g.broken || !c.isUrgent(s) || !c.has(MechRestartClaims) {
		return
	}
	var rooms []*room
	byWorker := make(map[*worker]*room)
	for i := range s.tasks {
		for _, member := range s.tasks[i].runs {
			if member.gang != g {
				continue
			}
			w := member.worker
			if w.health.failedOthers(s.job.ID) {
				return
			}
			if byWorker[w] == nil {
				byWorker[w] = &room{worker: w}
			}
			rooms = append(rooms, byWorker[w])
		}
	}
	slices.SortStableFunc(rooms, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	s.claim = &claim{places: placesOf(rooms)}
}

// isUrgent reports whether a step's queue is of the first priority.
func (c *Core) isUrgent(s *step) bool {
	if c.config == nil {
		return false
	}
	q := c.config.Queue(s.job.Queue)
	return q != nil && q.Priority == 0
}

// applyRestartClaims takes the room that gangs will start again in, while their members are
// still ending, out of the rooms.
func (c *Core) applyRestartClaims(pools map[string][]*room) {
	for _, s := range c.restarting {
		need := s.spec.Counted()
		for _, r := range pools[c.config.Queue(s.job.Queue).Pool] {
			for _, place := range s.claim.places {
				if place.worker != r.worker {
					continue
				}
				ending := int64(c.runsOf(s, r.worker))
				r.soon = r.soon.Sub(need.Times(place.slots))
				r.free = r.free.Sub(need.Times(max(place.slots-ending, 0)))
			}
		}
	}
}

// applyClaims takes what is claimed out of the rooms before any step looks at them.
// A claim that will not come true any more is dropped: a worker of it is gone or
// was taken for work that was met there.
func (c *Core) applyClaims(pendingSteps []*pendingStep, pools map[string][]*room) {
	for _, u := range pendingSteps {
		if u.step.claim == nil {
			continue
		}
		u.claimed = c.roomsOf(u, pools[u.queue.Pool])
		if u.claimed == nil {
			u.step.claim = nil
			continue
		}
		takeRoom(u, u.claimed)
	}
}

// roomsOf is the claimed room for each task of a step, or nil where the claim does
// not hold any more.
func (c *Core) roomsOf(u *pendingStep, rooms []*room) []*room {
	byWorker := make(map[*worker]*room, len(rooms))
	for _, r := range rooms {
		byWorker[r.worker] = r
	}
	var list []*room
	for _, place := range u.step.claim.places {
		r := byWorker[place.worker]
		if r == nil || !r.soon.Holds(u.step.spec.Counted().Times(place.slots)) || len(c.eligible(u, []*room{r})) == 0 {
			return nil
		}
		for range place.slots {
			list = append(list, r)
		}
	}
	if len(list) != len(u.tasks) {
		return nil
	}
	return list
}

// release gives a step's claimed room back for its own turn.
func (u *pendingStep) release() {
	need := u.step.spec.Counted()
	for _, r := range u.claimed {
		r.soon, r.free = r.soon.Add(need), r.free.Add(need)
	}
}

// areFree reports whether each task has its room now.
func areFree(places []*room, need workload.Resources) bool {
	taken := make(map[*room]workload.Resources, len(places))
	for _, r := range places {
		taken[r] = taken[r].Add(need)
	}
	for r, sum := range taken {
		if !r.free.Holds(sum) {
			return false
		}
	}
	return true
}

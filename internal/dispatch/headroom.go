package dispatch

import (
	"time"
)

// Headroom answers a mix of urgent work that comes in bursts and batch work that
// would fill every worker. Without it each urgent gang that needs whole workers
// has batch tasks stopped, which were started moments ago, lose what they did,
// and are stopped again at the next one: on a full deployment a third of all
// starts ended so. Some whole workers stay free for urgent work instead, as long
// as there is any.
const (
	// headroomShare of a pool's workers is kept whole. The number of urgent gangs
	// under way varies by about two, of two whole workers each.
	headroomShare = 0.08
	// headroomFor is how long after the last urgent job room is kept: about twice
	// the time between bursts.
	headroomFor = 5 * time.Second
)

// keepsOut reports whether the unit may not use the workers that are kept whole:
// work that is not urgent, loses what it did when it is stopped, and has time.
func (c *Core) keepsOut(u *unit) bool {
	if u.queue.Priority == 0 || c.now.Sub(c.urgentAt) > headroomFor || c.urgentAt.IsZero() {
		return false
	}
	s := u.step.spec
	return !s.Checkpoints && !s.Lasting
}

// withoutHeadroom drops the whole workers that are kept for urgent work.
func withoutHeadroom(rooms []*room) []*room {
	kept := int(headroomShare * float64(len(rooms)))
	var list []*room
	for i := len(rooms) - 1; i >= 0; i-- {
		r := rooms[i]
		if kept > 0 && r.soon == r.Room {
			kept--
			continue
		}
		list = append(list, r)
	}
	return list
}

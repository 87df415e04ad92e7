package deployment

import (
	"sync"
	"time"
)

// This file answers callers of an availability zone that is cut off. They are told to
// come back, and who is told a second although the balancer leads the next try
// elsewhere at once loses that second: an urgent job can wait for little more. Who is
// told to come back at once while the balancer still leads here spends all tries in
// one second. So an instance follows the checks that it answered, and knows when the
// balancer takes it out.

const (
	// checkEvery is how often a balancer checks whether an instance is ready, and
	// missesOut how many checks in a row must fail until it leads nobody there.
	checkEvery = 1 * time.Second
	missesOut  = 2
	// ownPauses is how long the tries of a caller last that is told to come back at once:
	// it pauses by itself between them, about a tenth of a second more each time.
	ownPauses = 500 * time.Millisecond
)

// rotation is what the balancer knows of this instance.
type rotation struct {
	mu sync.Mutex
	// misses are the last checks in a row that were answered with not ready, the
	// newest at checkedAt.
	misses    int
	checkedAt time.Time
}

// checked notes the answer to a check.
func (r *rotation) checked(ready bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = now
	r.misses++
	if ready {
		r.misses = 0
	}
}

// outIn is how long the balancer will go on leading callers here, if no check finds
// the instance ready.
func (r *rotation) outIn(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := time.Duration(missesOut-r.misses) * checkEvery
	if r.checkedAt.IsZero() || left <= 0 {
		return max(left, 0)
	}
	return max(left-now.Sub(r.checkedAt), 0)
}

// comeBackElsewhere is when a caller should come back that the balancer will lead to
// other instances after a while: at once if its tries last until then.
func comeBackElsewhere(outIn time.Duration) time.Duration {
	if outIn <= ownPauses {
		return 0
	}
	return comeBackSoonest
}

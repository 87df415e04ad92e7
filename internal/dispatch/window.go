package dispatch

import "time"

// window limits the number of concurrent calls to workers according to how fast they are answered:
// it grows while this instance keeps up and shrinks when it does not.
type window struct {
	size     float64
	shrunkAt time.Time
}

const (
	minWindow = 32
	maxWindow = 256
	// initialWindow is the window size at the start of an epoch.
	initialWindow = 64
	// An answer within fastResponse lets the window grow, because this instance keeps up; one
	// after slowResponse or more shrinks it. Call timeouts are longer.
	fastResponse = 60 * time.Millisecond
	slowResponse = 120 * time.Millisecond
	// windowShrinkFactor is applied to the window after a late answer, at most once per
	// windowShrinkInterval: calls sent together are late together.
	windowShrinkFactor   = 0.6
	windowShrinkInterval = 300 * time.Millisecond
)

// responseTime is the recent average time from a start to its answer or timeout, as measured by this
// instance; each counts as at most maxLateResponse. A loaded instance measures late answers of
// healthy workers.
type responseTime time.Duration

// responseTimeWeight is the weight of the newest answer in the average.
const responseTimeWeight = 0.05

func (a *responseTime) record(took time.Duration) {
	*a += responseTime(responseTimeWeight * float64(took-time.Duration(*a)))
}

// atLeast returns d, a time limit for an instance without load, or a multiple of the average
// response time if that is longer.
func (a responseTime) atLeast(d time.Duration) time.Duration {
	return max(d, min(lateResponseFactor*time.Duration(a), maxLateResponse))
}

const (
	// lateResponseFactor is the multiple of the average response time from which an answer is
	// late.
	lateResponseFactor = 3
	// maxLateResponse limits that multiple: calls time out soon after.
	maxLateResponse = 400 * time.Millisecond
)

func newWindow() window { return window{size: initialWindow} }

// limit returns the number of calls that may be in flight.
func (w *window) limit() int { return int(w.size) }

// callEnded records that a call was answered or timed out after the given time while inFlight
// calls were in flight. An underused window is no evidence that a larger one would work, so it
// does not grow.
func (w *window) callEnded(took time.Duration, inFlight int, now time.Time) {
	switch {
	case took <= fastResponse && 2*inFlight >= w.limit():
		w.size = min(w.size+1, maxWindow)
	case took >= slowResponse && now.Sub(w.shrunkAt) >= windowShrinkInterval:
		w.size = max(w.size*windowShrinkFactor, minWindow)
		w.shrunkAt = now
	}
}

package dispatch

import "time"

// window bounds calls to workers that are under way, by how soon they are answered: it
// grows as long as this instance keeps up and shrinks when it does not.
type window struct {
	size     float64
	shrunkAt time.Time
}

const (
	windowLeast = 32
	windowMost  = 256
	// windowFirst is where an epoch begins.
	windowFirst = 64
	// windowFast is how soon an answer comes while this instance keeps up, and windowSlow
	// when it does not; the time-out of a call is longer.
	windowFast = 60 * time.Millisecond
	windowSlow = 120 * time.Millisecond
	// windowShrinks is how much of the window a late answer leaves, at most once in
	// windowShrinkEvery: calls that were sent together are late together.
	windowShrinks     = 0.6
	windowShrinkEvery = 300 * time.Millisecond
)

// answerTime is how long workers that answer took lately, as this instance sees it: a
// loaded instance sees late answers of workers that are well.
type answerTime time.Duration

// answerTimeWeight is the weight of the newest answer in the average.
const answerTimeWeight = 0.05

func (a *answerTime) note(after time.Duration) {
	*a += answerTime(answerTimeWeight * float64(after-time.Duration(*a)))
}

// atLeast is a time that is meant for an instance with time to spare, or some times as
// long as answers take if that is more.
func (a answerTime) atLeast(d time.Duration) time.Duration {
	return max(d, min(answerTimesLate*time.Duration(a), answerLateMost))
}

const (
	// answerTimesLate times the average is late.
	answerTimesLate = 3
	// answerLateMost bounds it: calls time out soon after.
	answerLateMost = 400 * time.Millisecond
)

func newWindow() window { return window{size: windowFirst} }

// most is how many calls may be under way.
func (w *window) most() int { return int(w.size) }

// ended takes that a call was answered, or given up, after a time, with so many under way
// until then. A window that is hardly used says nothing of a larger one.
func (w *window) ended(after time.Duration, underWay int, now time.Time) {
	switch {
	case after <= windowFast && 2*underWay >= w.most():
		w.size = min(w.size+1, windowMost)
	case after >= windowSlow && now.Sub(w.shrunkAt) >= windowShrinkEvery:
		w.size = max(w.size*windowShrinks, windowLeast)
		w.shrunkAt = now
	}
}

package membership

import "time"

// A server may disappear and return in quick succession, because its network or
// the instance list is unstable. Without damping, work would be sent to it
// after each return and interrupted by each loss. Each loss doubles the
// hold-down time during which a return is ignored, and each stable interval of
// ten initial hold-down times discounts one loss. The first loss causes no
// hold-down, because a single loss is not flapping.

const (
	initialHoldDown   = 5 * time.Second
	maxHoldDown       = time.Minute
	lossDecayInterval = 10 * initialHoldDown
)

// flapDamper counts the losses of one server.
type flapDamper struct {
	losses   int
	lastLoss time.Time
}

// recordLoss records that the server was lost.
func (f *flapDamper) recordLoss(now time.Time) {
	f.decay(now)
	f.losses++
	f.lastLoss = now
}

// heldDown reports whether a return at time now is ignored.
func (f *flapDamper) heldDown(now time.Time) bool { return now.Sub(f.lastLoss) < f.holdDown() }

// holdDown returns how long after the last loss a return is ignored.
func (f *flapDamper) holdDown() time.Duration {
	if f.losses <= 1 {
		return 0
	}
	duration := initialHoldDown
	for i := 2; i < f.losses && duration < maxHoldDown; i++ {
		duration *= 2
	}
	return min(duration, maxHoldDown)
}

func (f *flapDamper) decay(now time.Time) {
	if f.losses == 0 {
		return
	}
	decayed := int(now.Sub(f.lastLoss) / lossDecayInterval)
	f.losses = max(0, f.losses-decayed)
}

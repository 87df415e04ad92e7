package membership

import "time"

// This file answers the pattern in which a server comes and goes in quick
// succession, because its network or the list flickers. Without it work would
// follow each return and be cut off by each loss. Each loss doubles the time
// for which a return is not believed; a calm time of ten holds forgives one
// loss. The first loss costs nothing, because one loss is no pattern.

const (
	flapHold    = 5 * time.Second
	flapHoldMax = time.Minute
	flapForgive = 10 * flapHold
)

// flapping counts the losses of one server.
type flapping struct {
	losses int
	last   time.Time
}

// lost notes that the server went silent.
func (f *flapping) lost(now time.Time) {
	f.forgive(now)
	f.losses++
	f.last = now
}

// held reports whether a return at this time is not believed yet.
func (f *flapping) held(now time.Time) bool { return now.Sub(f.last) < f.hold() }

// hold returns how long after the last loss a return is not believed.
func (f *flapping) hold() time.Duration {
	if f.losses <= 1 {
		return 0
	}
	hold := flapHold
	for i := 2; i < f.losses && hold < flapHoldMax; i++ {
		hold *= 2
	}
	return min(hold, flapHoldMax)
}

func (f *flapping) forgive(now time.Time) {
	if f.losses == 0 {
		return
	}
	calm := int(now.Sub(f.last) / flapForgive)
	f.losses = max(0, f.losses-calm)
}

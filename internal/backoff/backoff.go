// Package backoff says how long to wait before trying again.
//
// It answers the pattern in which many instances lose the same server at the
// same moment: the platform comes back after an outage, or eight instances
// start together. Without it they all call at once, again and again, in step,
// and the server that just came back goes down again. The wait doubles, so that
// a long outage costs little, and half of it is random, so that instances drift
// apart within a few tries. It is never random down to zero, because a caller
// that is unlucky twice would call at once both times.
package backoff

import "time"

// Backoff counts the failures in a row of one caller. It is plain data and not
// safe for concurrent use.
type Backoff struct {
	// Base is the longest wait after the first failure, Max after any.
	Base, Max time.Duration
	failures  int
}

// Failed counts a failure and returns the wait before the next try: a part
// between one half and the whole of Base doubled for each earlier failure. The
// fraction, from 0 to 1, chooses the part and comes from the caller's random
// source.
func (b *Backoff) Failed(fraction float64) time.Duration {
	b.failures++
	return Spread(b.ceiling(), fraction)
}

// Succeeded forgets the failures.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Failures returns the failures in a row.
func (b *Backoff) Failures() int { return b.failures }

func (b *Backoff) ceiling() time.Duration {
	wait := b.Base
	for i := 1; i < b.failures && wait < b.Max; i++ {
		wait *= 2
	}
	return min(wait, b.Max)
}

// Spread returns the part of d between one half and the whole that fraction,
// from 0 to 1, chooses.
func Spread(d time.Duration, fraction float64) time.Duration {
	half := float64(d) / 2
	return time.Duration(half + half*fraction)
}

// Package backoff computes the wait before a retry: exponential backoff with
// jitter.
//
// It handles many instances that lose the same server at the same moment: the
// platform recovers from an outage, or eight instances start together. Without
// backoff they all call repeatedly at the same times, and the server that has
// just recovered fails again. The wait doubles, so a long outage causes few
// calls, and half of it is random, so the instances spread out within a few
// tries. The random part never reduces the wait to zero: a caller could
// otherwise draw zero twice and retry immediately both times.
package backoff

import "time"

// Backoff counts the consecutive failures of one caller. It is not safe for
// concurrent use.
type Backoff struct {
	// Base is the longest wait after the first failure, Max the longest after
	// any number of failures.
	Base, Max time.Duration
	failures  int
}

// RecordFailure records a failure and returns the wait before the next try. The
// longest wait is Base, doubled for each earlier failure, up to Max; the result
// lies between half of it and all of it, as chosen by fraction, a number from 0
// to 1 from the caller's random source.
func (b *Backoff) RecordFailure(fraction float64) time.Duration {
	b.failures++
	return Jitter(b.maxWait(), fraction)
}

// Reset resets the count of failures.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of consecutive failures.
func (b *Backoff) Failures() int { return b.failures }

func (b *Backoff) maxWait() time.Duration {
	wait := b.Base
	for i := 1; i < b.failures && wait < b.Max; i++ {
		wait *= 2
	}
	return min(wait, b.Max)
}

// Jitter maps fraction, from 0 to 1, to a duration from d/2 to d.
func Jitter(d time.Duration, fraction float64) time.Duration {
	half := float64(d) / 2
	return time.Duration(half + half*fraction)
}

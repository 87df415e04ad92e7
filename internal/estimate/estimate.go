// Package estimate corrects declared run times by what the same client account
// and kind of work really took. It is pure: times are passed in.
package estimate

import "time"

// Source gives the run time to plan with.
type Source interface {
	// Run returns the corrected run time of a job of this account and kind, a
	// high quantile, for a declared one.
	Run(account, kind string, declared time.Duration) time.Duration
}

// Declared takes declared run times as they are. It is the baseline.
type Declared struct{}

// Run implements Source.
func (Declared) Run(_, _ string, declared time.Duration) time.Duration { return declared }

// Package estimate corrects declared run times by the run times observed for the same
// client account and kind of work. It is pure: times are passed in.
package estimate

import "time"

// Source provides the run time to plan with.
type Source interface {
	// Run returns the corrected run time, a high quantile, for a job of this account
	// and kind with the given declared run time.
	Run(account, kind string, declared time.Duration) time.Duration
}

// Declared returns declared run times unchanged. It is the baseline.
type Declared struct{}

// Run implements Source.
func (Declared) Run(_, _ string, declared time.Duration) time.Duration { return declared }

package placement

// Disabled selects mechanisms to disable, so that a measurement can show the effect of
// each. The zero value disables none.
type Disabled struct {
	// Reservation makes no reservations: any job that fits starts before the jobs that
	// do not.
	Reservation bool
	// Backfill stops placing at the first job that does not fit.
	Backfill bool
	// FairOrder serves accounts in the order of the configuration.
	FairOrder bool
	// LatestStarts orders jobs by submission time instead of their latest start. A deadline
	// counts only if the latest start that meets it precedes the submission.
	LatestStarts bool
	// Heads lets any job of an account use its guarantee, regardless of larger jobs
	// that wait for it.
	Heads bool
	// Repack binds every guaranteed shape to fixed accelerators instead of packing the
	// shapes around running gangs.
	Repack bool
	// BestFit takes the first rack and the first workers that fit.
	BestFit bool
	// Reclaim never stops a borrower.
	Reclaim bool
	// CheapestReclaim takes the first region instead of the cheapest.
	CheapestReclaim bool
	// Objectives ignores the weights of the deployment.
	Objectives bool
}

// DecideWithout is Decide with some mechanisms disabled. It is for measurements only:
// the invariants hold, but the results are worse.
func DecideWithout(s Snapshot, disabled Disabled) Plan {
	return newDecider(&s, disabled).decide()
}

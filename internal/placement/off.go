package placement

// Off names decisions that are left out, so that a measurement can show what
// each is worth. The zero value leaves out none.
type Off struct {
	// Reservation leaves the first job that does not fit without a region of
	// its own: whatever fits goes ahead.
	Reservation bool
	// Backfill stops at the first job that does not fit.
	Backfill bool
	// FairOrder serves accounts in their order in the configuration.
	FairOrder bool
	// DueTimes orders jobs without a deadline by submission.
	DueTimes bool
	// Heads lets any job of an account into its guarantee.
	Heads bool
	// Repack binds every guaranteed shape to fixed accelerators, in place of
	// packing the shapes around what runs.
	Repack bool
	// BestFit takes the first rack and the first workers that fit.
	BestFit bool
	// Reclaim never stops a borrower.
	Reclaim bool
	// CheapestReclaim takes the first region in place of the cheapest.
	CheapestReclaim bool
	// Objectives ignores the weights of the deployment.
	Objectives bool
}

// DecideWithout is Decide with some decisions left out. It is for measurements
// only: the invariants hold, the figures are worse.
func DecideWithout(s Snapshot, off Off) Plan {
	return newDecider(&s, off).decide()
}

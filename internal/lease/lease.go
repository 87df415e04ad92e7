// Package lease keeps the placer lease of an availability zone: a row of the
// platform's tables, timed by the store's clock, with an epoch that rises at
// each change of hands.
package lease

import (
	"context"
	"time"
)

// Held is a zone's lease as its holder knows it.
type Held struct {
	Zone  string
	Epoch int64
	// Until is the holder's local (monotonic) time up to which it may rely on
	// the lease without asking again.
	Until time.Time
}

// Leases takes and keeps placer leases.
type Leases interface {
	// Acquire takes the lease if it is free, lapsed, or already this
	// instance's, and renews it. It returns KindConflict with the holder's name
	// in the message if another instance holds it, and KindStoreUnavailable if
	// the store does not answer.
	Acquire(ctx context.Context, zone, instance string) (Held, error)
	// Release gives the lease up, so that another instance can take it at once.
	Release(ctx context.Context, held Held, instance string) error
}

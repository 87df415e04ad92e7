// Package lease implements the placer lease of an availability zone: a row in
// the platform's tables whose expiry is measured by the store's clock and whose
// epoch increases with each change of holder.
package lease

import (
	"context"
	"time"
)

// Held is the holder's view of a zone's lease.
type Held struct {
	Zone  string
	Epoch int64
	// Until is the holder's local (monotonic) time up to which it may rely on
	// the lease without renewing it.
	Until time.Time
}

// Leases acquires, renews and releases placer leases.
type Leases interface {
	// Acquire takes the lease if it is free or expired, and renews it if this
	// instance already holds it. It returns KindConflict with the holder's name
	// in the message if another instance holds the lease, and
	// KindStoreUnavailable if the store does not answer.
	Acquire(ctx context.Context, zone, instance string) (Held, error)
	// Release releases the lease so that another instance can acquire it at
	// once.
	Release(ctx context.Context, held Held, instance string) error
}

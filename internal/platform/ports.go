// Package platform holds the ports to the platform's services (tables,
// objects, instance list) and their HTTP adapters.
package platform

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// CommitState says what is known of a transaction.
type CommitState int

// The three results of a transaction.
const (
	// CommitDone means that it took effect.
	CommitDone CommitState = iota + 1
	// CommitNotDone means that it did not and will not take effect.
	CommitNotDone
	// CommitUnknown means that it may have taken effect or may yet do so.
	CommitUnknown
)

// CommitResult is the result of a transaction.
type CommitResult struct {
	State CommitState
	// Conflicts lists the rows whose version differed, for CommitNotDone.
	Conflicts []api.Row
	// Now is the store's clock; zero for CommitUnknown.
	Now time.Time
	// Err is the cause of CommitUnknown, or of a CommitNotDone that never
	// reached the store. Nil for a plain conflict.
	Err error
}

// Purpose names who spends the store's budget. A lower value goes first.
type Purpose int

// The purposes, in order of precedence.
const (
	PurposeLease Purpose = iota
	PurposeConfig
	PurposeClaim
	PurposeOutcome
	PurposeSubmission
	PurposeOther
)

// Tables is the transactional table service. Implementations are safe for
// concurrent use. Every error carries a kind of package api.
type Tables interface {
	// Commit applies all operations of tx, or none.
	Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult
	// Read returns one row for each ref, in order; Version 0 where none is.
	Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error)
	// Scan returns a page of rows in the order of their keys.
	Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error)
}

// Objects is the object store. Objects are immutable: putting the same bytes
// under a name again succeeds, other bytes are a KindConflict.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns KindNotFound if there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceLister reads the platform's instance list, which lags.
type InstanceLister interface {
	List(ctx context.Context) (api.InstanceList, error)
}

// Package platform defines interfaces to the platform's services (tables,
// objects, instance list) and implements them over HTTP.
package platform

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// CommitState is the known outcome of a transaction.
type CommitState int

// Outcomes of a transaction.
const (
	// CommitDone means that the transaction took effect.
	CommitDone CommitState = iota + 1
	// CommitNotDone means that the transaction did not and will not take effect.
	CommitNotDone
	// CommitUnknown means that the transaction may have taken effect or may still
	// do so.
	CommitUnknown
)

// CommitResult is the result of a transaction.
type CommitResult struct {
	State CommitState
	// Conflicts lists the current rows whose versions did not match, for
	// CommitNotDone.
	Conflicts []api.Row
	// Now is the store's time; zero if Err is set.
	Now time.Time
	// Err is the cause of CommitUnknown, or of CommitNotDone if the transaction was
	// not sent or the platform rejected it. It is nil for a version conflict.
	Err error
}

// Purpose classifies a store call for the store budget. Lower values take
// precedence.
type Purpose int

// Purposes in order of precedence, highest first.
const (
	PurposeLease Purpose = iota
	PurposeConfig
	PurposeClaim
	PurposeOutcome
	PurposeSubmission
	PurposeOther
)

// Tables is the transactional table service. Implementations are safe for
// concurrent use. Every error has an api.Kind.
type Tables interface {
	// Commit applies all operations of tx or none.
	Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult
	// Read returns one row per ref, in the same order. Rows that do not exist have
	// version 0.
	Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error)
	// Scan returns a page of rows in key order.
	Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error)
}

// Objects is the object store. Objects are immutable: putting the same bytes
// under an existing name succeeds, putting other bytes fails with KindConflict.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get fails with KindNotFound if there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceLister reads the platform's instance list, which lags behind the
// actual state.
type InstanceLister interface {
	List(ctx context.Context) (api.InstanceList, error)
}

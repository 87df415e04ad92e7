package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
)

// The bounds of the attempts to learn what became of an unanswered commit.
const (
	resolveAttempts = 6
	resolveFirst    = 20 * time.Millisecond
	resolveMost     = time.Second
)

// Resolving settles commits whose answer was lost by repeating them under the
// same write id. The store applies an id once, so the repeat is the read-back
// and the fence in one: either it takes effect now (and the delayed original
// is void), or it is told that the original did, or it conflicts. A conflict
// is final, because versions only rise: the expected version cannot come back.
// The one exception is a deleted row, which an insert would match again; so a
// row whose insertion carries a right (claims, jobs, leases, the configuration
// head) is never deleted.
type Resolving struct {
	Tables
}

// NewResolving returns tables whose Commit is CommitUnknown only if the store
// stays silent until the context or the attempts end.
func NewResolving(tables Tables) *Resolving { return &Resolving{Tables: tables} }

// Commit implements Tables.
func (r *Resolving) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	result := r.Tables.Commit(ctx, purpose, tx)
	retry := backoff.Backoff{Base: resolveFirst, Max: resolveMost}
	for attempt := 1; result.State == CommitUnknown && attempt < resolveAttempts; attempt++ {
		if !pause(ctx, retry.Failed(rand.Float64())) {
			return result
		}
		result = resolved(result, r.Tables.Commit(ctx, purpose, tx), tx.WriteID)
	}
	return result
}

// resolved combines an unknown result with that of the repeat.
func resolved(unknown, repeat CommitResult, writeID string) CommitResult {
	switch {
	case repeat.State == CommitDone:
		return repeat
	case repeat.State == CommitNotDone && repeat.Err == nil:
		return unlessWritten(repeat, writeID)
	default:
		return unknown
	}
}

// unlessWritten turns a conflict into a success if a conflicting row was
// written by the transaction itself.
func unlessWritten(conflict CommitResult, writeID string) CommitResult {
	for _, row := range conflict.Conflicts {
		if row.WriteID == writeID {
			return CommitResult{State: CommitDone, Now: conflict.Now}
		}
	}
	return conflict
}

// pause waits for d and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
)

// Limits of the attempts to resolve an unanswered commit.
const (
	resolveAttempts  = 6
	resolveBaseDelay = 20 * time.Millisecond
	resolveMaxDelay  = time.Second
)

// ResolvingTables resolves commits whose answer was lost by repeating them with the
// same write id. The store applies each id at most once, so the repeat both reads
// back the result and fences the original: it takes effect now (and a delayed
// original no longer can), it returns that the original took effect, or it
// conflicts. A conflict is final because versions only increase: the expected
// version cannot reappear. The exception is a deleted row, which an insert would
// match again. Rows whose insertion grants a right (claims, jobs, leases, the
// configuration head) are therefore never deleted.
type ResolvingTables struct {
	Tables
}

// NewResolvingTables returns tables whose Commit returns CommitUnknown only if the
// store does not answer before the context ends or the attempts are used up.
func NewResolvingTables(tables Tables) *ResolvingTables { return &ResolvingTables{Tables: tables} }

// Commit implements Tables.
func (r *ResolvingTables) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	result := r.Tables.Commit(ctx, purpose, tx)
	retry := backoff.Backoff{Base: resolveBaseDelay, Max: resolveMaxDelay}
	for attempt := 1; result.State == CommitUnknown && attempt < resolveAttempts; attempt++ {
		if !sleep(ctx, retry.RecordFailure(rand.Float64())) {
			return result
		}
		result = mergeRepeat(result, r.Tables.Commit(ctx, purpose, tx), tx.WriteID)
	}
	return result
}

// mergeRepeat combines an unknown result with the result of the repeat.
func mergeRepeat(unknown, repeat CommitResult, writeID string) CommitResult {
	switch {
	case repeat.State == CommitDone:
		return repeat
	case repeat.State == CommitNotDone && repeat.Err == nil:
		return doneIfOwnWrite(repeat, writeID)
	default:
		return unknown
	}
}

// doneIfOwnWrite converts a conflict to CommitDone if a conflicting row was
// written by the transaction itself.
func doneIfOwnWrite(conflict CommitResult, writeID string) CommitResult {
	for _, row := range conflict.Conflicts {
		if row.WriteID == writeID {
			return CommitResult{State: CommitDone, Now: conflict.Now}
		}
	}
	return conflict
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

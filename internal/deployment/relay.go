package deployment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// The store calls that peers make for each other, and how they fail.
const (
	opWrite  = "write"
	opRead   = "read"
	opFollow = "follow"

	failureUnknown     = "unknown"
	failureNotDone     = "not_done"
	failureHistoryGone = "history_gone"
)

// relayError tells a call to a peer that never left from one that may have
// reached the store.
func relayError(err error) error {
	if api.IsKind(err, api.KindResultUnknown) {
		return fmt.Errorf("%w: %w", workload.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", workload.ErrNotDone, err)
}

// serveStore makes a store call for a peer, directly: a peer that cannot reach
// the store itself must not pass the call on.
func serveStore(ctx context.Context, store workload.Store, call *peerpb.StoreCall) *peerpb.StoreAnswer {
	var answer *peerpb.StoreAnswer
	var err error
	switch call.GetOp() {
	case opWrite:
		var written workload.Written
		written, err = store.Write(ctx, workload.Write{
			Part: call.GetPart(), Expect: unpackRows(call.GetExpect()), Put: unpackRows(call.GetPut()), Remove: call.GetRemove(),
		})
		answer = &peerpb.StoreAnswer{Rows: packRows(written.Rows), Version: written.Version, Conflict: written.Conflict}
	case opRead, opFollow:
		var page workload.Page
		source := workload.Source(call.GetSource())
		if call.GetOp() == opRead {
			page, err = store.Read(ctx, source, call.GetPart(), call.GetFrom(), call.GetTo())
		} else {
			page, err = store.Follow(ctx, source, call.GetAfter(), time.Duration(call.GetWaitMs())*time.Millisecond)
		}
		answer = &peerpb.StoreAnswer{Rows: packRows(page.Rows), Version: page.Version, More: page.More}
	default:
		err = fmt.Errorf("%w: no store call %q", workload.ErrNotDone, call.GetOp())
	}
	if err != nil {
		return &peerpb.StoreAnswer{Failure: failureOf(err), Message: err.Error()}
	}
	return answer
}

func failureOf(err error) string {
	switch {
	case errors.Is(err, workload.ErrHistoryGone):
		return failureHistoryGone
	case errors.Is(err, workload.ErrUnknown):
		return failureUnknown
	}
	return failureNotDone
}

func packRows(rows []workload.Row) []*peerpb.StoreRow {
	list := make([]*peerpb.StoreRow, len(rows))
	for i, row := range rows {
		list[i] = &peerpb.StoreRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
	}
	return list
}

func unpackRows(rows []*peerpb.StoreRow) []workload.Row {
	list := make([]workload.Row, len(rows))
	for i, row := range rows {
		list[i] = workload.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted()}
	}
	return list
}

package deployment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// The store calls that peers make for each other, and their failures.
const (
	opWrite  = "write"
	opRead   = "read"
	opFollow = "follow"

	failureUnknown     = "unknown"
	failureNotDone     = "not_done"
	failureHistoryGone = "history_gone"
	failureRefused     = "refused"
)

// relayError distinguishes a call to a peer that was never sent from one that may have
// reached the store.
func relayError(err error) error {
	if api.IsKind(err, api.KindResultUnknown) {
		return fmt.Errorf("%w: %w", workload.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", workload.ErrNotDone, err)
}

// serveStore makes a store call for a peer, directly: a peer that cannot reach the
// store itself must not pass the call on.
func serveStore(ctx context.Context, store workload.Store, call *peerpb.StoreCall) *peerpb.StoreAnswer {
	var answer *peerpb.StoreAnswer
	var err error
	switch call.GetOp() {
	case opWrite:
		var written workload.WriteResult
		written, err = store.Write(ctx, workload.Write{
			Part: call.GetPart(), Expect: rowsFromProto(call.GetExpect()), Put: rowsFromProto(call.GetPut()), Remove: call.GetRemove(),
		})
		answer = &peerpb.StoreAnswer{Rows: rowsToProto(written.Rows), Version: written.Version, Conflict: written.Conflict}
	case opRead, opFollow:
		var page workload.Page
		source := workload.Source(call.GetSource())
		if call.GetOp() == opRead {
			page, err = store.Read(ctx, source, call.GetPart(), call.GetFrom(), call.GetTo())
		} else {
			page, err = store.Follow(ctx, source, call.GetAfter(), time.Duration(call.GetWaitMs())*time.Millisecond)
		}
		answer = &peerpb.StoreAnswer{Rows: rowsToProto(page.Rows), Version: page.Version, More: page.More}
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
	case errors.Is(err, workload.ErrRefused):
		return failureRefused
	case errors.Is(err, workload.ErrUnknown):
		return failureUnknown
	}
	return failureNotDone
}

// relayStore reaches the store through one peer. It implements workload.Store.
type relayStore struct {
	peer   string
	caller peer.Caller
}

func (s *relayStore) call(ctx context.Context, call *peerpb.StoreCall) (*peerpb.StoreAnswer, error) {
	response, err := s.caller.Call(ctx, s.peer, &peerpb.Request{Body: &peerpb.Request_Store{Store: call}})
	if err != nil {
		return nil, relayError(err)
	}
	answer := response.GetStore()
	switch answer.GetFailure() {
	case "":
		return answer, nil
	case failureNotDone:
		return nil, fmt.Errorf("%w: %s", workload.ErrNotDone, answer.GetMessage())
	case failureHistoryGone:
		return nil, fmt.Errorf("%w: %s", workload.ErrHistoryGone, answer.GetMessage())
	case failureRefused:
		return nil, fmt.Errorf("%w: %w: %s", workload.ErrRefused, workload.ErrNotDone, answer.GetMessage())
	}
	return nil, fmt.Errorf("%w: %s", workload.ErrUnknown, answer.GetMessage())
}

// Write implements workload.Store.
func (s *relayStore) Write(ctx context.Context, write workload.Write) (workload.WriteResult, error) {
	answer, err := s.call(ctx, &peerpb.StoreCall{
		Op: opWrite, Part: write.Part, Expect: rowsToProto(write.Expect), Put: rowsToProto(write.Put), Remove: write.Remove,
	})
	if err != nil {
		return workload.WriteResult{}, err
	}
	return workload.WriteResult{Version: answer.GetVersion(), Conflict: answer.GetConflict(), Rows: rowsFromProto(answer.GetRows())}, nil
}

// Read implements workload.Store.
func (s *relayStore) Read(ctx context.Context, source workload.Source, part, from, to string) (workload.Page, error) {
	answer, err := s.call(ctx, &peerpb.StoreCall{Op: opRead, Source: string(source), Part: part, From: from, To: to})
	return relayPage(answer, err)
}

// Follow implements workload.Store.
func (s *relayStore) Follow(ctx context.Context, source workload.Source, after int64, wait time.Duration) (workload.Page, error) {
	answer, err := s.call(ctx, &peerpb.StoreCall{Op: opFollow, Source: string(source), After: after, WaitMs: wait.Milliseconds()})
	return relayPage(answer, err)
}

func relayPage(answer *peerpb.StoreAnswer, err error) (workload.Page, error) {
	if err != nil {
		return workload.Page{}, err
	}
	return workload.Page{Rows: rowsFromProto(answer.GetRows()), Version: answer.GetVersion(), More: answer.GetMore()}, nil
}

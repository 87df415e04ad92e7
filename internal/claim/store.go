package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// table holds one row for each account and key. Rows are never deleted: the
// resolving of lost answers relies on it, and an earlier answer must be found.
const table = "claims"

// The times between reads while an earlier arrival is under way.
const (
	waitFirst = 50 * time.Millisecond
	waitMost  = time.Second
)

// state is the state of a claim row.
type state string

// The states of a claim row: claimed leads to settled or released, released
// leads to claimed.
const (
	stateClaimed  state = "claimed"
	stateSettled  state = "settled"
	stateReleased state = "released"
)

// row is the value of a claim row.
type row struct {
	State      state  `json:"state"`
	RequestID  string `json:"request_id"`
	Holder     string `json:"holder"`
	BodyDigest string `json:"body_digest"`
	// Answer is set in stateSettled.
	Answer *api.RequestAnswer `json:"answer,omitempty"`
}

// maxUnsettled bounds the claims of this process whose end is not recorded.
const maxUnsettled = 10000

// Store is the implementation of Claims. It is safe for concurrent use.
type Store struct {
	tables platform.Tables

	mu sync.Mutex // guards unsettled and the fields of its entries
	// unsettled has the claims of this process, from the attempt to insert
	// them until their end is recorded.
	unsettled map[api.Ref]*held
}

var _ Claims = (*Store)(nil)

// New returns claims kept in tables, whose Commit must settle lost answers
// (see platform.Resolving). Run records the ends that the store missed.
func New(tables platform.Tables) *Store {
	return &Store{tables: tables, unsettled: make(map[api.Ref]*held)}
}

// Claim implements Claims.
func (s *Store) Claim(ctx context.Context, request Request) (Held, *api.RequestAnswer, error) {
	present := api.Row{Ref: api.Ref{Table: table, Key: request.Account + "/" + request.Key}}
	for delay := waitFirst; ; delay = min(2*delay, waitMost) {
		next, answer, err := s.step(ctx, request, present)
		if err != nil || answer != nil || next.held != nil {
			return next.claim(), answer, err
		}
		present = next.present
		if next.retry {
			continue
		}
		if !pause(ctx, delay/2+rand.N(delay/2)) {
			return nil, unknown(request, "an earlier arrival of the key has not ended"), nil
		}
		if read, err := s.tables.Read(ctx, platform.PurposeClaim, present.Ref); err == nil {
			present = read.Rows[0]
		}
	}
}

// stepped is what one look at the row led to.
type stepped struct {
	held    *held
	present api.Row
	// retry asks for another step without a wait.
	retry bool
}

func (s stepped) claim() Held {
	if s.held == nil {
		return nil
	}
	return s.held
}

// step acts on the row as last seen: it claims a row that is absent or
// released, returns a recorded answer, or finds an earlier arrival under way.
func (s *Store) step(ctx context.Context, request Request, present api.Row) (stepped, *api.RequestAnswer, error) {
	var seen row
	if present.Version != 0 {
		if err := json.Unmarshal(present.Value, &seen); err != nil {
			return stepped{}, nil, api.NewError(api.KindInternal, "claim row %s: %w", present.Key, err)
		}
		if seen.BodyDigest != request.BodyDigest {
			return stepped{}, nil, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
		}
	}
	switch {
	case seen.State == stateSettled:
		answer := *seen.Answer
		answer.Replayed = true
		return stepped{}, &answer, nil
	case seen.State == stateClaimed:
		return stepped{present: present}, nil, nil
	}
	return s.insert(ctx, request, present)
}

// insert tries to take the claim over the version last seen.
func (s *Store) insert(ctx context.Context, request Request, present api.Row) (stepped, *api.RequestAnswer, error) {
	mine := &held{store: s, ref: present.Ref, row: row{
		State: stateClaimed, RequestID: request.RequestID, Holder: request.Holder, BodyDigest: request.BodyDigest,
	}}
	begun, answer, err := s.begin(mine, request)
	if !begun {
		return stepped{present: present}, answer, err
	}
	result := write(ctx, s.tables, platform.PurposeClaim, present, mine.row)
	switch {
	case result.State == platform.CommitDone:
		return stepped{held: mine}, nil, nil
	case result.State == platform.CommitUnknown:
		s.abandon(mine)
		return stepped{}, nil, platform.ErrorOf(result)
	}
	s.forget(mine)
	if len(result.Conflicts) == 1 {
		return stepped{present: result.Conflicts[0], retry: true}, nil, nil
	}
	return stepped{}, nil, platform.ErrorOf(result)
}

func write(ctx context.Context, tables platform.Tables, purpose platform.Purpose, present api.Row, next row) platform.CommitResult {
	value, err := json.Marshal(next)
	if err != nil {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	op := api.Op{Ref: present.Ref, IfVersion: present.Version, Value: value}
	return tables.Commit(ctx, purpose, api.Tx{WriteID: platform.NewWriteID(), Ops: []api.Op{op}})
}

func unknown(request Request, message string) *api.RequestAnswer {
	return &api.RequestAnswer{
		ID: request.RequestID, Outcome: api.OutcomeUnknown, ErrorKind: api.KindResultUnknown, Message: message,
		RetryAfterS: api.AnswerFor(api.KindResultUnknown).RetryAfterS,
	}
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

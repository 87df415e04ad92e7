package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// The tables. Rows are never deleted: the resolving of lost answers relies on
// it, and an earlier answer must be found.
const (
	// tableClaims has one row for each account and key: who claimed it last.
	tableClaims = "claims"
	// tableEnds has one row for each claim that ended, by the key and the
	// name of the claim. Only the holder inserts it, so that ending a
	// claim needs no read of any version.
	tableEnds = "claim_ends"
)

// The times between reads while an earlier arrival is under way.
const (
	waitFirst = 50 * time.Millisecond
	waitMost  = time.Second
)

// claimRow is the value of a claim's row.
type claimRow struct {
	// Claim names this claim among all, so that an arrival that gave one up
	// and claims again is not ended by the end of its first.
	Claim      string `json:"claim"`
	RequestID  string `json:"request_id"`
	Holder     string `json:"holder"`
	BodyDigest string `json:"body_digest"`
}

// endRow is the value of the row that ends a claim.
type endRow struct {
	// Released says that the work did not run, and that the key is free.
	Released bool `json:"released,omitempty"`
	// Answer is the final answer, unless the claim was released.
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

func claimRef(request Request) api.Ref {
	return api.Ref{Table: tableClaims, Key: request.Account + "/" + request.Key}
}

func endRef(key api.Ref, claim claimRow) api.Ref {
	return api.Ref{Table: tableEnds, Key: key.Key + "/" + claim.Claim}
}

// Claim implements Claims.
func (s *Store) Claim(ctx context.Context, request Request) (Held, *api.RequestAnswer, error) {
	present := seen{row: api.Row{Ref: claimRef(request)}}
	retry := backoff.Backoff{Base: waitFirst, Max: waitMost}
	for {
		next, err := s.step(ctx, request, present)
		switch {
		case err != nil:
			return nil, nil, err
		case next.held != nil:
			return next.held, nil, nil
		case next.answer != nil:
			return nil, next.answer, nil
		}
		if !next.again && !pause(ctx, retry.Failed(rand.Float64())) {
			return nil, unknown(request, "an earlier arrival of the key has not ended"), nil
		}
		present = s.look(ctx, next.present)
	}
}

// seen is a claim as last read.
type seen struct {
	row   api.Row
	claim claimRow
	// end is nil while the claim is under way.
	end *endRow
}

// stepped is what one look at a claim led to: the claim, an answer, or another
// look, which again asks for at once.
type stepped struct {
	held    *held
	answer  *api.RequestAnswer
	present seen
	again   bool
}

// step acts on a claim as last seen: it claims a key that is free, returns the
// recorded answer, or leaves an earlier arrival under way alone.
func (s *Store) step(ctx context.Context, request Request, present seen) (stepped, error) {
	switch {
	case present.row.Version == 0:
		return s.insert(ctx, request, present)
	case present.claim.BodyDigest != request.BodyDigest:
		return stepped{}, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
	case present.end == nil:
		return stepped{present: present}, nil
	case present.end.Released:
		return s.insert(ctx, request, present)
	}
	return stepped{answer: replay(present.end.Answer)}, nil
}

func replay(recorded *api.RequestAnswer) *api.RequestAnswer {
	answer := *recorded
	answer.Replayed = true
	return &answer
}

// look reads a claim again, with its end. Without an answer of the store it is
// as it was.
func (s *Store) look(ctx context.Context, before seen) seen {
	rows, err := s.tables.Read(ctx, platform.PurposeClaim, before.row.Ref, endRef(before.row.Ref, before.claim))
	if err != nil {
		return before
	}
	now := seen{row: rows.Rows[0]}
	if now.row.Version != 0 && json.Unmarshal(now.row.Value, &now.claim) != nil {
		return before
	}
	// The second row ends this claim only if the claim has not changed hands.
	end := rows.Rows[1]
	if end.Version != 0 && now.claim == before.claim {
		now.end = new(endRow)
		if json.Unmarshal(end.Value, now.end) != nil {
			return before
		}
	}
	return now
}

// insert tries to take the claim over the version last seen.
func (s *Store) insert(ctx context.Context, request Request, present seen) (stepped, error) {
	claim := claimRow{
		Claim: platform.NewWriteID(), RequestID: request.RequestID, Holder: request.Holder, BodyDigest: request.BodyDigest,
	}
	mine := &held{store: s, ref: present.row.Ref, claim: claim}
	begun, answer, err := s.begin(mine, request)
	if !begun {
		return stepped{present: present, answer: answer}, err
	}
	result := put(ctx, s.tables, platform.PurposeClaim, present.row, claim)
	switch {
	case result.State == platform.CommitDone:
		return stepped{held: mine}, nil
	case result.State == platform.CommitUnknown:
		s.abandon(mine)
		return stepped{}, platform.ErrorOf(result)
	}
	s.forget(mine)
	if len(result.Conflicts) == 0 {
		return stepped{}, notClaimed(request, result.Err)
	}
	return stepped{present: conflicting(result.Conflicts[0]), again: true}, nil
}

// notClaimed says what a store that is out leaves known: this arrival did not
// run, and nothing about earlier ones.
func notClaimed(request Request, cause error) error {
	return api.NewError(api.KindStoreUnavailable,
		"this submission did not run; whether an earlier one with key %s did is known when the store returns: send the same key again: %w",
		request.Key, cause)
}

// conflicting is what a conflict tells of the claim; its end is yet to be read.
func conflicting(row api.Row) seen {
	present := seen{row: row}
	if json.Unmarshal(row.Value, &present.claim) != nil {
		present.claim = claimRow{}
	}
	return present
}

// put writes value over the present version of a row.
func put(ctx context.Context, tables platform.Tables, purpose platform.Purpose, present api.Row, value any) platform.CommitResult {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	op := api.Op{Ref: present.Ref, IfVersion: present.Version, Value: data}
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

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

// The tables. Rows are never deleted: resolving lost answers relies on it, and
// answers of earlier arrivals must remain available.
const (
	// tableClaims has one row per account and key, for the latest claim.
	tableClaims = "claims"
	// tableOutcomes has one row per ended claim. Its key consists of the key of
	// the claim's row and the unique name of the claim. Only the holder inserts
	// it, so ending a claim does not require reading a version.
	tableOutcomes = "claim_ends"
)

// The limits of the time between reads while an earlier arrival is in progress.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// claimRow is the value of a row of tableClaims.
type claimRow struct {
	// Claim is a unique name of this claim, so that the outcome of a claim that
	// an arrival gave up does not end its later claim of the same key.
	Claim      string `json:"claim"`
	RequestID  string `json:"request_id"`
	Holder     string `json:"holder"`
	BodyDigest string `json:"body_digest"`
}

// outcomeRow is the value of a row of tableOutcomes.
type outcomeRow struct {
	// Released reports that the work did not run and that the key is free.
	Released bool `json:"released,omitempty"`
	// Answer is the final answer, unless the claim was released.
	Answer *api.RequestAnswer `json:"answer,omitempty"`
}

// maxUnsettled bounds the claims of this process whose outcome is not recorded.
const maxUnsettled = 10000

// Store implements Claims on the platform's tables. It is safe for concurrent
// use.
type Store struct {
	tables platform.Tables

	mu sync.Mutex // guards unsettled and the fields of its entries
	// unsettled holds the claims of this process, from the attempt to insert
	// them until their outcome is recorded.
	unsettled map[api.Ref]*held
}

var _ Claims = (*Store)(nil)

// New returns a Store that keeps claims in tables, whose Commit must resolve
// lost answers (see platform.ResolvingTables). Run records the outcomes that could
// not be stored at first.
func New(tables platform.Tables) *Store {
	return &Store{tables: tables, unsettled: make(map[api.Ref]*held)}
}

func claimRef(request Request) api.Ref {
	return api.Ref{Table: tableClaims, Key: request.Account + "/" + request.Key}
}

func outcomeRef(claimKey api.Ref, claim claimRow) api.Ref {
	return api.Ref{Table: tableOutcomes, Key: claimKey.Key + "/" + claim.Claim}
}

// Claim implements Claims.
func (s *Store) Claim(ctx context.Context, request Request) (Held, *api.RequestAnswer, error) {
	current := storedClaim{row: api.Row{Ref: claimRef(request)}}
	poll := backoff.Backoff{Base: minPollInterval, Max: maxPollInterval}
	for {
		result, err := s.tryClaim(ctx, request, current)
		switch {
		case err != nil:
			return nil, nil, err
		case result.held != nil:
			return result.held, nil, nil
		case result.answer != nil:
			return nil, result.answer, nil
		}
		if !result.retryNow && !sleep(ctx, poll.RecordFailure(rand.Float64())) {
			return nil, unknownAnswer(request, "an earlier arrival of the key has not ended"), nil
		}
		current = s.reread(ctx, result.current)
	}
}

// storedClaim is a claim as last read from the store.
type storedClaim struct {
	row   api.Row
	claim claimRow
	// outcome is nil while the claim is in progress.
	outcome *outcomeRow
}

// claimResult is the result of one attempt to claim a key: a held claim, an
// answer, or neither. In the last case the claim is read again, at once if
// retryNow is set.
type claimResult struct {
	held     *held
	answer   *api.RequestAnswer
	current  storedClaim
	retryNow bool
}

// tryClaim acts on a claim as last read: it claims a free key, returns the
// recorded answer, or leaves a claim in progress unchanged.
func (s *Store) tryClaim(ctx context.Context, request Request, current storedClaim) (claimResult, error) {
	switch {
	case current.row.Version == 0:
		return s.insert(ctx, request, current)
	case current.claim.BodyDigest != request.BodyDigest:
		return claimResult{}, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
	case current.outcome == nil:
		return claimResult{current: current}, nil
	case current.outcome.Released:
		return s.insert(ctx, request, current)
	}
	return claimResult{answer: replayed(current.outcome.Answer)}, nil
}

func replayed(recorded *api.RequestAnswer) *api.RequestAnswer {
	answer := *recorded
	answer.Replayed = true
	return &answer
}

// reread reads a claim and its outcome again. It returns previous if the store
// does not answer or a row cannot be decoded.
func (s *Store) reread(ctx context.Context, previous storedClaim) storedClaim {
	rows, err := s.tables.Read(ctx, platform.PurposeClaim, previous.row.Ref, outcomeRef(previous.row.Ref, previous.claim))
	if err != nil {
		return previous
	}
	current := storedClaim{row: rows.Rows[0]}
	if current.row.Version != 0 && json.Unmarshal(current.row.Value, &current.claim) != nil {
		return previous
	}
	// The second row is the outcome of this claim only if the claim has not
	// changed hands.
	outcome := rows.Rows[1]
	if outcome.Version != 0 && current.claim == previous.claim {
		current.outcome = new(outcomeRow)
		if json.Unmarshal(outcome.Value, current.outcome) != nil {
			return previous
		}
	}
	return current
}

// insert tries to insert a claim over the version last read.
func (s *Store) insert(ctx context.Context, request Request, current storedClaim) (claimResult, error) {
	claim := claimRow{
		Claim: platform.NewWriteID(), RequestID: request.RequestID, Holder: request.Holder, BodyDigest: request.BodyDigest,
	}
	own := &held{store: s, ref: current.row.Ref, claim: claim}
	registered, answer, err := s.register(own, request)
	if !registered {
		return claimResult{current: current, answer: answer}, err
	}
	result := writeRow(ctx, s.tables, platform.PurposeClaim, current.row, claim)
	switch {
	case result.State == platform.CommitDone:
		return claimResult{held: own}, nil
	case result.State == platform.CommitUnknown:
		s.abandon(own)
		return claimResult{}, platform.ErrorOf(result)
	}
	s.remove(own)
	if len(result.Conflicts) == 0 {
		return claimResult{}, notClaimedError(request, result.Err)
	}
	return claimResult{current: claimFromConflict(result.Conflicts[0]), retryNow: true}, nil
}

// notClaimedError returns the error for an arrival that could not insert its
// claim because the store is unavailable: this arrival did not run, and nothing
// is known about earlier ones.
func notClaimedError(request Request, cause error) error {
	return api.NewError(api.KindStoreUnavailable,
		"this submission did not run; whether an earlier one with key %s did is known when the store returns: send the same key again: %w",
		request.Key, cause)
}

// claimFromConflict returns the claim in a conflicting row. Its outcome is not
// read yet.
func claimFromConflict(row api.Row) storedClaim {
	current := storedClaim{row: row}
	if json.Unmarshal(row.Value, &current.claim) != nil {
		current.claim = claimRow{}
	}
	return current
}

// writeRow writes value over the current version of a row.
func writeRow(ctx context.Context, tables platform.Tables, purpose platform.Purpose, current api.Row, value any) platform.CommitResult {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	op := api.Op{Ref: current.Ref, IfVersion: current.Version, Value: data}
	return tables.Commit(ctx, purpose, api.Tx{WriteID: platform.NewWriteID(), Ops: []api.Op{op}})
}

func unknownAnswer(request Request, message string) *api.RequestAnswer {
	return &api.RequestAnswer{
		ID: request.RequestID, Outcome: api.OutcomeUnknown, ErrorKind: api.KindResultUnknown, Message: message,
		RetryAfterS: api.AnswerFor(api.KindResultUnknown).RetryAfterS,
	}
}

// sleep waits for d. It reports false if ctx ended first.
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

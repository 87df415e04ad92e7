package claim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// The timing of the sweep, which records the outcomes that could not be stored
// at first, and of Drain.
const (
	sweepInterval = time.Second
	sweepTimeout  = 10 * time.Second
	// sweepBatchSize is the number of outcomes recorded concurrently.
	sweepBatchSize = 64
	// drainTimeout bounds Drain: an unavailable store must not block a
	// shutdown.
	drainTimeout = 3 * time.Second
)

// held is a claim of this process. Its store's mu guards outcome and
// unrecorded. Once set, outcome does not change and is also read without mu.
type held struct {
	store *Store
	ref   api.Ref
	claim claimRow
	// outcome is nil while the claim is in progress.
	outcome *outcomeRow
	// unrecorded reports that the store does not have the outcome yet and that
	// only the sweep writes it.
	unrecorded bool
}

// Settle implements Held.
func (h *held) Settle(ctx context.Context, answer api.RequestAnswer) error {
	return h.finish(ctx, outcomeRow{Answer: &answer})
}

// Release implements Held.
func (h *held) Release(ctx context.Context) error {
	return h.finish(ctx, outcomeRow{Released: true})
}

// finish sets and records the outcome of the claim. It returns KindConflict if
// the claim has an outcome already.
func (h *held) finish(ctx context.Context, outcome outcomeRow) error {
	if !h.store.setOutcome(h, outcome) {
		return api.NewError(api.KindConflict, "the claim on %s has ended before", h.ref.Key)
	}
	err := h.store.recordOutcome(ctx, h)
	h.store.applyRecordResult(h, err)
	return err
}

// register adds a claim to unsettled before its insertion and reports true. It
// reports false if this process already has a claim of the key: it then returns
// the answer, if that is known, or an error if the key is about to be released.
// It also returns an error if the body differs or too many claims are unsettled.
func (s *Store) register(own *held, request Request) (bool, *api.RequestAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.unsettled[own.ref]
	switch {
	case !ok && len(s.unsettled) >= maxUnsettled:
		return false, nil, api.NewError(api.KindStoreUnavailable, "too many claims wait for the store")
	case !ok:
		s.unsettled[own.ref] = own
		return true, nil, nil
	case existing.claim.BodyDigest != request.BodyDigest:
		return false, nil, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
	case existing.outcome == nil:
		return false, nil, nil
	case existing.outcome.Released:
		return false, nil, api.NewError(api.KindStoreUnavailable, "an earlier claim of the key is being released")
	}
	return false, replayed(existing.outcome.Answer), nil
}

// remove deletes from unsettled a claim that was not inserted into the store.
func (s *Store) remove(h *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unsettled, h.ref)
}

// abandon releases a claim that may have been inserted: it is never used, and
// the sweep records its release.
func (s *Store) abandon(h *held) {
	s.setOutcome(h, outcomeRow{Released: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	h.unrecorded = true
}

// setOutcome sets the outcome of a claim. It reports false if the claim has one
// already.
func (s *Store) setOutcome(h *held, outcome outcomeRow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.outcome != nil {
		return false
	}
	h.outcome = &outcome
	return true
}

// applyRecordResult applies the result of recordOutcome: a claim whose outcome
// the store may lack is left to the sweep, any other is removed from unsettled.
func (s *Store) applyRecordResult(h *held, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if api.IsKind(err, api.KindStoreUnavailable) || api.IsKind(err, api.KindResultUnknown) {
		h.unrecorded = true
		return
	}
	delete(s.unsettled, h.ref)
}

// recordOutcome inserts the outcome of a claim. If the insertion of the claim
// itself has an unknown result, the outcome may be stored before the claim is,
// or although the claim never is. This is harmless, because the outcome names
// its claim and so affects no other. A conflict means that an earlier attempt
// has inserted the outcome.
func (s *Store) recordOutcome(ctx context.Context, h *held) error {
	outcome := api.Row{Ref: outcomeRef(h.ref, h.claim)}
	err := platform.ErrorOf(writeRow(ctx, s.tables, platform.PurposeOutcome, outcome, h.outcome))
	if api.IsKind(err, api.KindConflict) {
		return nil
	}
	return err
}

// Run records the outcomes that could not be stored at first, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sweep(ctx)
		}
	}
}

// Drain records the outcomes that could not be stored at first, for a process
// that is stopping. If some remain after drainTimeout, it returns
// KindStoreUnavailable: later arrivals of their keys get the outcome unknown.
func (s *Store) Drain(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for len(s.unrecordedClaims()) > 0 {
		s.sweep(drainCtx)
		if len(s.unrecordedClaims()) > 0 && !sleep(drainCtx, drainTimeout/10) {
			return api.NewError(api.KindStoreUnavailable, "%d claims have no recorded end", len(s.unrecordedClaims()))
		}
	}
	return nil
}

// sweep tries once to record each unrecorded outcome, in batches. It stops at
// the first batch that the store does not answer completely.
func (s *Store) sweep(ctx context.Context) {
	for batch := range slices.Chunk(s.unrecordedClaims(), sweepBatchSize) {
		if !s.recordBatch(ctx, batch) {
			return
		}
	}
}

// recordBatch records outcomes concurrently, so that they share commits. It
// reports whether all of them were recorded.
func (s *Store) recordBatch(ctx context.Context, batch []*held) bool {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var allRecorded atomic.Bool
	allRecorded.Store(true)
	var wg sync.WaitGroup
	for _, h := range batch {
		wg.Go(func() {
			err := s.recordOutcome(ctx, h)
			s.applyRecordResult(h, err)
			if err != nil {
				allRecorded.Store(false)
			}
		})
	}
	wg.Wait()
	return allRecorded.Load()
}

func (s *Store) unrecordedClaims() []*held {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unrecorded []*held
	for _, h := range s.unsettled {
		if h.unrecorded {
			unrecorded = append(unrecorded, h)
		}
	}
	return unrecorded
}

// Unsettled returns the number of claims of this process without a recorded
// outcome.
func (s *Store) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsettled)
}

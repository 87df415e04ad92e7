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

// The times of the duty that records missed ends.
const (
	sweepInterval = time.Second
	sweepTimeout  = 10 * time.Second
	// sweepBatch is the number of ends recorded side by side.
	sweepBatch = 64
	// drainWithin bounds Drain: a store that is out must not hold up a stop.
	drainWithin = 3 * time.Second
)

// held is a claim of this process. Its store's mu guards end and missed.
type held struct {
	store *Store
	ref   api.Ref
	claim claimRow
	// ended is how the claim ended; nil while it is under way.
	ended *endRow
	// missed says that the store does not have the end yet, and that nobody
	// but the sweep is writing it.
	missed bool
}

// Settle implements Held.
func (h *held) Settle(ctx context.Context, answer api.RequestAnswer) error {
	return h.end(ctx, endRow{Answer: &answer})
}

// GiveUp implements Held.
func (h *held) GiveUp(ctx context.Context) error {
	return h.end(ctx, endRow{Released: true})
}

// end ends the claim, once.
func (h *held) end(ctx context.Context, end endRow) error {
	if !h.store.ending(h, end) {
		return api.NewError(api.KindConflict, "the claim on %s has ended before", h.ref.Key)
	}
	err := h.store.record(ctx, h)
	h.store.recorded(h, err)
	return err
}

// begin enters a claim before its insertion and reports true. It reports false
// if this process holds the key already: then it returns the answer, if that
// is known, or an error if the key is about to be released.
func (s *Store) begin(mine *held, request Request) (bool, *api.RequestAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, ok := s.unsettled[mine.ref]
	switch {
	case !ok && len(s.unsettled) >= maxUnsettled:
		return false, nil, api.NewError(api.KindStoreUnavailable, "too many claims wait for the store")
	case !ok:
		s.unsettled[mine.ref] = mine
		return true, nil, nil
	case present.claim.BodyDigest != request.BodyDigest:
		return false, nil, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
	case present.ended == nil:
		return false, nil, nil
	case present.ended.Released:
		return false, nil, api.NewError(api.KindStoreUnavailable, "an earlier claim of the key is being released")
	}
	return false, replay(present.ended.Answer), nil
}

// forget drops a claim that was not made, or whose end is recorded.
func (s *Store) forget(h *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unsettled, h.ref)
}

// abandon gives up a claim that may have been made: it is never used, and the
// sweep releases it.
func (s *Store) abandon(h *held) {
	s.ending(h, endRow{Released: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	h.missed = true
}

// ending sets the end of a claim, and reports whether it is the first.
func (s *Store) ending(h *held, end endRow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.ended != nil {
		return false
	}
	h.ended = &end
	return true
}

// recorded notes the result of writing a claim's end.
func (s *Store) recorded(h *held, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if api.IsKind(err, api.KindStoreUnavailable) || api.IsKind(err, api.KindResultUnknown) {
		h.missed = true
		return
	}
	delete(s.unsettled, h.ref)
}

// record inserts the end of a claim. A claim whose insertion is unknown may be
// ended before it arrives, or though it never does: the end names the claim, so it
// is of no effect on any other. A conflict means that an
// earlier attempt has inserted the end.
func (s *Store) record(ctx context.Context, h *held) error {
	end := api.Row{Ref: endRef(h.ref, h.claim)}
	err := platform.ErrorOf(put(ctx, s.tables, platform.PurposeOutcome, end, h.ended))
	if api.IsKind(err, api.KindConflict) {
		return nil
	}
	return err
}

// Run records the ends that the store missed, until ctx ends.
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

// Drain records the ends that the store missed, for a process that stops. What
// is left after drainWithin is reported as KindStoreUnavailable: later arrivals
// of those keys get the outcome unknown.
func (s *Store) Drain(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, drainWithin)
	defer cancel()
	for len(s.missed()) > 0 {
		s.sweep(limited)
		if len(s.missed()) > 0 && !pause(limited, drainWithin/10) {
			return api.NewError(api.KindStoreUnavailable, "%d claims have no recorded end", len(s.missed()))
		}
	}
	return nil
}

// sweep tries to record each missed end once, a batch at a time, and stops at
// the first batch that the store does not answer.
func (s *Store) sweep(ctx context.Context) {
	for batch := range slices.Chunk(s.missed(), sweepBatch) {
		if !s.recordBatch(ctx, batch) {
			return
		}
	}
}

// recordBatch records ends side by side, so that they share commits. It reports
// whether the store answered all of them.
func (s *Store) recordBatch(ctx context.Context, batch []*held) bool {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var answered atomic.Bool
	answered.Store(true)
	var batched sync.WaitGroup
	for _, h := range batch {
		batched.Go(func() {
			err := s.record(ctx, h)
			s.recorded(h, err)
			if err != nil {
				answered.Store(false)
			}
		})
	}
	batched.Wait()
	return answered.Load()
}

func (s *Store) missed() []*held {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missed []*held
	for _, h := range s.unsettled {
		if h.missed {
			missed = append(missed, h)
		}
	}
	return missed
}

// Unsettled returns how many claims of this process have no recorded end.
func (s *Store) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsettled)
}

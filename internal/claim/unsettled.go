package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// The times of the duty that records missed ends.
const (
	sweepInterval = time.Second
	sweepTimeout  = 10 * time.Second
)

// held is a claim of this process. Its store's mu guards next and missed.
type held struct {
	store *Store
	ref   api.Ref
	row   row
	// next is the row that ends the claim; nil while it is under way.
	next *row
	// missed says that the store does not have next yet, and that nobody but
	// the sweep is writing it.
	missed bool
}

// Settle implements Held.
func (h *held) Settle(ctx context.Context, answer api.RequestAnswer) error {
	next := h.row
	next.State = stateSettled
	next.Answer = &answer
	return h.end(ctx, next)
}

// GiveUp implements Held.
func (h *held) GiveUp(ctx context.Context) error {
	next := h.row
	next.State = stateReleased
	return h.end(ctx, next)
}

// end moves the row on from stateClaimed, once.
func (h *held) end(ctx context.Context, next row) error {
	if !h.store.ending(h, next) {
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
	case present.row.BodyDigest != request.BodyDigest:
		return false, nil, api.NewError(api.KindKeyReused, "key %s was used with another body", request.Key)
	case present.next == nil:
		return false, nil, nil
	case present.next.State == stateSettled:
		answer := *present.next.Answer
		answer.Replayed = true
		return false, &answer, nil
	default:
		return false, nil, api.NewError(api.KindStoreUnavailable, "an earlier claim of the key is being released")
	}
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
	next := h.row
	next.State = stateReleased
	s.ending(h, next)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.missed = true
}

// ending sets the end of a claim, and reports whether it is the first.
func (s *Store) ending(h *held, next row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.next != nil {
		return false
	}
	h.next = &next
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

// record writes the end of a claim over the row that the claim holds. A row
// that is absent or released gets it too: then the insertion did not arrive,
// and the new version keeps it from arriving later. KindConflict means that
// the row is another's, or has its end already.
func (s *Store) record(ctx context.Context, h *held) error {
	rows, err := s.tables.Read(ctx, platform.PurposeOutcome, h.ref)
	if err != nil {
		return err
	}
	present := rows.Rows[0]
	var seen row
	if present.Version != 0 {
		err = json.Unmarshal(present.Value, &seen)
	}
	if err != nil {
		return api.NewError(api.KindInternal, "claim row %s: %w", h.ref.Key, err)
	}
	mine := seen.State == stateClaimed && seen.RequestID == h.row.RequestID
	void := seen.State != stateClaimed && seen.State != stateSettled && h.next.State == stateReleased
	if !mine && !void {
		return api.NewError(api.KindConflict, "the claim on %s is not held by %s", h.ref.Key, h.row.RequestID)
	}
	return platform.ErrorOf(write(ctx, s.tables, platform.PurposeOutcome, present, *h.next))
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

// sweep tries to record each missed end once, and stops at the first one that
// the store does not answer.
func (s *Store) sweep(ctx context.Context) {
	for _, h := range s.missed() {
		limited, cancel := context.WithTimeout(ctx, sweepTimeout)
		err := s.record(limited, h)
		cancel()
		s.recorded(h, err)
		if api.IsKind(err, api.KindStoreUnavailable) || ctx.Err() != nil {
			return
		}
	}
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

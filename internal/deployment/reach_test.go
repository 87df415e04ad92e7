package deployment

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// helper is a peer that makes store calls; nil makes it unreachable.
type helper struct{ store workload.Store }

// Call implements peer.Caller.
func (h helper) Call(ctx context.Context, _ string, request *peerpb.Request) (*peerpb.Response, error) {
	if h.store == nil {
		return nil, api.NewError(api.KindNotReady, "no connection")
	}
	answer := serveStore(ctx, h.store, request.GetStore())
	return &peerpb.Response{Body: &peerpb.Response_Store{Store: answer}}, nil
}

func newTestReach(direct workload.Store, by helper) *reach {
	return &reach{limit: time.Second, patience: pathPatience, reachState: &reachState{
		direct: direct, caller: by, logger: zap.NewNop(), helpers: func() []string { return []string{"peer"} },
	}}
}

func failing(err error) func() error { return func() error { return fmt.Errorf("played: %w", err) } }

func TestAWriteGoesThroughAPeerWhereTheDirectPathFails(t *testing.T) {
	for name, c := range map[string]struct {
		direct, peer func() error
		unreachable  bool
		want         error
		stored       bool
	}{
		"direct":                                {nil, nil, false, nil, true},
		"turned away, the peer is not":          {failing(workload.ErrNotDone), nil, false, nil, true},
		"no answer, the peer has one":           {failing(workload.ErrUnknown), nil, false, nil, true},
		"turned away both":                      {failing(workload.ErrNotDone), failing(workload.ErrNotDone), false, workload.ErrNotDone, false},
		"turned away and the peer out of reach": {failing(workload.ErrNotDone), nil, true, workload.ErrNotDone, false},
		"no answer, then turned away: not a no": {failing(workload.ErrUnknown), failing(workload.ErrNotDone), false, workload.ErrUnknown, false},
		"turned away, then no answer: not a no": {failing(workload.ErrNotDone), failing(workload.ErrUnknown), false, workload.ErrUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			direct, byPeer := newMemoryStore(), newMemoryStore()
			direct.fail, byPeer.fail = c.direct, c.peer
			by := helper{byPeer}
			if c.unreachable {
				by.store = nil
			}
			r := newTestReach(direct, by)
			_, err := r.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("x")}}})
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if c.want != nil {
				assert.Equal(t, errors.Is(err, workload.ErrUnknown), errors.Is(c.want, workload.ErrUnknown))
			}
			assert.Equal(t, len(direct.rows)+len(byPeer.rows) > 0, c.stored)
		})
	}
}

func TestAfterAFailureThePeerIsAskedFirstForAWhile(t *testing.T) {
	direct, byPeer := newMemoryStore(), newMemoryStore()
	direct.fail = failing(workload.ErrNotDone)
	r := newTestReach(direct, helper{byPeer})
	for range 5 {
		_, err := r.Read(t.Context(), workload.SourceOwn, mainPart, "", "")
		assert.NilError(t, err)
	}
	assert.Equal(t, direct.calls, 1)
	anyhow, directly := r.reachable()
	assert.Assert(t, anyhow && !directly)
}

func TestAConflictThroughAPeerShowsTheRowsAsTheyAre(t *testing.T) {
	direct, byPeer := newMemoryStore(), newMemoryStore()
	direct.fail = failing(workload.ErrNotDone)
	_, err := byPeer.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("first")}}})
	assert.NilError(t, err)
	written, err := newTestReach(direct, helper{byPeer}).Write(t.Context(), workload.Write{
		Expect: []workload.Row{{Key: "j/1"}}, Put: []workload.Row{{Key: "j/1", Value: []byte("second")}},
	})
	assert.NilError(t, err)
	assert.Assert(t, written.Conflict)
	assert.Equal(t, string(written.Rows[0].Value), "first")
}

func TestASilentPathIsOvertakenByAPeer(t *testing.T) {
	direct := &silentStore{memoryStore: newMemoryStore(), written: make(chan struct{}, 8)}
	byPeer := newMemoryStore()
	r := newTestReach(direct, helper{byPeer})
	r.limit = time.Hour
	for range 3 {
		_, err := r.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("x")}}})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(direct.written), 1, "after it was overtaken, the peer is asked first")
	assert.Equal(t, len(byPeer.rows), 1)
}

func TestASlowStoreIsNotAskedOnEveryPathAtOnce(t *testing.T) {
	for sentence, c := range map[string]struct {
		lately, attempt, patience time.Duration
	}{
		"it answers within milliseconds":    {4 * time.Millisecond, pathTimeout, pathPatience},
		"each answer takes a while":         {300 * time.Millisecond, pathTimeout, 600 * time.Millisecond},
		"slower than an attempt may be":     {500 * time.Millisecond, time.Second, time.Second},
		"so slow that a peer is as good":    {5 * time.Second, longestAttempt, longestAttempt},
		"nothing was seen of the store yet": {0, pathTimeout, pathPatience},
	} {
		t.Run(sentence, func(t *testing.T) {
			got := limitsFor(pathTimeout, pathPatience, c.lately)
			assert.Equal(t, got, limits{attempt: c.attempt, patience: c.patience})
		})
	}
}

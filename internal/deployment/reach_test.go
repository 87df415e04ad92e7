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

// storePeer is a peer that makes store calls; a nil store makes it unreachable.
type storePeer struct{ store workload.Store }

// Call implements peer.Caller.
func (h storePeer) Call(ctx context.Context, _ string, request *peerpb.Request) (*peerpb.Response, error) {
	if h.store == nil {
		return nil, api.NewError(api.KindNotReady, "no connection")
	}
	answer := serveStore(ctx, h.store, request.GetStore())
	return &peerpb.Response{Body: &peerpb.Response_Store{Store: answer}}, nil
}

func newTestRoutedStore(direct workload.Store, by storePeer) *routedStore {
	return &routedStore{attemptTimeout: time.Second, hedgeDelay: routeHedgeDelay, routeState: &routeState{
		direct: direct, caller: by, logger: zap.NewNop(), relayPeers: func() []string { return []string{"peer"} },
	}}
}

func failing(err error) func() error { return func() error { return fmt.Errorf("injected: %w", err) } }

func TestAWriteGoesThroughAPeerWhereTheDirectPathFails(t *testing.T) {
	for name, c := range map[string]struct {
		direct, peer func() error
		unreachable  bool
		want         error
		stored       bool
	}{
		"direct": {nil, nil, false, nil, true},
		"refused directly, accepted through the peer": {failing(workload.ErrNotDone), nil, false, nil, true},
		"no direct answer, accepted through the peer": {failing(workload.ErrUnknown), nil, false, nil, true},
		"refused on both routes":                      {failing(workload.ErrNotDone), failing(workload.ErrNotDone), false, workload.ErrNotDone, false},
		"refused directly, the peer is unreachable":   {failing(workload.ErrNotDone), nil, true, workload.ErrNotDone, false},
		"no direct answer, then refused: unknown":     {failing(workload.ErrUnknown), failing(workload.ErrNotDone), false, workload.ErrUnknown, false},
		"refused directly, then no answer: unknown":   {failing(workload.ErrNotDone), failing(workload.ErrUnknown), false, workload.ErrUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			direct, byPeer := newMemoryStore(), newMemoryStore()
			direct.fail, byPeer.fail = c.direct, c.peer
			by := storePeer{byPeer}
			if c.unreachable {
				by.store = nil
			}
			r := newTestRoutedStore(direct, by)
			_, err := r.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("x")}}})
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if c.want != nil {
				assert.Equal(t, errors.Is(err, workload.ErrUnknown), errors.Is(c.want, workload.ErrUnknown))
			}
			assert.Equal(t, len(direct.rows)+len(byPeer.rows) > 0, c.stored)
		})
	}
}

func TestAfterADirectFailureThePeerIsTriedFirst(t *testing.T) {
	direct, byPeer := newMemoryStore(), newMemoryStore()
	direct.fail = failing(workload.ErrNotDone)
	r := newTestRoutedStore(direct, storePeer{byPeer})
	for range 5 {
		_, err := r.Read(t.Context(), workload.SourceOwn, mainPart, "", "")
		assert.NilError(t, err)
	}
	assert.Equal(t, direct.calls, 1)
	byAnyRoute, directly := r.reachable()
	assert.Assert(t, byAnyRoute && !directly)
}

func TestAConflictThroughAPeerReturnsTheCurrentRows(t *testing.T) {
	direct, byPeer := newMemoryStore(), newMemoryStore()
	direct.fail = failing(workload.ErrNotDone)
	_, err := byPeer.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("first")}}})
	assert.NilError(t, err)
	written, err := newTestRoutedStore(direct, storePeer{byPeer}).Write(t.Context(), workload.Write{
		Expect: []workload.Row{{Key: "j/1"}}, Put: []workload.Row{{Key: "j/1", Value: []byte("second")}},
	})
	assert.NilError(t, err)
	assert.Assert(t, written.Conflict)
	assert.Equal(t, string(written.Rows[0].Value), "first")
}

func TestAnUnresponsiveDirectRouteIsHedgedThroughAPeer(t *testing.T) {
	direct := &unresponsiveStore{memoryStore: newMemoryStore(), written: make(chan struct{}, 8)}
	byPeer := newMemoryStore()
	r := newTestRoutedStore(direct, storePeer{byPeer})
	r.attemptTimeout = time.Hour
	for range 3 {
		_, err := r.Write(t.Context(), workload.Write{Put: []workload.Row{{Key: "j/1", Value: []byte("x")}}})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(direct.written), 1, "after the peer answered first, it is tried first")
	assert.Equal(t, len(byPeer.rows), 1)
}

func TestASlowStoreIsNotAskedOnEveryPathAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		avgLatency, attemptTimeout, hedgeDelay time.Duration
	}{
		"answers within milliseconds":          {4 * time.Millisecond, routeTimeout, routeHedgeDelay},
		"slower than the hedge delay":          {300 * time.Millisecond, routeTimeout, 600 * time.Millisecond},
		"slower than the route timeout allows": {500 * time.Millisecond, time.Second, time.Second},
		"slower than the maximum attempt":      {5 * time.Second, maxAttemptTimeout, maxAttemptTimeout},
		"no answer yet":                        {0, routeTimeout, routeHedgeDelay},
	} {
		t.Run(name, func(t *testing.T) {
			got := limitsFor(routeTimeout, routeHedgeDelay, c.avgLatency)
			assert.Equal(t, got, limits{attemptTimeout: c.attemptTimeout, hedgeDelay: c.hedgeDelay})
		})
	}
}

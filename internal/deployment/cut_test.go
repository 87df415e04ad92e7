package deployment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestACutLastsUntilSomebodyAnswersACallThatBeganAfterIt(t *testing.T) {
	c := newCutWatch()
	began := time.Unix(100, 0)
	ctx, cancel := c.guard(t.Context())
	defer cancel()
	assert.Assert(t, !c.cut())
	assert.Assert(t, c.notice(began))
	assert.Assert(t, !c.notice(began.Add(time.Second)), "it is not new")
	<-ctx.Done()
	assert.ErrorIs(t, context.Cause(ctx), errCutOff)
	assert.Assert(t, !c.clear(began.Add(-time.Millisecond)), "that answer was on its way before")
	assert.Assert(t, c.cut())
	assert.Assert(t, c.clear(began.Add(time.Millisecond)))
	assert.Assert(t, !c.cut())
	again, cancelAgain := c.guard(t.Context())
	defer cancelAgain()
	assert.NilError(t, again.Err(), "the next cut has a notice of its own")
}

// silentStore never answers: what was sent to it may be performed.
type silentStore struct {
	*memoryStore
	written chan struct{}
}

func (s *silentStore) silence(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", workload.ErrUnknown, ctx.Err())
}

// Write implements workload.Store.
func (s *silentStore) Write(ctx context.Context, _ workload.Write) (workload.Written, error) {
	s.written <- struct{}{}
	return workload.Written{}, s.silence(ctx)
}

// Read implements workload.Store.
func (s *silentStore) Read(ctx context.Context, _ workload.Source, _, _, _ string) (workload.Page, error) {
	return workload.Page{}, s.silence(ctx)
}

// cutOffInstance reaches neither the store nor the one instance of another zone.
func cutOffInstance(t *testing.T) (*Instance, *silentStore) {
	t.Helper()
	store := &silentStore{memoryStore: newMemoryStore(), written: make(chan struct{}, 8)}
	settings := defaultSettings()
	settings.AvailabilityZone = "zone-1"
	settings.Listen.Peers = "127.0.0.1:1"
	i := New(Options{Settings: &settings, Store: store, Logger: zap.NewNop()})
	i.configuration.Store(&workload.Configuration{Version: 1})
	i.replica.apply([]workload.Row{{Key: instancePrefix + "127.0.0.1:2", Value: encode(instanceRow{Zone: "zone-2"}), Version: 1}})
	return i, store
}

func TestACutOffInstanceAnswersAtOnceAndLeadsItsCallersElsewhere(t *testing.T) {
	i, store := cutOffInstance(t)
	assert.Assert(t, i.Ready())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	caller := Caller{Queue: &workload.Queue{Name: "q"}}
	sent := make(chan error, 1)
	go func() { sent <- i.Submit(ctx, caller, &workload.Job{ID: "sent-before"}) }()
	<-store.written
	go i.watchCut(ctx)

	err := <-sent
	assert.Equal(t, api.KindOf(err), api.KindResultUnknown, "it may be in the store: never said to be refused")
	assert.Assert(t, !i.Ready())

	err = i.Submit(ctx, caller, &workload.Job{ID: "after"})
	assert.Equal(t, api.KindOf(err), api.KindStoreUnavailable)
	assert.Equal(t, api.RetryAfterS(err), comeBackSoonest.Seconds())
	select {
	case <-store.written:
		t.Fatal("nothing may be sent of what is refused")
	default:
	}
}

func TestAnInstanceOfAnotherZoneThatSpeaksEndsTheCut(t *testing.T) {
	i, _ := cutOffInstance(t)
	i.cut.notice(bootTime())
	assert.Assert(t, !i.Ready())
	hello := i.hello(true)
	i.heard("127.0.0.1:3", hello)
	assert.Assert(t, !i.Ready(), "an instance of its own zone is cut off as well")
	hello.AvailabilityZone = "zone-2"
	i.heard("127.0.0.1:2", hello)
	assert.Assert(t, i.Ready())
}

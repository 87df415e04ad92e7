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

func TestCutOffEndsOnlyWithAnAnswerToALaterCall(t *testing.T) {
	c := newPartitionWatch()
	start := time.Unix(100, 0)
	ctx, cancel := c.guard(t.Context())
	defer cancel()
	assert.Assert(t, !c.isCutOff())
	assert.Assert(t, c.markCutOff(start))
	assert.Assert(t, !c.markCutOff(start.Add(time.Second)), "it is cut off already")
	<-ctx.Done()
	assert.ErrorIs(t, context.Cause(ctx), errCutOff)
	assert.Assert(t, !c.clear(start.Add(-time.Millisecond)), "that call began before the partition was detected")
	assert.Assert(t, c.isCutOff())
	assert.Assert(t, c.clear(start.Add(time.Millisecond)))
	assert.Assert(t, !c.isCutOff())
	again, cancelAgain := c.guard(t.Context())
	defer cancelAgain()
	assert.NilError(t, again.Err(), "the next partition has a channel of its own")
}

// unresponsiveStore never answers; a write sent to it may have been performed.
type unresponsiveStore struct {
	*memoryStore
	written chan struct{}
}

func (s *unresponsiveStore) block(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", workload.ErrUnknown, ctx.Err())
}

// Write implements workload.Store.
func (s *unresponsiveStore) Write(ctx context.Context, _ workload.Write) (workload.WriteResult, error) {
	s.written <- struct{}{}
	return workload.WriteResult{}, s.block(ctx)
}

// Read implements workload.Store.
func (s *unresponsiveStore) Read(ctx context.Context, _ workload.Source, _, _, _ string) (workload.Page, error) {
	return workload.Page{}, s.block(ctx)
}

// newCutOffInstance returns an instance that reaches neither the store nor the one
// instance of another zone.
func newCutOffInstance(t *testing.T) (*Instance, *unresponsiveStore) {
	t.Helper()
	store := &unresponsiveStore{memoryStore: newMemoryStore(), written: make(chan struct{}, 8)}
	settings := defaultSettings()
	settings.AvailabilityZone = "zone-1"
	settings.Listen.Peers = "127.0.0.1:1"
	i := New(Options{Settings: &settings, Store: store, Logger: zap.NewNop()})
	i.configuration.Store(&workload.Configuration{Version: 1})
	i.replica.apply([]workload.Row{{Key: instancePrefix + "127.0.0.1:2", Value: encode(instanceRow{Zone: "zone-2"}), Version: 1}})
	return i, store
}

func TestACutOffInstanceAnswersAtOnceAndLeadsItsCallersElsewhere(t *testing.T) {
	i, store := newCutOffInstance(t)
	assert.Assert(t, i.Ready())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	caller := Caller{Queue: &workload.Queue{Name: "q"}}
	sent := make(chan error, 1)
	go func() { sent <- i.Submit(ctx, caller, &workload.Job{ID: "sent-before"}) }()
	<-store.written
	go i.watchPartition(ctx)

	err := <-sent
	assert.Equal(t, api.KindOf(err), api.KindResultUnknown, "it may be in the store and must not be reported as refused")
	assert.Assert(t, !i.Ready())

	err = i.Submit(ctx, caller, &workload.Job{ID: "after"})
	assert.Equal(t, api.KindOf(err), api.KindStoreUnavailable)
	assert.Equal(t, api.RetryAfterS(err), minRetryAfter.Seconds())
	select {
	case <-store.written:
		t.Fatal("refused work must not be sent")
	default:
	}
}

func TestAHelloFromAnotherZoneEndsCutOff(t *testing.T) {
	i, _ := newCutOffInstance(t)
	i.partition.markCutOff(bootTime())
	assert.Assert(t, !i.Ready())
	hello := i.hello(true)
	i.receiveHello("127.0.0.1:3", hello)
	assert.Assert(t, !i.Ready(), "an instance of its own zone may be cut off as well")
	hello.AvailabilityZone = "zone-2"
	i.receiveHello("127.0.0.1:2", hello)
	assert.Assert(t, i.Ready())
}

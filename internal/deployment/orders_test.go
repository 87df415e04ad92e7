package deployment

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// waitingWorkers answer starts at once, and polls only when their contexts end.
type waitingWorkers struct{ started chan struct{} }

// Start implements workload.Workers.
func (w *waitingWorkers) Start(context.Context, workload.Order) workload.OrderResult {
	w.started <- struct{}{}
	return workload.OrderResult{}
}

// Stop implements workload.Workers.
func (w *waitingWorkers) Stop(context.Context, workload.Order) workload.OrderResult {
	return workload.OrderResult{}
}

// Poll implements workload.Workers.
func (w *waitingWorkers) Poll(ctx context.Context, _ workload.Poll) workload.Report {
	<-ctx.Done()
	return workload.Report{Verdict: workload.VerdictUnknown}
}

// Forget implements workload.Workers.
func (w *waitingWorkers) Forget(string) {}

func TestAStartDoesNotWaitBehindThePollsOfThousandsOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := &waitingWorkers{started: make(chan struct{}, 1)}
		settings := defaultSettings()
		i := New(Options{Settings: &settings, Store: newMemoryStore(), Workers: workers, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		c := newLeader(ctx, i, &grant{epoch: 1, expiresAt: bootTime().Add(leaseDuration)})
		for n := range 3000 {
			c.execute(dispatch.Action{Kind: dispatch.ActPoll, Poll: workload.Poll{Worker: fmt.Sprint("w", n)}})
		}
		c.execute(dispatch.Action{Kind: dispatch.ActStart, Order: workload.Order{Worker: "w0"}})
		synctest.Wait()
		assert.Equal(t, len(workers.started), 1)
		cancel()
		c.stopPools()
	})
}

package request

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/model"
)

// blockedCaller blocks every call until released, and then fails it.
type blockedCaller struct{ release chan struct{} }

// Call implements peer.Caller.
func (c blockedCaller) Call(context.Context, string, *peerpb.Request) (*peerpb.Response, error) {
	<-c.release
	return nil, api.NewError(api.KindNotReady, "no connection")
}

// TestStoppedDispatcherAnswersWhileItsCallsEnd covers two dispatchers that stop
// at the same time while each demands slots of the other: neither may wait for
// its own call before it answers the other's.
func TestStoppedDispatcherAnswersWhileItsCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := blockedCaller{make(chan struct{})}
		fleet := &fakeFleet{zone: "z1", members: []string{"i1", "i2"}}
		for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8"} {
			fleet.servers = append(fleet.servers, model.BackendServer{ID: id, Incarnation: 1, Slots: 8, State: model.BackendReady})
		}
		d := NewDispatcher(DispatcherOptions{
			Zone: "z1", Instance: "i1", Incarnation: 1, Fleet: fleet, Caller: caller, Config: configuration(),
			Recorder: decision.NewRecorder(zap.NewNop(), "i1", 10), Logger: zap.NewNop(), MaxRequests: 10, Seed: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			d.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		select {
		case <-stopped:
			t.Fatal("no call was under way")
		default:
		}
		assert.Assert(t, d.AnswerSlotDemand("i2", &peerpb.SlotDemand{}) == nil)
		close(caller.release)
		<-stopped
	})
}

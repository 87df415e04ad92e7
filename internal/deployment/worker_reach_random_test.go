package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// routePlay plays calls of leaders over two hubs that refuse, lose, delay and repeat messages. Each
// call has a number of its own, which its answer returns as the worker's clock.
type routePlay struct {
	t       *testing.T
	hubs    map[string]*Instance
	mu      sync.Mutex
	random  *rand.Rand
	leader  *routedWorkers
	reached map[int64]int // by the number of the call
	claims  map[int64]workload.Verdict
}

func newRoutePlay(t *testing.T, seed uint64) *routePlay {
	p := &routePlay{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), hubs: make(map[string]*Instance),
		reached: make(map[int64]int), claims: make(map[int64]workload.Verdict),
	}
	for _, name := range []string{"hub-1", "hub-2"} {
		settings := defaultSettings()
		hub := New(Options{Settings: &settings, Store: newMemoryStore(), Workers: p, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		hub.workerAnswers = newBatcher(answerBatchLinger, maxAnswersPerMessage, func(_ string, answers []*peerpb.WorkerAnswer) { p.returnAnswers(name, answers) })
		p.hubs[name] = hub
	}
	p.replaceLeader()
	return p
}

// replaceLeader starts another process at the address of the leader.
func (p *routePlay) replaceLeader() {
	leader := newRoutedWorkers(p, p, func(string) []string { return []string{"hub-1", "hub-2"} }, 1, zap.NewNop())
	leader.setWorkerCount(1_000_000)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = leader
}

func (p *routePlay) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

func (p *routePlay) pause(longest time.Duration) {
	time.Sleep(time.Duration(p.intN(int(longest.Milliseconds())+1)) * time.Millisecond)
}

// Call implements peer.Caller for the leader.
func (p *routePlay) Call(ctx context.Context, hub string, request *peerpb.Request) (*peerpb.Response, error) {
	calls := request.GetWorkerCalls().GetCalls()
	deliver := func() error { return p.hubs[hub].relayCalls("leader", calls) }
	switch p.intN(12) {
	case 0:
		return nil, api.NewError(api.KindNotReady, "not delivered")
	case 1:
		return nil, api.NewError(api.KindQueueFull, "not delivered")
	case 2:
		<-ctx.Done()
		return nil, api.NewError(api.KindResultUnknown, "not delivered")
	case 3:
		_ = deliver()
		return nil, api.NewError(api.KindResultUnknown, "delivered")
	case 4:
		time.AfterFunc(2*time.Second, func() { _ = deliver() })
		<-ctx.Done()
		return nil, api.NewError(api.KindResultUnknown, "delivered late")
	case 5:
		_ = deliver()
		return nil, api.NewError(api.KindInternal, "delivered, then the handler failed")
	}
	return &peerpb.Response{}, deliver()
}

// returnAnswers passes answers of a hub on to the process that is the leader when they arrive.
func (p *routePlay) returnAnswers(hub string, answers []*peerpb.WorkerAnswer) {
	arrive := func() {
		p.mu.Lock()
		leader := p.leader
		p.mu.Unlock()
		leader.receiveAnswers(hub, answers)
	}
	switch p.intN(6) {
	case 0: // lost
	case 1:
		p.pause(time.Second)
		arrive()
	case 2:
		arrive()
		p.pause(time.Second)
		arrive()
	default:
		arrive()
	}
}

// carryOut lets a call reach its worker, or fail on the way to it.
func (p *routePlay) carryOut(number int64) workload.Verdict {
	p.pause(300 * time.Millisecond)
	verdict := []workload.Verdict{workload.VerdictDone, workload.VerdictDone, workload.VerdictUnknown, workload.VerdictUnavailable, workload.VerdictConnectionRefused}[p.intN(5)]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached[number]++
	p.claims[number] = verdict
	return verdict
}

// Start implements workload.Workers.
func (p *routePlay) Start(_ context.Context, o workload.Order) workload.OrderResult {
	return workload.OrderResult{Verdict: p.carryOut(o.Attempt), ClockMS: o.Attempt}
}

// Stop implements workload.Workers.
func (p *routePlay) Stop(_ context.Context, o workload.Order) workload.OrderResult {
	return workload.OrderResult{Verdict: p.carryOut(o.Attempt), ClockMS: o.Attempt}
}

// Poll implements workload.Workers.
func (p *routePlay) Poll(_ context.Context, poll workload.Poll) workload.Report {
	return workload.Report{Verdict: p.carryOut(poll.Acknowledged), ClockMS: poll.Acknowledged}
}

// Forget implements workload.Workers.
func (p *routePlay) Forget(string) {}

// call makes one call and returns its verdict and the number that its answer names.
func (p *routePlay) call(leader *routedWorkers, number int64) (workload.Verdict, int64) {
	worker := fmt.Sprint("w", number%50)
	switch number % 3 {
	case 0:
		r := leader.Start(p.t.Context(), workload.Order{Worker: worker, Zone: "zone", Attempt: number})
		return r.Verdict, r.ClockMS
	case 1:
		r := leader.Stop(p.t.Context(), workload.Order{Worker: worker, Zone: "zone", Attempt: number})
		return r.Verdict, r.ClockMS
	}
	r := leader.Poll(p.t.Context(), workload.Poll{Worker: worker, Zone: "zone", Acknowledged: number})
	return r.Verdict, r.ClockMS
}

func TestEachCallReachesItsWorkerOnceAtMostAndGetsItsOwnAnswer(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newRoutePlay(t, seed)
				var calls sync.WaitGroup
				verdicts := make([]workload.Verdict, 600)
				named := make([]int64, len(verdicts))
				for k := range verdicts {
					leader := p.leader
					calls.Go(func() { verdicts[k], named[k] = p.call(leader, int64(k+1)) })
					p.pause(20 * time.Millisecond)
					if p.intN(60) == 0 {
						p.replaceLeader()
					}
				}
				calls.Wait()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				for k, verdict := range verdicts {
					number := int64(k + 1)
					assert.Assert(t, p.reached[number] <= 1, "call %d reached its worker %d times", number, p.reached[number])
					if verdict != workload.VerdictUnknown {
						assert.Equal(t, verdict, p.claims[number], "call %d", number)
						assert.Equal(t, named[k], number)
					}
				}
			})
		})
	}
}

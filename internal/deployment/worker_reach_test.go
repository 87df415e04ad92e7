package deployment

import (
	"context"
	"fmt"
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

// countingWorkers count the calls that reach them and answer with a verdict.
type countingWorkers struct {
	mu      sync.Mutex
	calls   int
	verdict workload.Verdict
	// latency is the time that an answer takes.
	latency time.Duration
}

func (w *countingWorkers) call() workload.OrderResult {
	time.Sleep(w.latency)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return workload.OrderResult{Verdict: w.verdict, ClockMS: 7}
}

// Start implements workload.Workers.
func (w *countingWorkers) Start(context.Context, workload.Order) workload.OrderResult {
	return w.call()
}

// Stop implements workload.Workers.
func (w *countingWorkers) Stop(context.Context, workload.Order) workload.OrderResult { return w.call() }

// Poll implements workload.Workers.
func (w *countingWorkers) Poll(_ context.Context, p workload.Poll) workload.Report {
	r := w.call()
	return workload.Report{
		Verdict: r.Verdict, ClockMS: r.ClockMS, Unparsed: 1,
		Running: []workload.Running{{Task: workload.TaskID{Job: p.Worker, Occurrence: 1, Step: 2, Index: 3}, Attempt: 4, Checkpoint: "c", Percent: 5}},
		Ended:   []workload.Completion{{Number: 6, Task: workload.TaskID{Job: p.Worker}, Attempt: 7, Kind: workload.CompletionDone, Checkpoint: "d"}},
	}
}

// Forget implements workload.Workers.
func (w *countingWorkers) Forget(string) {}

// relayNet connects a leader to hubs. It can refuse messages to hubs and drop their
// answers.
type relayNet struct {
	leader *routedWorkers
	hubs   map[string]*Instance
	// refusals holds the error with which a hub refuses messages; dropsAnswers drops
	// the answers of a hub.
	refusals     map[string]error
	dropsAnswers map[string]bool
	// messages counts the messages sent to hubs.
	messages int
	mu       sync.Mutex
}

// Call implements peer.Caller for the leader.
func (n *relayNet) Call(ctx context.Context, hub string, request *peerpb.Request) (*peerpb.Response, error) {
	n.mu.Lock()
	n.messages++
	refusal := n.refusals[hub]
	n.mu.Unlock()
	if api.IsKind(refusal, api.KindResultUnknown) {
		<-ctx.Done()
	}
	if refusal != nil {
		return nil, refusal
	}
	return &peerpb.Response{}, n.hubs[hub].relayCalls("leader", request.GetWorkerCalls().GetCalls())
}

// newRelayNet returns a leader with a bound on its direct workers, and two hubs.
func newRelayNet(direct *countingWorkers, hubWorkers *countingWorkers, maxDirect, workers int) *relayNet {
	n := &relayNet{hubs: make(map[string]*Instance), refusals: make(map[string]error), dropsAnswers: make(map[string]bool)}
	n.leader = newRoutedWorkers(direct, n, func(string) []string { return []string{"hub-1", "hub-2"} }, maxDirect, zap.NewNop())
	n.leader.setWorkerCount(workers)
	for _, name := range []string{"hub-1", "hub-2"} {
		settings := defaultSettings()
		hub := New(Options{Settings: &settings, Store: newMemoryStore(), Workers: hubWorkers, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		hub.workerAnswers = newBatcher(answerBatchLinger, maxAnswersPerMessage, func(_ string, answers []*peerpb.WorkerAnswer) {
			n.mu.Lock()
			drops, leader := n.dropsAnswers[name], n.leader
			n.mu.Unlock()
			if !drops {
				leader.receiveAnswers(name, answers)
			}
		})
		n.hubs[name] = hub
	}
	return n
}

// change changes the net while calls are under way.
func (n *relayNet) change(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// startAll sends a start to each worker concurrently and counts the verdicts.
func (n *relayNet) startAll(t *testing.T, workers int) map[workload.Verdict]int {
	verdicts := make(chan workload.Verdict, workers)
	for k := range workers {
		go func() {
			verdicts <- n.leader.Start(t.Context(), workload.Order{Worker: fmt.Sprint("w", k), Zone: "zone"}).Verdict
		}()
	}
	counts := make(map[workload.Verdict]int)
	for range workers {
		counts[<-verdicts]++
	}
	return counts
}

func TestTheResultOfAnOrderNamesItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(&countingWorkers{}, &countingWorkers{}, 1, 1_000_000)
		order := workload.Order{Worker: "w1", Zone: "zone"}
		hub := n.leader.hubFor(order.Worker, order.Zone)
		assert.Equal(t, n.leader.Start(t.Context(), order).Hub, hub)
		n.change(func() { n.dropsAnswers[hub] = true })
		assert.Equal(t, n.leader.Start(t.Context(), order).Hub, hub)
		unavailable := api.NewError(api.KindNotReady, "injected")
		n.change(func() { n.refusals["hub-1"], n.refusals["hub-2"] = unavailable, unavailable })
		assert.Equal(t, n.leader.Start(t.Context(), order).Hub, "")
	})
}

func TestALeaderCallsItsShareOfWorkersAndHubsCallTheRest(t *testing.T) {
	for name, c := range map[string]struct {
		maxDirect, workers int
		// directShare is the share of the workers that the leader calls directly.
		directShare float64
	}{
		"few workers":               {maxDirect: 400, workers: 300, directShare: 1},
		"three times its bound":     {maxDirect: 400, workers: 1200, directShare: 1. / 3},
		"a hundred times its bound": {maxDirect: 40, workers: 4000, directShare: 0.01},
		"no bound":                  {maxDirect: 0, workers: 4000, directShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, hubWorkers := &countingWorkers{}, &countingWorkers{}
				n := newRelayNet(direct, hubWorkers, c.maxDirect, c.workers)
				assert.DeepEqual(t, n.startAll(t, c.workers), map[workload.Verdict]int{workload.VerdictDone: c.workers})
				assert.Equal(t, direct.calls+hubWorkers.calls, c.workers, "each call is made once")
				share := float64(direct.calls) / float64(c.workers)
				assert.Assert(t, share > c.directShare*0.8 && share < c.directShare*1.2+0.01, "%v of the calls are direct", share)
				assert.Assert(t, n.messages <= c.workers/20+2, "%d messages for %d calls", n.messages, hubWorkers.calls)
			})
		})
	}
}

func TestAReportThroughAHubIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &countingWorkers{}
		n := newRelayNet(nil, workers, 1, 1_000_000)
		report := n.leader.Poll(t.Context(), workload.Poll{Worker: "w1", Zone: "zone", Wait: time.Second})
		want := workers.Poll(t.Context(), workload.Poll{Worker: "w1"})
		assert.DeepEqual(t, report, want)
	})
}

// The verdicts on calls through hubs that refuse, lose or delay messages.
func TestCallsThroughFailingHubs(t *testing.T) {
	unavailable := api.NewError(api.KindNotReady, "injected")
	for name, c := range map[string]struct {
		inject func(n *relayNet, hubWorkers *countingWorkers)
		// first and second are the verdicts on a hundred starts, and on a hundred later
		// ones.
		first, second map[workload.Verdict]int
	}{
		"an unavailable hub is skipped": {
			func(n *relayNet, _ *countingWorkers) { n.refusals["hub-1"] = unavailable },
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
		"all hubs unavailable": {
			func(n *relayNet, _ *countingWorkers) {
				n.refusals["hub-1"], n.refusals["hub-2"] = unavailable, unavailable
			},
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
		"lost answers leave the result unknown": {
			func(n *relayNet, _ *countingWorkers) { n.dropsAnswers["hub-1"], n.dropsAnswers["hub-2"] = true, true },
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
		},
		"a slow route leaves the result unknown, and late answers are ignored": {
			func(_ *relayNet, hubWorkers *countingWorkers) { hubWorkers.latency = 2 * time.Second },
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
		},
		"workers that refuse the epoch": {
			func(_ *relayNet, hubWorkers *countingWorkers) { hubWorkers.verdict = workload.VerdictFenced },
			map[workload.Verdict]int{workload.VerdictFenced: 100},
			map[workload.Verdict]int{workload.VerdictFenced: 100},
		},
		"a stopping hub accepts nothing": {
			func(n *relayNet, _ *countingWorkers) { n.hubs["hub-2"].stopping.Store(true) },
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, hubWorkers := &countingWorkers{}, &countingWorkers{}
				n := newRelayNet(direct, hubWorkers, 1, 1_000_000)
				c.inject(n, hubWorkers)
				assert.DeepEqual(t, n.startAll(t, 100), c.first)
				assert.DeepEqual(t, n.startAll(t, 100), c.second)
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(n.leader.pending), 0, "no state is kept of finished calls")
			})
		})
	}
}

func TestCallsToAFrozenHubAreUnknownOnlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(&countingWorkers{}, &countingWorkers{}, 1, 1_000_000)
		n.refusals["hub-1"] = api.NewError(api.KindResultUnknown, "injected")
		frozen := 0
		for k := range 100 {
			if n.leader.hubFor(fmt.Sprint("w", k), "zone") == "hub-1" {
				frozen++
			}
		}
		assert.Assert(t, frozen > 20 && frozen < 80, "both hubs have their share")
		want := map[workload.Verdict]int{workload.VerdictDone: 100 - frozen, workload.VerdictUnknown: frozen}
		assert.DeepEqual(t, n.startAll(t, 100), want)
		assert.DeepEqual(t, n.startAll(t, 100), map[workload.Verdict]int{workload.VerdictDone: 100})
	})
}

func TestAnAnswerFromAnInstanceThatWasNotCalledIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(nil, &countingWorkers{}, 1, 1_000_000)
		n.dropsAnswers["hub-1"], n.dropsAnswers["hub-2"] = true, true
		done := make(chan workload.OrderResult, 1)
		go func() { done <- n.leader.Start(t.Context(), workload.Order{Worker: "w1", Zone: "zone"}) }()
		synctest.Wait()
		n.leader.receiveAnswers("elsewhere", []*peerpb.WorkerAnswer{{Id: n.leader.lastID.Load(), Verdict: workload.VerdictDone.String()}})
		assert.Equal(t, (<-done).Verdict, workload.VerdictUnknown)
	})
}

func TestAnAnswerToAnEarlierProcessAtTheSameAddressIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(&countingWorkers{}, &countingWorkers{latency: 300 * time.Millisecond}, 1, 1_000_000)
		order := workload.Order{Worker: "w1", Zone: "zone"}
		earlier := n.leader
		go func() { _ = earlier.Stop(t.Context(), order) }()
		time.Sleep(100 * time.Millisecond)
		next := newRoutedWorkers(earlier.direct, n, earlier.hubs, 1, zap.NewNop())
		next.setWorkerCount(1_000_000)
		lost := api.NewError(api.KindResultUnknown, "injected")
		n.change(func() { n.leader, n.refusals["hub-1"], n.refusals["hub-2"] = next, lost, lost })
		verdict := n.leader.Start(t.Context(), order).Verdict
		time.Sleep(time.Second)
		assert.Equal(t, verdict, workload.VerdictUnknown, "the start reached no worker")
	})
}

func TestAFullHubReportsCallsAsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hubWorkers := &countingWorkers{latency: 300 * time.Millisecond}
		n := newRelayNet(&countingWorkers{}, hubWorkers, 1, 1_000_000)
		const calls = 5 * maxRelayedCalls // two hubs, each with as many calls queued as in flight
		verdicts := n.startAll(t, calls)
		assert.Equal(t, verdicts[workload.VerdictDone]+verdicts[workload.VerdictUnsent], calls)
		assert.Assert(t, verdicts[workload.VerdictUnsent] > 0)
		assert.Equal(t, hubWorkers.calls, verdicts[workload.VerdictDone], "a call that is reported as unsent was not made")
	})
}

func TestMaxDirectWorkersFollowsTheLimits(t *testing.T) {
	for name, c := range map[string]struct {
		descriptors int
		processor   Processor
		want        int
	}{
		"no limits known":                          {0, Processor{}, 0},
		"few descriptors":                          {1500, Processor{Share: 1, Cores: 2}, 250},
		"a small processor":                        {8192, Processor{Share: 0.1, Cores: 1}, 200},
		"hardly any descriptors":                   {4, Processor{}, 1},
		"hardly any processor":                     {4100, Processor{Share: 0.0001, Cores: 1}, 1},
		"many of both, the processor is the bound": {100_000, Processor{Share: 1, Cores: 4}, 8000},
	} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.Descriptors, settings.Processor = c.descriptors, c.processor
			assert.Equal(t, maxDirectWorkers(&settings), c.want)
		})
	}
}

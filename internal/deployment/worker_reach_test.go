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
	// takes is how long an answer takes.
	takes time.Duration
}

func (w *countingWorkers) call() workload.Receipt {
	time.Sleep(w.takes)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return workload.Receipt{Verdict: w.verdict, ClockMS: 7}
}

// Start implements workload.Workers.
func (w *countingWorkers) Start(context.Context, workload.Order) workload.Receipt { return w.call() }

// Stop implements workload.Workers.
func (w *countingWorkers) Stop(context.Context, workload.Order) workload.Receipt { return w.call() }

// Poll implements workload.Workers.
func (w *countingWorkers) Poll(_ context.Context, p workload.Poll) workload.Report {
	r := w.call()
	return workload.Report{
		Verdict: r.Verdict, ClockMS: r.ClockMS, Unread: 1,
		Running: []workload.Running{{Task: workload.TaskID{Job: p.Worker, Occurrence: 1, Step: 2, Index: 3}, Attempt: 4, Checkpoint: "c", Percent: 5}},
		Ended:   []workload.Ended{{Number: 6, Task: workload.TaskID{Job: p.Worker}, Attempt: 7, Kind: workload.EndDone, Checkpoint: "d"}},
	}
}

// Forget implements workload.Workers.
func (w *countingWorkers) Forget(string) {}

// relayNet joins a leader to hubs. It can lose what hubs are told, or what they answer.
type relayNet struct {
	leader *workerReach
	hubs   map[string]*Instance
	// refuses, if set for a hub, is why it takes nothing; loses drops its answers.
	refuses map[string]error
	loses   map[string]bool
	// messages counts what hubs were sent.
	messages int
	mu       sync.Mutex
}

// Call implements peer.Caller for the leader.
func (n *relayNet) Call(ctx context.Context, hub string, request *peerpb.Request) (*peerpb.Response, error) {
	n.mu.Lock()
	n.messages++
	refusal := n.refuses[hub]
	n.mu.Unlock()
	if api.IsKind(refusal, api.KindResultUnknown) {
		<-ctx.Done()
	}
	if refusal != nil {
		return nil, refusal
	}
	return &peerpb.Response{}, n.hubs[hub].relayCalls("leader", request.GetWorkerCalls().GetCalls())
}

// newRelayNet has a leader with a bound on the workers that it speaks to, and two hubs.
func newRelayNet(own *countingWorkers, far *countingWorkers, most, workers int) *relayNet {
	n := &relayNet{hubs: make(map[string]*Instance), refuses: make(map[string]error), loses: make(map[string]bool)}
	n.leader = newWorkerReach(own, n, func(string) []string { return []string{"hub-1", "hub-2"} }, most, zap.NewNop())
	n.leader.setWorkers(workers)
	for _, name := range []string{"hub-1", "hub-2"} {
		settings := defaultSettings()
		hub := New(Options{Settings: &settings, Store: newMemoryStore(), Workers: far, Decoder: plainDecoder{}, Logger: zap.NewNop()})
		hub.answers = newBatcher(answersLinger, answersAtOnceMost, func(_ string, answers []*peerpb.WorkerAnswer) {
			if !n.loses[name] {
				n.leader.takeAnswers(name, answers)
			}
		})
		n.hubs[name] = hub
	}
	return n
}

// startAll orders a start at so many workers at once, and returns the verdicts.
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

func TestALeaderSpeaksToAsManyWorkersAsItCanAndHubsToTheOthers(t *testing.T) {
	for name, c := range map[string]struct {
		most, workers int
		// own is the share of the workers that the leader calls itself.
		own float64
	}{
		"few workers":           {most: 400, workers: 300, own: 1},
		"three times its bound": {most: 400, workers: 1200, own: 1. / 3},
		"far too many":          {most: 40, workers: 4000, own: 0.01},
		"no bound":              {most: 0, workers: 4000, own: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, far := &countingWorkers{}, &countingWorkers{}
				n := newRelayNet(own, far, c.most, c.workers)
				assert.DeepEqual(t, n.startAll(t, c.workers), map[workload.Verdict]int{workload.VerdictDone: c.workers})
				assert.Equal(t, own.calls+far.calls, c.workers, "each call is made once")
				share := float64(own.calls) / float64(c.workers)
				assert.Assert(t, share > c.own*0.8 && share < c.own*1.2+0.01, "%v of the calls are its own", share)
				assert.Assert(t, n.messages <= c.workers/20+2, "%d messages for %d calls", n.messages, far.calls)
			})
		})
	}
}

func TestAReportComesBackWholeThroughAHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &countingWorkers{}
		n := newRelayNet(nil, workers, 1, 1_000_000)
		report := n.leader.Poll(t.Context(), workload.Poll{Worker: "w1", Zone: "zone", Wait: time.Second})
		want := workers.Poll(t.Context(), workload.Poll{Worker: "w1"})
		assert.DeepEqual(t, report, want)
	})
}

// What a way through a hub may do to a call.
func TestCallsThroughHubsThatFail(t *testing.T) {
	gone := api.NewError(api.KindNotReady, "played")
	for name, c := range map[string]struct {
		play func(n *relayNet, far *countingWorkers)
		// first and second are the verdicts on a hundred starts, and on a hundred later ones.
		first, second map[workload.Verdict]int
	}{
		"a hub that is gone is passed over": {
			func(n *relayNet, _ *countingWorkers) { n.refuses["hub-1"] = gone },
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
		"all hubs gone": {
			func(n *relayNet, _ *countingWorkers) { n.refuses["hub-1"], n.refuses["hub-2"] = gone, gone },
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
		"answers that are lost leave it open": {
			func(n *relayNet, _ *countingWorkers) { n.loses["hub-1"], n.loses["hub-2"] = true, true },
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
		},
		"a slow way leaves it open, and the late answers say nothing": {
			func(_ *relayNet, far *countingWorkers) { far.takes = 2 * time.Second },
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
			map[workload.Verdict]int{workload.VerdictUnknown: 100},
		},
		"workers that refuse the epoch say so": {
			func(_ *relayNet, far *countingWorkers) { far.verdict = workload.VerdictFenced },
			map[workload.Verdict]int{workload.VerdictFenced: 100},
			map[workload.Verdict]int{workload.VerdictFenced: 100},
		},
		"a hub that stops takes nothing": {
			func(n *relayNet, _ *countingWorkers) { n.hubs["hub-2"].stopping.Store(true) },
			map[workload.Verdict]int{workload.VerdictDone: 100},
			map[workload.Verdict]int{workload.VerdictDone: 100},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, far := &countingWorkers{}, &countingWorkers{}
				n := newRelayNet(own, far, 1, 1_000_000)
				c.play(n, far)
				assert.DeepEqual(t, n.startAll(t, 100), c.first)
				assert.DeepEqual(t, n.startAll(t, 100), c.second)
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(n.leader.pending), 0, "nothing is kept of calls that are over")
			})
		})
	}
}

func TestAFrozenHubLeavesItOpenOnceWhetherCallsWereMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(&countingWorkers{}, &countingWorkers{}, 1, 1_000_000)
		n.refuses["hub-1"] = api.NewError(api.KindResultUnknown, "played")
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

func TestAnAnswerOfAnotherInstanceThanTheHubThatWasAskedIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(nil, &countingWorkers{}, 1, 1_000_000)
		n.loses["hub-1"], n.loses["hub-2"] = true, true
		done := make(chan workload.Receipt, 1)
		go func() { done <- n.leader.Start(t.Context(), workload.Order{Worker: "w1", Zone: "zone"}) }()
		synctest.Wait()
		n.leader.takeAnswers("elsewhere", []*peerpb.WorkerAnswer{{Id: 1, Verdict: workload.VerdictDone.String()}})
		assert.Equal(t, (<-done).Verdict, workload.VerdictUnknown)
	})
}

func TestAHubThatIsFullSaysThatItMadeNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &countingWorkers{takes: 300 * time.Millisecond}
		n := newRelayNet(&countingWorkers{}, far, 1, 1_000_000)
		const calls = 5 * relayedAtOnce // two hubs, with as many in line as under way
		verdicts := n.startAll(t, calls)
		assert.Equal(t, verdicts[workload.VerdictDone]+verdicts[workload.VerdictUnsent], calls)
		assert.Assert(t, verdicts[workload.VerdictUnsent] > 0)
		assert.Equal(t, far.calls, verdicts[workload.VerdictDone], "a call that is said not to be made was not")
	})
}

func TestAnInstanceSpeaksToAsManyWorkersAsItsLimitsAllow(t *testing.T) {
	for name, c := range map[string]struct {
		descriptors int
		processor   Processor
		want        int
	}{
		"nothing known":              {0, Processor{}, 0},
		"few descriptors":            {1500, Processor{Share: 1, Cores: 2}, 250},
		"a small processor":          {8192, Processor{Share: 0.1, Cores: 1}, 200},
		"hardly any descriptor":      {4, Processor{}, 1},
		"hardly any processor":       {4100, Processor{Share: 0.0001, Cores: 1}, 1},
		"many of both, for its size": {100_000, Processor{Share: 1, Cores: 4}, 8000},
	} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.Descriptors, settings.Processor = c.descriptors, c.processor
			assert.Equal(t, ownWorkers(&settings), c.want)
		})
	}
}

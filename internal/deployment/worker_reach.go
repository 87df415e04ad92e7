package deployment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers deployments of more workers than one instance can speak to. Each
// worker that runs something has a poll waiting at it, and starts and stops beside it:
// with thousands of workers the leader alone runs out of descriptors and of processor
// time. So it speaks to a share of them itself, by its own limits, and has the hubs of
// their zones make the calls to the others, many in one message. A hub decides nothing
// and keeps nothing: to the core it is a longer way to the worker, on which a call may be
// lost, or be carried out late. Workers refuse it by its epoch like any other.

const (
	// callsLinger is how long calls wait for others to the same hub.
	callsLinger = 10 * time.Millisecond
	// callsAtOnceMost bounds the calls of one message.
	callsAtOnceMost = 256
	// relayTimeout bounds handing a message to a hub, and is what the way through it may
	// add to a call.
	relayTimeout = 400 * time.Millisecond
	// relayedOrderTimeout bounds a start or a stop at the worker and on both ways.
	relayedOrderTimeout = 500*time.Millisecond + relayTimeout
	// relayedPollTimeout is added to the time that a poll may wait.
	relayedPollTimeout = 600*time.Millisecond + relayTimeout
	// hubAgainAfter is how long a hub that took no message is not asked.
	hubAgainAfter = 1500 * time.Millisecond
	// hubsFresh is for how long a list of a zone's hubs is used.
	hubsFresh = 200 * time.Millisecond
)

// workerReach is the way to the workers: direct, or through a hub of their zone. It
// implements workload.Workers.
type workerReach struct {
	direct workload.Workers
	caller peer.Caller
	logger *zap.Logger
	// hubs lists the hubs of a zone that answer, without this instance.
	hubs func(zone string) []string
	// most is how many workers this instance speaks to itself.
	most int
	// share of the workers that it speaks to, as the bits of a float.
	share   atomic.Uint64
	calls   *batcher[*peerpb.WorkerCall]
	lastID  atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]pendingCall
	zones   map[string]zoneHubs
	// failedAt is when a hub last took no message.
	failedAt map[string]time.Time
}

// pendingCall is a call that a hub makes.
type pendingCall struct {
	hub    string
	answer chan relayAnswer
}

// relayAnswer is an answer from a hub, or why there will be none.
type relayAnswer struct {
	answer *peerpb.WorkerAnswer
	err    error
}

// zoneHubs are the hubs of a zone as of a moment.
type zoneHubs struct {
	hubs []string
	at   time.Time
}

// errNotRelayed says that no hub took the call: it was not carried out.
var errNotRelayed = errors.New("no hub took the call")

func newWorkerReach(direct workload.Workers, caller peer.Caller, hubs func(zone string) []string, most int, logger *zap.Logger) *workerReach {
	r := &workerReach{
		direct:   direct,
		caller:   caller,
		hubs:     hubs,
		most:     most,
		logger:   logger,
		pending:  make(map[uint64]pendingCall),
		zones:    make(map[string]zoneHubs),
		failedAt: make(map[string]time.Time),
	}
	r.calls = newBatcher(callsLinger, callsAtOnceMost, r.deliver)
	r.setWorkers(0)
	return r
}

// setWorkers tells how many workers there are.
func (r *workerReach) setWorkers(count int) {
	share := 1.0
	if r.most > 0 && count > r.most {
		share = float64(r.most) / float64(count)
	}
	r.share.Store(math.Float64bits(share))
}

// isOwn reports whether this instance speaks to a worker itself.
func (r *workerReach) isOwn(worker string) bool {
	share := math.Float64frombits(r.share.Load())
	return share >= 1 || float64(xxhash.Sum64String(worker)) < share*math.MaxUint64
}

// hubFor is the hub that makes the calls to a worker; empty for none.
func (r *workerReach) hubFor(worker, zone string) string {
	if r.isOwn(worker) {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, hub := range r.answeringHubs(zone) {
		if score := xxhash.Sum64String(worker + hub); best == "" || score > bestScore {
			best, bestScore = hub, score
		}
	}
	return best
}

// answeringHubs lists the hubs of a zone that took the last message.
func (r *workerReach) answeringHubs(zone string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	known := r.zones[zone]
	if now.Sub(known.at) > hubsFresh {
		known = zoneHubs{hubs: r.hubs(zone), at: now}
		slices.Sort(known.hubs)
		r.zones[zone] = known
	}
	return slices.DeleteFunc(slices.Clone(known.hubs), func(hub string) bool {
		failedAt, failed := r.failedAt[hub]
		return failed && now.Sub(failedAt) < hubAgainAfter
	})
}

// Start implements workload.Workers.
func (r *workerReach) Start(ctx context.Context, o workload.Order) workload.Receipt {
	return r.order(ctx, opStart, o, r.direct.Start)
}

// Stop implements workload.Workers.
func (r *workerReach) Stop(ctx context.Context, o workload.Order) workload.Receipt {
	return r.order(ctx, opStop, o, r.direct.Stop)
}

func (r *workerReach) order(
	ctx context.Context, op string, o workload.Order, direct func(context.Context, workload.Order) workload.Receipt,
) workload.Receipt {
	hub := r.hubFor(o.Worker, o.Zone)
	if hub == "" {
		return direct(ctx, o)
	}
	answer, err := r.ask(ctx, hub, packOrder(op, o), relayedOrderTimeout)
	switch {
	case errors.Is(err, errNotRelayed):
		return direct(ctx, o)
	case err != nil:
		return workload.Receipt{Verdict: workload.VerdictUnknown, Err: err}
	}
	return unpackReceipt(answer)
}

// Poll implements workload.Workers.
func (r *workerReach) Poll(ctx context.Context, p workload.Poll) workload.Report {
	hub := r.hubFor(p.Worker, p.Zone)
	if hub == "" {
		return r.direct.Poll(ctx, p)
	}
	answer, err := r.ask(ctx, hub, packPoll(p), p.Wait+relayedPollTimeout)
	switch {
	case errors.Is(err, errNotRelayed):
		return r.direct.Poll(ctx, p)
	case err != nil:
		return workload.Report{Verdict: workload.VerdictUnknown, Err: err}
	}
	return unpackReport(answer)
}

// Forget implements workload.Workers.
func (r *workerReach) Forget(worker string) { r.direct.Forget(worker) }

// ask has a hub make a call and waits for the answer.
func (r *workerReach) ask(ctx context.Context, hub string, call *peerpb.WorkerCall, within time.Duration) (*peerpb.WorkerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	call.Id = r.lastID.Add(1)
	answer := make(chan relayAnswer, 1)
	r.mu.Lock()
	r.pending[call.Id] = pendingCall{hub, answer}
	r.mu.Unlock()
	r.calls.add(hub, call)
	metricRelayed(call.GetOp()).Inc()
	select {
	case got := <-answer:
		return got.answer, got.err
	case <-ctx.Done():
		r.settle(call.Id)
		return nil, fmt.Errorf("hub %s: %w", hub, context.Cause(ctx))
	}
}

// settle takes a call out of those that are under way.
func (r *workerReach) settle(id uint64) (pendingCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call, known := r.pending[id]
	delete(r.pending, id)
	return call, known
}

// deliver hands calls to a hub. Calls that it surely did not take go another way at
// once; of the others the answers, or their time-outs, decide.
func (r *workerReach) deliver(hub string, batch []*peerpb.WorkerCall) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	_, err := r.caller.Call(ctx, hub, &peerpb.Request{Body: &peerpb.Request_WorkerCalls{WorkerCalls: &peerpb.WorkerCalls{Calls: batch}}})
	if err == nil {
		return
	}
	r.logger.Warn("hub takes no calls to workers", zap.String("peer", hub), zap.Int("calls", len(batch)), zap.Error(err))
	r.mu.Lock()
	r.failedAt[hub] = bootTime()
	r.mu.Unlock()
	if api.IsKind(err, api.KindResultUnknown) {
		return
	}
	for _, call := range batch {
		if p, known := r.settle(call.GetId()); known {
			p.answer <- relayAnswer{err: fmt.Errorf("%w: %w", errNotRelayed, err)}
		}
	}
}

// takeAnswers takes what a hub says of calls that it made.
func (r *workerReach) takeAnswers(from string, answers []*peerpb.WorkerAnswer) {
	for _, answer := range answers {
		r.mu.Lock()
		p, known := r.pending[answer.GetId()]
		known = known && p.hub == from
		if known {
			delete(r.pending, answer.GetId())
		}
		r.mu.Unlock()
		if known {
			p.answer <- relayAnswer{answer: answer}
		}
	}
}

const (
	// workersPerCore is how many workers an instance speaks to itself for each core that
	// it may use.
	workersPerCore = 2000
	// connectionsPerWorker are what a worker takes of an instance's connections: a poll
	// that waits, orders beside it, and one that is being replaced.
	connectionsPerWorker = 3
)

// ownWorkers is how many workers an instance speaks to itself; zero is no bound.
func ownWorkers(s *Settings) int {
	most := math.MaxInt
	if connections := s.WorkerConnections(); connections > 0 {
		most = min(most, connections/connectionsPerWorker)
	}
	if cores := s.Processor.cores(); cores > 0 {
		most = min(most, int(math.Ceil(cores*workersPerCore)))
	}
	if most == math.MaxInt {
		return 0
	}
	return cmp.Or(most, 1)
}

func metricRelayed(op string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`corianderbank_deployment_relayed_calls_total{call="` + op + `"}`)
}

package deployment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
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

// This file lets a deployment have more workers than one instance can connect to. Each
// worker that runs something has a waiting poll, and starts and stops in addition: with
// thousands of workers the leader alone runs out of descriptors and processor time. It
// therefore calls a share of the workers itself, according to its own limits, and has
// the hubs of their zones call the others, with many calls in one message. A hub
// decides nothing and stores nothing: for the core it is a longer route to the worker,
// on which a call may be lost or carried out late. Workers refuse an outdated epoch on
// this route like on any other.

const (
	// callBatchLinger is the time that calls wait for others to the same hub.
	callBatchLinger = 10 * time.Millisecond
	// maxCallsPerMessage bounds the calls of one message.
	maxCallsPerMessage = 256
	// relayTimeout bounds sending a message from the leader to a hub or back, and is the
	// time that the route through a hub may add to a call.
	relayTimeout = 400 * time.Millisecond
	// relayedOrderTimeout bounds a start or a stop at the worker including the route
	// there and back.
	relayedOrderTimeout = 500*time.Millisecond + relayTimeout
	// relayedPollTimeout is added to the time that a poll may wait.
	relayedPollTimeout = 600*time.Millisecond + relayTimeout
	// hubRetryAfter is the time for which no calls are sent to a hub after it did not
	// accept a message.
	hubRetryAfter = 1500 * time.Millisecond
	// hubListTTL is the time for which the cached list of a zone's hubs is used.
	hubListTTL = 200 * time.Millisecond
)

// routedWorkers reaches the workers directly or through a hub of their zone. It
// implements workload.Workers.
type routedWorkers struct {
	direct workload.Workers
	caller peer.Caller
	logger *zap.Logger
	// hubs returns the responsive hubs of a zone, without this instance.
	hubs func(zone string) []string
	// maxDirect is the number of workers that this instance calls directly at most;
	// zero means no bound.
	maxDirect int
	// directShare is the share of the workers that this instance calls directly, as the
	// bits of a float64.
	directShare atomic.Uint64
	calls       *batcher[*peerpb.WorkerCall]
	// lastID is the id of the last call made by a hub. The first is random: hubs still answer the
	// calls of a process that ran at the same address before.
	lastID     atomic.Uint64
	mu         sync.Mutex
	pending    map[uint64]pendingCall
	hubsByZone map[string]hubList
	// failedAt is the time at which a hub last did not accept a message.
	failedAt map[string]time.Time
}

// pendingCall is a call made by a hub that has not been answered.
type pendingCall struct {
	hub    string
	answer chan relayAnswer
}

// relayAnswer is the answer from a hub, or the error that replaces it.
type relayAnswer struct {
	answer *peerpb.WorkerAnswer
	err    error
}

// hubList is the cached list of the hubs of a zone.
type hubList struct {
	hubs      []string
	fetchedAt time.Time
}

// errNotRelayed means that the hub did not accept the call and that it was not carried
// out.
var errNotRelayed = errors.New("the hub did not accept the call")

func newRoutedWorkers(direct workload.Workers, caller peer.Caller, hubs func(zone string) []string, maxDirect int, logger *zap.Logger) *routedWorkers {
	r := &routedWorkers{
		direct:     direct,
		caller:     caller,
		hubs:       hubs,
		maxDirect:  maxDirect,
		logger:     logger,
		pending:    make(map[uint64]pendingCall),
		hubsByZone: make(map[string]hubList),
		failedAt:   make(map[string]time.Time),
	}
	r.lastID.Store(rand.Uint64())
	r.calls = newBatcher(callBatchLinger, maxCallsPerMessage, r.sendCalls)
	r.setWorkerCount(0)
	return r
}

// setWorkerCount sets the number of workers, from which the direct share is derived.
func (r *routedWorkers) setWorkerCount(count int) {
	share := 1.0
	if r.maxDirect > 0 && count > r.maxDirect {
		share = float64(r.maxDirect) / float64(count)
	}
	r.directShare.Store(math.Float64bits(share))
}

// isDirect reports whether this instance calls a worker directly.
func (r *routedWorkers) isDirect(worker string) bool {
	share := math.Float64frombits(r.directShare.Load())
	return share >= 1 || float64(xxhash.Sum64String(worker)) < share*math.MaxUint64
}

// hubFor returns the hub that makes the calls to a worker, or "" if this instance makes
// them.
func (r *routedWorkers) hubFor(worker, zone string) string {
	if r.isDirect(worker) {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, hub := range r.availableHubs(zone) {
		if score := xxhash.Sum64String(worker + hub); best == "" || score > bestScore {
			best, bestScore = hub, score
		}
	}
	return best
}

// availableHubs returns the hubs of a zone without those that recently did not accept a
// message.
func (r *routedWorkers) availableHubs(zone string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	known := r.hubsByZone[zone]
	if now.Sub(known.fetchedAt) > hubListTTL {
		known = hubList{hubs: r.hubs(zone), fetchedAt: now}
		slices.Sort(known.hubs)
		r.hubsByZone[zone] = known
	}
	return slices.DeleteFunc(slices.Clone(known.hubs), func(hub string) bool {
		failedAt, failed := r.failedAt[hub]
		return failed && now.Sub(failedAt) < hubRetryAfter
	})
}

// Start implements workload.Workers.
func (r *routedWorkers) Start(ctx context.Context, o workload.Order) workload.OrderResult {
	return r.order(ctx, opStart, o, r.direct.Start)
}

// Stop implements workload.Workers.
func (r *routedWorkers) Stop(ctx context.Context, o workload.Order) workload.OrderResult {
	return r.order(ctx, opStop, o, r.direct.Stop)
}

func (r *routedWorkers) order(
	ctx context.Context, op string, o workload.Order, direct func(context.Context, workload.Order) workload.OrderResult,
) workload.OrderResult {
	hub := r.hubFor(o.Worker, o.Zone)
	if hub == "" {
		return direct(ctx, o)
	}
	answer, err := r.callHub(ctx, hub, orderToProto(op, o), relayedOrderTimeout)
	switch {
	case errors.Is(err, errNotRelayed):
		return direct(ctx, o)
	case err != nil:
		return workload.OrderResult{Verdict: workload.VerdictUnknown, Hub: hub, Err: err}
	}
	result := orderResultFromProto(answer)
	result.Hub = hub
	return result
}

// Poll implements workload.Workers.
func (r *routedWorkers) Poll(ctx context.Context, p workload.Poll) workload.Report {
	hub := r.hubFor(p.Worker, p.Zone)
	if hub == "" {
		return r.direct.Poll(ctx, p)
	}
	answer, err := r.callHub(ctx, hub, pollToProto(p), p.Wait+relayedPollTimeout)
	switch {
	case errors.Is(err, errNotRelayed):
		return r.direct.Poll(ctx, p)
	case err != nil:
		return workload.Report{Verdict: workload.VerdictUnknown, Err: err}
	}
	return reportFromProto(answer)
}

// Forget implements workload.Workers.
func (r *routedWorkers) Forget(worker string) { r.direct.Forget(worker) }

// callHub has a hub make a call and waits for the answer.
func (r *routedWorkers) callHub(ctx context.Context, hub string, call *peerpb.WorkerCall, timeout time.Duration) (*peerpb.WorkerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
		r.removePending(call.Id)
		return nil, fmt.Errorf("hub %s: %w", hub, context.Cause(ctx))
	}
}

// removePending removes and returns a pending call.
func (r *routedWorkers) removePending(id uint64) (pendingCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call, known := r.pending[id]
	delete(r.pending, id)
	return call, known
}

// sendCalls sends calls to a hub. Calls that the hub definitely did not accept fail at
// once with errNotRelayed and are then made directly; the others end with their answers
// or time out.
func (r *routedWorkers) sendCalls(hub string, batch []*peerpb.WorkerCall) {
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
	if !notAccepted(err) {
		return
	}
	for _, call := range batch {
		if p, known := r.removePending(call.GetId()); known {
			p.answer <- relayAnswer{err: fmt.Errorf("%w: %w", errNotRelayed, err)}
		}
	}
}

// notAccepted reports whether an error of a message to a hub means that the hub makes none of its
// calls. A handler that failed may have begun to.
func notAccepted(err error) bool {
	return !api.IsKind(err, api.KindResultUnknown) && !api.IsKind(err, api.KindInternal)
}

// receiveAnswers delivers a hub's answers to the calls that wait for them. Answers from
// an instance that was not asked are ignored.
func (r *routedWorkers) receiveAnswers(from string, answers []*peerpb.WorkerAnswer) {
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
	// workersPerCore is the number of workers that an instance calls directly for each
	// core that it may use.
	workersPerCore = 2000
	// connectionsPerWorker is the number of connections that an instance needs for a
	// worker: a waiting poll, concurrent orders, and one that is being replaced.
	connectionsPerWorker = 3
)

// maxDirectWorkers returns how many workers an instance calls directly at most; zero
// means no bound.
func maxDirectWorkers(s *Settings) int {
	limit := math.MaxInt
	if connections := s.WorkerConnections(); connections > 0 {
		limit = min(limit, connections/connectionsPerWorker)
	}
	if cores := s.Processor.cores(); cores > 0 {
		limit = min(limit, int(math.Ceil(cores*workersPerCore)))
	}
	if limit == math.MaxInt {
		return 0
	}
	return cmp.Or(limit, 1)
}

func metricRelayed(op string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`corianderbank_deployment_relayed_calls_total{call="` + op + `"}`)
}

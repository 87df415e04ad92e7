package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// routeTimeout bounds one attempt on one route. The store answers within
	// milliseconds; when it is slow, within a few hundred.
	routeTimeout = 900 * time.Millisecond
	// routeHedgeDelay is the time that a route may take before the next one is tried
	// concurrently. Without it, an instance that the store does not answer would hold
	// an urgent job for most of the time that the job has.
	routeHedgeDelay = 250 * time.Millisecond
	// directRetryAfter is the time after a failure for which the direct route is tried
	// last, if there are routes through peers.
	directRetryAfter = 1 * time.Second
	// followSlack is added to the time that the store may wait for a change, which
	// bounds an attempt of a Follow call.
	followSlack = 900 * time.Millisecond
	// reachableWindow is the time for which the store counts as reachable after an
	// answer.
	reachableWindow = 1500 * time.Millisecond
)

// routedStore reaches the store by any route that works: directly, or through a peer
// that reaches it. Often only some instances are refused by the store. It implements
// workload.Store.
type routedStore struct {
	*routeState
	// attemptTimeout bounds one attempt on one route; after hedgeDelay the next one is
	// tried concurrently.
	attemptTimeout, hedgeDelay time.Duration
}

// limits are the time limits of one call.
type limits struct {
	// attemptTimeout bounds one attempt. After hedgeDelay without an answer, the next
	// route is tried concurrently.
	attemptTimeout, hedgeDelay time.Duration
}

const (
	// slowFactor is the multiple of the average latency that a route may take.
	slowFactor = 2
	// maxAttemptTimeout bounds an attempt on a slow store.
	maxAttemptTimeout = 1200 * time.Millisecond
	// latencyWeight is the weight of the newest answer in the average latency.
	latencyWeight = 0.3
)

// limitsFor returns the limits of a call given the average latency. Asking a slow store
// again on another route doubles its work and makes it slower.
func limitsFor(attemptTimeout, hedgeDelay, avgLatency time.Duration) limits {
	slow := min(slowFactor*avgLatency, maxAttemptTimeout)
	return limits{attemptTimeout: max(attemptTimeout, slow), hedgeDelay: max(hedgeDelay, slow)}
}

func (r *routedStore) limits() limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return limitsFor(r.attemptTimeout, r.hedgeDelay, r.avgLatency)
}

// recordLatency updates the average latency of direct answers.
func (r *routedStore) recordLatency(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avgLatency += time.Duration(latencyWeight * float64(took-r.avgLatency))
}

// withAttemptTimeout returns a routedStore with the same state and another bound for an
// attempt.
func (r *routedStore) withAttemptTimeout(attemptTimeout time.Duration) *routedStore {
	return &routedStore{routeState: r.routeState, attemptTimeout: attemptTimeout, hedgeDelay: min(r.hedgeDelay, attemptTimeout)}
}

// routeState is the state shared by all variants of a routedStore.
type routeState struct {
	direct workload.Store
	caller peer.Caller
	logger *zap.Logger
	// relayPeers returns the peers that reported that they reach the store.
	relayPeers func() []string
	// onAnswer, if set, is called with the start of each call that the store answered.
	onAnswer func(start time.Time)
	// onPartAnswer, if set, is called in addition for calls to one part of the product's table, and
	// onOverdue when such a call has not been answered within its hedge delay.
	onPartAnswer func(part string, start time.Time)
	onOverdue    func(part string)

	mu sync.Mutex
	// failedAt is the time at which the direct route last failed; zero after a success.
	failedAt time.Time
	// directAt and answeredAt are the times at which the store last answered directly
	// and by any route.
	directAt, answeredAt time.Time
	// unreachableAt is the time at which all routes last failed; zero if that never
	// happened.
	unreachableAt time.Time
	// avgLatency is the moving average of the latency of direct answers.
	avgLatency time.Duration
	directLost bool
	// resumptions holds, by part, the channel that is closed when the part answers again.
	resumptions map[string]chan struct{}
}

// resumption returns a channel that is closed when a silent part answers again.
func (r *routeState) resumption(part string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumptions == nil {
		r.resumptions = make(map[string]chan struct{})
	}
	if r.resumptions[part] == nil {
		r.resumptions[part] = make(chan struct{})
	}
	return r.resumptions[part]
}

// resume makes the calls to a part that are in flight try once more: the store has lost those that
// it did not answer while it was silent.
func (r *routeState) resume(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.resumptions[part]; waiting != nil {
		close(waiting)
		delete(r.resumptions, part)
	}
}

// callFollow is the call that waits for changes. Its duration does not measure the
// latency of the store.
const callFollow = "follow"

// callProbe is the call that finds out whether the store answers at all.
const callProbe = "probe"

// storeCall describes a call.
type storeCall struct {
	name string
	// part is the part of the product's table that the call concerns, if ofPart is set.
	part   string
	ofPart bool
}

// callOf returns the description of a call to a part of a table.
func callOf(name string, source workload.Source, part string) storeCall {
	return storeCall{name, part, source == workload.SourceOwn}
}

// attempt makes a call on one route.
type attempt[T any] func(ctx context.Context, store workload.Store) (T, error)

// outcome is the result of an attempt on one route.
type outcome[T any] struct {
	route  workload.Store
	start  time.Time
	result T
	err    error
}

// tryRoutes tries the routes in turn, the next one as soon as one failed or has not
// answered for the hedge delay, and returns the first answer. If the store was silent and answers
// again meanwhile, the first route is tried again, up to maxResumptions times. The error wraps
// workload.ErrUnknown if any attempt may have been performed.
func tryRoutes[T any](ctx context.Context, r *routedStore, call storeCall, limits limits, try attempt[T]) (T, error) {
	routes := r.routes()
	attemptsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], len(routes)+maxResumptions)
	hedge := time.NewTimer(limits.hedgeDelay)
	defer hedge.Stop()
	attempts, started, resumptions := 0, 0, 0
	launch := func(route workload.Store) {
		attempts++
		go func() { outcomes <- tryRoute(attemptsCtx, route, limits.attemptTimeout, try) }()
	}
	start := func() {
		started++
		hedge.Reset(limits.hedgeDelay)
		launch(routes[started-1])
	}
	var resumed <-chan struct{}
	if call.ofPart && call.name != callProbe {
		resumed = r.resumption(call.part)
	}
	start()
	var f failures
	for ended := 0; ended < attempts; {
		select {
		case <-resumed:
			launch(r.routes()[0])
			resumptions++
			resumed = nil
			if resumptions < maxResumptions {
				resumed = r.resumption(call.part)
			}
		case o := <-outcomes:
			ended++
			r.observeDuration(call.name, o.route, o.start, o.err)
			if o.err == nil || errors.Is(o.err, workload.ErrHistoryGone) || errors.Is(o.err, workload.ErrRefused) {
				r.recordAnsweredBy(o.route, o.start, routes[:started])
				if call.ofPart && r.onPartAnswer != nil {
					r.onPartAnswer(call.part, o.start)
				}
				if o.route == r.direct && call.name != callFollow {
					r.recordLatency(bootTime().Sub(o.start))
				}
				return o.result, o.err
			}
			f.add(o.err)
			if ctx.Err() != nil {
				continue
			}
			r.recordResult(o.route, o.start, o.err)
			if started < len(routes) {
				start()
			}
		case <-hedge.C:
			if started == 1 && call.ofPart && call.name != callProbe && r.onOverdue != nil {
				r.onOverdue(call.part)
			}
			if started < len(routes) && ctx.Err() == nil {
				start()
			}
		}
	}
	if ctx.Err() == nil {
		r.recordUnreachable()
	}
	var zero T
	return zero, f.err()
}

func tryRoute[T any](ctx context.Context, route workload.Store, timeout time.Duration, try attempt[T]) outcome[T] {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o := outcome[T]{route: route, start: bootTime()}
	o.result, o.err = try(ctx, route)
	return o
}

// failures collects the errors of all routes.
type failures struct {
	list    []error
	unknown bool
}

func (f *failures) add(err error) {
	f.list = append(f.list, err)
	f.unknown = f.unknown || errors.Is(err, workload.ErrUnknown)
}

func (f *failures) err() error {
	kind := workload.ErrNotDone
	if f.unknown {
		kind = workload.ErrUnknown
	}
	return fmt.Errorf("%w: %w", kind, errors.Join(f.list...))
}

// errPeerFaster is recorded for the direct route when a peer answered first.
var errPeerFaster = errors.New("a peer answered first")

// recordAnsweredBy records the route that answered, and that the direct one was slower
// than a peer if it was tried first.
func (r *routedStore) recordAnsweredBy(route workload.Store, start time.Time, tried []workload.Store) {
	r.recordResult(route, start, nil)
	r.notifyAnswer(start)
	if route != r.direct && tried[0] == r.direct {
		r.recordResult(r.direct, start, errPeerFaster)
	}
}

// maxResumptions bounds the attempts of one call that are made because the store answers again.
const maxResumptions = 2

// maxRelayPeers bounds the peers that are tried for one call.
const maxRelayPeers = 2

// routes returns the routes to the store, the most promising first.
func (r *routedStore) routes() []workload.Store {
	r.mu.Lock()
	failed := !r.failedAt.IsZero() && bootTime().Sub(r.failedAt) < directRetryAfter
	r.mu.Unlock()
	var relays []workload.Store
	for _, id := range r.relayPeers() {
		if len(relays) < maxRelayPeers {
			relays = append(relays, &relayStore{peer: id, caller: r.caller})
		}
	}
	if failed && len(relays) > 0 {
		return append(relays, r.direct)
	}
	return append([]workload.Store{r.direct}, relays...)
}

// recordResult records the result of an attempt that began at start, and logs when the
// direct route to the store is lost and regained. An answer to a call that began before
// the last failure proves nothing: the store lets calls complete that were already
// waiting for changes.
func (r *routedStore) recordResult(route workload.Store, start time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	if err == nil && start.After(r.unreachableAt) {
		r.answeredAt = now
	}
	if route != r.direct || err == nil && start.Before(r.failedAt) {
		return
	}
	if err == nil {
		r.directAt, r.failedAt = now, time.Time{}
	} else {
		r.failedAt = now
	}
	if lost := err != nil; lost != r.directLost {
		r.directLost = lost
		if lost {
			r.logger.Warn("dependency lost", zap.String("dependency", "store"), zap.Error(err))
		} else {
			r.logger.Info("dependency regained", zap.String("dependency", "store"))
		}
	}
}

// observeDuration updates the histogram of call durations by route and result.
func (r *routedStore) observeDuration(call string, route workload.Store, start time.Time, err error) {
	by, result := "peer", "done"
	if route == r.direct {
		by = "direct"
	}
	switch {
	case errors.Is(err, workload.ErrUnknown):
		result = "unknown"
	case err != nil:
		result = "not_done"
	}
	name := fmt.Sprintf(`corianderbank_deployment_store_seconds{call=%q,path=%q,result=%q}`, call, by, result)
	metrics.GetOrCreateHistogram(name).Update(bootTime().Sub(start).Seconds())
}

func (r *routedStore) notifyAnswer(start time.Time) {
	if r.onAnswer != nil {
		r.onAnswer(start)
	}
}

func (r *routedStore) recordUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableAt = bootTime()
}

// stableFor reports whether no call has failed on all routes for a duration.
func (r *routedStore) stableFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachableAt.IsZero() || bootTime().Sub(r.unreachableAt) >= d
}

// outageDuration returns the time since the store last answered by any route.
func (r *routedStore) outageDuration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bootTime().Sub(r.answeredAt)
}

// reachable reports whether the store answered recently by any route, and whether it
// did directly and no direct attempt has failed since.
func (r *routedStore) reachable() (byAnyRoute, directly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	return now.Sub(r.answeredAt) < reachableWindow, now.Sub(r.directAt) < reachableWindow && r.failedAt.IsZero()
}

// Write implements workload.Store.
func (r *routedStore) Write(ctx context.Context, write workload.Write) (workload.WriteResult, error) {
	return tryRoutes(ctx, r, callOf("write", workload.SourceOwn, write.Part), r.limits(), func(ctx context.Context, store workload.Store) (workload.WriteResult, error) {
		return store.Write(ctx, write)
	})
}

// Read implements workload.Store.
func (r *routedStore) Read(ctx context.Context, source workload.Source, part, from, to string) (workload.Page, error) {
	return tryRoutes(ctx, r, callOf("read", source, part), r.limits(), func(ctx context.Context, store workload.Store) (workload.Page, error) {
		return store.Read(ctx, source, part, from, to)
	})
}

// Follow implements workload.Store.
func (r *routedStore) Follow(ctx context.Context, source workload.Source, after int64, wait time.Duration) (workload.Page, error) {
	return tryRoutes(ctx, r, storeCall{name: callFollow}, limits{wait + followSlack, wait + r.hedgeDelay}, func(ctx context.Context, store workload.Store) (workload.Page, error) {
		return store.Follow(ctx, source, after, wait)
	})
}

// probeHedgeDelay is the delay between the routes of a probe: all are tried at once.
const probeHedgeDelay = time.Millisecond

// probe reports whether the store answers for a part by any route.
func (r *routedStore) probe(ctx context.Context, part string) bool {
	r.mu.Lock()
	timeout := min(max(silenceProbeTimeout, silenceProbeFactor*r.avgLatency), maxAttemptTimeout)
	r.mu.Unlock()
	_, err := tryRoutes(ctx, r, callOf(callProbe, workload.SourceOwn, part), limits{timeout, probeHedgeDelay}, func(ctx context.Context, store workload.Store) (workload.Page, error) {
		return store.Read(ctx, workload.SourceOwn, part, probeKey, probeKey+"\x00")
	})
	return err == nil
}

// probeKey is the key that probes read; no row has it.
const probeKey = "a/probe"

// readAll reads a whole range of a part, page by page. The returned version is that of
// the first page; the feed has the changes since then.
func readAll(ctx context.Context, store workload.Store, source workload.Source, part, from, to string) ([]workload.Row, int64, error) {
	var rows []workload.Row
	version := int64(-1)
	for {
		page, err := store.Read(ctx, source, part, from, to)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
)

// Circuit breaker in front of the store.
//
// Load pattern: a store outage while keyed requests keep arriving.
//
// Without it: each request waits for a timeout and ends as unknown, because its
// write may have arrived. The waiting calls accumulate and all reach the store at
// the moment it recovers.
//
// Thresholds: two consecutive failures open the breaker, since a single lost
// answer is not an outage. While it is open, one probe at a time reads a row, with
// exponential backoff up to a limit and with jitter, so that instances that lost
// the store at the same time do not return at the same time. One answer closes the
// breaker. Lease and configuration calls always pass: they are few, and an
// availability zone needs them to recover.

const (
	failuresToOpen = 2
	probeBaseDelay = 250 * time.Millisecond
	probeMaxDelay  = 2 * time.Second
)

// probeRef is the row that a probe reads. It need not exist.
var probeRef = api.Ref{Table: "config", Key: "head"}

// Breaker rejects calls immediately while the store does not answer, so that they
// end as not done instead of unknown.
type Breaker struct {
	tables Tables
	ctx    context.Context
	// cancel is called with mu held, so that no probe starts afterwards.
	cancel context.CancelFunc
	probes sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	failures int
	open     bool
	refused  int64
}

var _ Tables = (*Breaker)(nil)

// NewBreaker returns a closed breaker over tables. Close stops its probe.
func NewBreaker(tables Tables) *Breaker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Breaker{tables: tables, ctx: ctx, cancel: cancel}
}

// Close stops the probe, if one is running, and waits for it.
func (b *Breaker) Close() {
	b.mu.Lock()
	b.cancel()
	b.mu.Unlock()
	b.probes.Wait()
}

// Reachable reports whether the breaker is closed.
func (b *Breaker) Reachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open
}

func (b *Breaker) refusedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// allow returns an error while the breaker is open, except for lease and
// configuration calls.
func (b *Breaker) allow(purpose Purpose) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || purpose <= PurposeConfig {
		return nil
	}
	b.refused++
	return api.NewError(api.KindStoreUnavailable, "the store does not answer")
}

// record counts an answered or failed call and opens or closes the breaker.
func (b *Breaker) record(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		b.open = false
		return
	}
	b.failures++
	if b.open || b.failures < failuresToOpen || b.ctx.Err() != nil {
		return
	}
	b.open = true
	b.probes.Go(b.probe)
}

// probe reads a row repeatedly until the store answers, another call closes the
// breaker, or Close is called.
func (b *Breaker) probe() {
	retry := backoff.Backoff{Base: probeBaseDelay, Max: probeMaxDelay}
	for !b.Reachable() && sleep(b.ctx, retry.RecordFailure(rand.Float64())) {
		ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
		_, err := b.tables.Read(ctx, PurposeConfig, probeRef)
		cancel()
		if b.ctx.Err() == nil {
			b.record(answered(err))
		}
	}
}

// answered reports whether err is not KindStoreUnavailable, that is, whether the
// store answered the call.
func answered(err error) bool { return !api.IsKind(err, api.KindStoreUnavailable) }

// recordCall records the result of a call, except for failures after ctx ended.
func (b *Breaker) recordCall(ctx context.Context, ok bool) {
	if ok || ctx.Err() == nil {
		b.record(ok)
	}
}

// Commit implements Tables.
func (b *Breaker) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := b.allow(purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	result := b.tables.Commit(ctx, purpose, tx)
	b.recordCall(ctx, answered(result.Err))
	return result
}

// Read implements Tables.
func (b *Breaker) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := b.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	rows, err := b.tables.Read(ctx, purpose, refs...)
	b.recordCall(ctx, answered(err))
	return rows, err
}

// Scan implements Tables.
func (b *Breaker) Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := b.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	rows, err := b.tables.Scan(ctx, purpose, query)
	b.recordCall(ctx, answered(err))
	return rows, err
}

package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
)

// The breaker in front of the store.
//
// Load pattern: an outage of the store while keyed requests keep arriving.
//
// Without it: each of them waits out a timeout and ends as unknown, because
// its write may have arrived; the waiting calls pile up, and all of them reach
// the store again in the moment it comes back.
//
// Thresholds: two failures in a row open it, since a single lost answer is no
// outage. While it is open one probe at a time reads a row, more and more
// seldom up to a bound, jittered so that instances that lost the store
// together do not return together; one answer closes it. Leases and the
// configuration always pass: they are few, and they are how a zone recovers.

const (
	failuresToOpen = 2
	probeFirst     = 250 * time.Millisecond
	probeMost      = 2 * time.Second
)

// probeRef names the row that a probe reads; it need not exist.
var probeRef = api.Ref{Table: "config", Key: "head"}

// Breaker refuses calls at once while the store does not answer, so that what
// needs the store is refused as not done in place of unknown.
type Breaker struct {
	tables  Tables
	running context.Context
	// stop is called with mu held, so that no probe starts after it.
	stop   context.CancelFunc
	probes sync.WaitGroup

	mu       sync.Mutex // guards what follows
	failures int
	open     bool
	refused  int64
}

var _ Tables = (*Breaker)(nil)

// NewBreaker returns a closed breaker. Close ends its probe.
func NewBreaker(tables Tables) *Breaker {
	running, stop := context.WithCancel(context.Background())
	return &Breaker{tables: tables, running: running, stop: stop}
}

// Close ends the probe, if one is running, and waits for it.
func (b *Breaker) Close() {
	b.mu.Lock()
	b.stop()
	b.mu.Unlock()
	b.probes.Wait()
}

// Reachable reports whether the store answers, as far as this instance knows.
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

// allow refuses a call while the breaker is open.
func (b *Breaker) allow(purpose Purpose) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || purpose <= PurposeConfig {
		return nil
	}
	b.refused++
	return api.NewError(api.KindStoreUnavailable, "the store does not answer")
}

// note records whether a call was answered, and opens or closes the breaker.
func (b *Breaker) note(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		b.open = false
		return
	}
	b.failures++
	if b.open || b.failures < failuresToOpen || b.running.Err() != nil {
		return
	}
	b.open = true
	b.probes.Go(b.probe)
}

// probe reads a row until one answer comes, then ends.
func (b *Breaker) probe() {
	retry := backoff.Backoff{Base: probeFirst, Max: probeMost}
	for !b.Reachable() && pause(b.running, retry.Failed(rand.Float64())) {
		ctx, cancel := context.WithTimeout(b.running, callTimeout)
		_, err := b.tables.Read(ctx, PurposeConfig, probeRef)
		cancel()
		if b.running.Err() == nil {
			b.note(answered(err))
		}
	}
}

// answered reports whether a call with this error was answered by the store.
func answered(err error) bool { return !api.IsKind(err, api.KindStoreUnavailable) }

// noteCall records the end of a call, unless its caller gave it up.
func (b *Breaker) noteCall(ctx context.Context, ok bool) {
	if ok || ctx.Err() == nil {
		b.note(ok)
	}
}

// Commit implements Tables.
func (b *Breaker) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := b.allow(purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	result := b.tables.Commit(ctx, purpose, tx)
	b.noteCall(ctx, answered(result.Err))
	return result
}

// Read implements Tables.
func (b *Breaker) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := b.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	rows, err := b.tables.Read(ctx, purpose, refs...)
	b.noteCall(ctx, answered(err))
	return rows, err
}

// Scan implements Tables.
func (b *Breaker) Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := b.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	rows, err := b.tables.Scan(ctx, purpose, query)
	b.noteCall(ctx, answered(err))
	return rows, err
}

package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderbank/corianderbank/api"
)

// The store budget of one instance.
//
// Load pattern: several hundred writes and about 2,000 reads a second are all
// that the store gives to everyone. Eight instances that come back at once
// after an outage, or a burst of keyed requests, ask for far more.
//
// Without it: leases and configuration wait behind claims, lapse, and placers
// change hands because callers are busy; and a store that just came back is
// pushed over again.
//
// Thresholds: the store is taken at 300 writes and 2,000 reads a second, the
// low end of what it gives, divided by the instances that share it. A bucket
// holds one second's share, so that a burst no longer than that passes at
// once; it starts empty, so that instances that start together do not each
// spend a second's share at once. Each purpose leaves a part of the bucket to
// the ones before it: a purpose of lower precedence stops at 10% more of the
// bucket than the one above, so that claims are still served when submissions
// already wait.

// What the store gives to all instances together, a second.
const (
	StoreWrites = 300
	StoreReads  = 2000
)

const (
	// defaultInstances shares the store until the fleet is known.
	defaultInstances = 8
	// reserveStep is the part of the bucket that each purpose leaves to the
	// purposes before it.
	reserveStep = 0.1
	// maxWaiting bounds the calls that wait for one bucket.
	maxWaiting = 1024
	// maxWait bounds the wait of one call.
	maxWait = 2 * time.Second
)

// bucket is one instance's share of the store's writes or reads.
type bucket struct {
	total   float64
	mu      sync.Mutex // guards limiter's check followed by its use
	limiter *rate.Limiter
	waiting atomic.Int64
	refused atomic.Int64
	taken   atomic.Int64
}

func newBucket(total float64) *bucket {
	b := &bucket{total: total, limiter: rate.NewLimiter(0, 0)}
	b.share(defaultInstances)
	return b
}

// share divides the total by the instances that use the store.
func (b *bucket) share(instances int) {
	each := b.total / float64(max(instances, 1))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.limiter.SetLimitAt(now, rate.Limit(each))
	b.limiter.SetBurstAt(now, max(int(each), 2))
}

// try takes a token for purpose at now, or returns how long to wait before the
// next try.
func (b *bucket) try(now time.Time, purpose Purpose) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := reserveStep * float64(purpose) * float64(b.limiter.Burst()-1)
	missing := reserve + 1 - b.limiter.TokensAt(now)
	if missing <= 0 && b.limiter.AllowN(now, 1) {
		b.taken.Add(1)
		return 0
	}
	wait := time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}

// take waits for a token. An error means that none came in time.
func (b *bucket) take(ctx context.Context, purpose Purpose) error {
	if b.waiting.Add(1) > maxWaiting {
		b.waiting.Add(-1)
		return b.refuse()
	}
	defer b.waiting.Add(-1)
	deadline := time.Now().Add(maxWait)
	if until, ok := ctx.Deadline(); ok && until.Before(deadline) {
		deadline = until
	}
	for {
		now := time.Now()
		wait := b.try(now, purpose)
		if wait == 0 {
			return nil
		}
		if now.Add(wait).After(deadline) || !pause(ctx, wait) {
			return b.refuse()
		}
	}
}

func (b *bucket) refuse() error {
	b.refused.Add(1)
	return api.NewError(api.KindStoreUnavailable, "the store budget of this instance is used up")
}

// Budgeted keeps the calls to tables inside this instance's share of the store.
type Budgeted struct {
	tables        Tables
	writes, reads *bucket
}

var _ Tables = (*Budgeted)(nil)

// NewBudgeted returns tables that wait for the share of the store that
// remains, in the order of purposes, and refuse what would wait too long.
func NewBudgeted(tables Tables) *Budgeted {
	return &Budgeted{tables: tables, writes: newBucket(StoreWrites), reads: newBucket(StoreReads)}
}

// SetInstances says how many instances share the store.
func (b *Budgeted) SetInstances(instances int) {
	b.writes.share(instances)
	b.reads.share(instances)
}

// Commit implements Tables.
func (b *Budgeted) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := b.writes.take(ctx, purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return b.tables.Commit(ctx, purpose, tx)
}

// Read implements Tables.
func (b *Budgeted) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := b.reads.take(ctx, purpose); err != nil {
		return api.Rows{}, err
	}
	return b.tables.Read(ctx, purpose, refs...)
}

// Scan implements Tables.
func (b *Budgeted) Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := b.reads.take(ctx, purpose); err != nil {
		return api.Rows{}, err
	}
	return b.tables.Scan(ctx, purpose, query)
}

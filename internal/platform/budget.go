package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderbank/corianderbank/api"
)

// Store budget of one instance.
//
// Load pattern: the store serves several hundred writes and about 2,000 reads a
// second in total. Eight instances that return at the same time after an outage,
// or a burst of keyed requests, demand far more.
//
// Without it: lease and configuration calls wait behind claims, so that leases expire
// and another instance becomes the placer merely because callers send many requests. A
// store that has just recovered is overloaded again.
//
// Thresholds: the capacity of the store is taken as 300 writes and 2,000 reads a
// second, the low end of what it serves, divided by the number of instances that
// share it. A bucket holds the share of one second, so that a burst of up to that
// size passes without delay. It starts empty, so that instances that start at the
// same time do not each spend the share of one second immediately. Each purpose
// leaves a part of the bucket to those with higher precedence: 10% of the bucket more
// than the purpose before it, so that claims are still served when submissions already
// wait.

// Capacity of the store for all instances together, in calls per second.
const (
	StoreWritesPerSecond = 300
	StoreReadsPerSecond  = 2000
)

const (
	// defaultInstances is the assumed number of instances until SetInstances is
	// called.
	defaultInstances = 8
	// reserveStep is the additional part of the bucket that each purpose leaves to the
	// purposes before it.
	reserveStep = 0.1
	// maxWaiting limits the calls that wait for one bucket.
	maxWaiting = 1024
	// maxWait limits the wait of one call.
	maxWait = 2 * time.Second
)

// bucket is one instance's share of the store's writes or reads.
type bucket struct {
	total   float64
	mu      sync.Mutex // makes checking and using limiter atomic
	limiter *rate.Limiter
	waiting atomic.Int64
	refused atomic.Int64
	taken   atomic.Int64
}

func newBucket(total float64) *bucket {
	b := &bucket{total: total, limiter: rate.NewLimiter(0, 0)}
	b.setInstances(defaultInstances)
	return b
}

// setInstances sets the rate to the total divided by the number of instances.
func (b *bucket) setInstances(instances int) {
	share := b.total / float64(max(instances, 1))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.limiter.SetLimitAt(now, rate.Limit(share))
	b.limiter.SetBurstAt(now, max(int(share), 2))
}

// tryTake takes a token for purpose at now and returns zero, or returns how long to
// wait before the next attempt.
func (b *bucket) tryTake(now time.Time, purpose Purpose) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := reserveStep * float64(purpose) * float64(b.limiter.Burst()-1)
	deficit := reserve + 1 - b.limiter.TokensAt(now)
	if deficit <= 0 && b.limiter.AllowN(now, 1) {
		b.taken.Add(1)
		return 0
	}
	wait := time.Duration(deficit / float64(b.limiter.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}

// take waits for a token. It returns an error if none is available before the
// deadline of ctx or within maxWait, or if maxWaiting calls already wait.
func (b *bucket) take(ctx context.Context, purpose Purpose) error {
	if b.waiting.Add(1) > maxWaiting {
		b.waiting.Add(-1)
		return b.refuse()
	}
	defer b.waiting.Add(-1)
	deadline := time.Now().Add(maxWait)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	for {
		now := time.Now()
		wait := b.tryTake(now, purpose)
		if wait == 0 {
			return nil
		}
		if now.Add(wait).After(deadline) || !sleep(ctx, wait) {
			return b.refuse()
		}
	}
}

func (b *bucket) refuse() error {
	b.refused.Add(1)
	return api.NewError(api.KindStoreUnavailable, "the store budget of this instance is used up")
}

// BudgetedTables limits the calls to tables to this instance's share of the store.
type BudgetedTables struct {
	tables        Tables
	writes, reads *bucket
}

var _ Tables = (*BudgetedTables)(nil)

// NewBudgetedTables returns tables whose calls wait for the store budget, by
// precedence of their purposes, and fail if the wait would be too long.
func NewBudgetedTables(tables Tables) *BudgetedTables {
	return &BudgetedTables{tables: tables, writes: newBucket(StoreWritesPerSecond), reads: newBucket(StoreReadsPerSecond)}
}

// SetInstances sets the number of instances that share the store.
func (b *BudgetedTables) SetInstances(instances int) {
	b.writes.setInstances(instances)
	b.reads.setInstances(instances)
}

// Commit implements Tables.
func (b *BudgetedTables) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := b.writes.take(ctx, purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return b.tables.Commit(ctx, purpose, tx)
}

// Read implements Tables.
func (b *BudgetedTables) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := b.reads.take(ctx, purpose); err != nil {
		return api.Rows{}, err
	}
	return b.tables.Read(ctx, purpose, refs...)
}

// Scan implements Tables.
func (b *BudgetedTables) Scan(ctx context.Context, purpose Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := b.reads.take(ctx, purpose); err != nil {
		return api.Rows{}, err
	}
	return b.tables.Scan(ctx, purpose, query)
}

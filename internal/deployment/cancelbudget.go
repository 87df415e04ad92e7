package deployment

import (
	"sync"
	"time"
)

// Load: clients that cancel ids for which there is no job, by mistake or to do harm, as fast as they
// can. Each such cancellation is a row that is kept for a while. Without a bound, they would take the
// store's writes from submissions and the ends of jobs, and the memory of all hubs.
//
// Each instance has its share of a rate for the whole deployment. A client account may use as much of
// the share as it leaves to the others, so that a single one takes half of what has been saved up,
// and never all of it.

const (
	// unknownCancelsPerS is the rate, for all instances together, of cancellations of jobs that do
	// not exist, and minUnknownCancelsPerS the least share of one instance: instances that are gone
	// still count among those that share the rate.
	unknownCancelsPerS    = 40
	minUnknownCancelsPerS = 0.2
	// unknownCancelBurst is the time for which an instance saves up its share of the rate, and
	// minUnknownCancelBurst the least number of cancellations that it saves up.
	unknownCancelBurst    = 10 * time.Second
	minUnknownCancelBurst = 4
	// minCancelWait is the shortest Retry-After of a refused cancellation.
	minCancelWait = time.Second
)

// cancelBudget bounds the cancellations of jobs that do not exist. It is safe for concurrent use.
type cancelBudget struct {
	mu sync.Mutex
	// spent is the number of cancellations that count against the burst, byAccount those of each
	// client account. Both shrink at the rate of this instance.
	spent     float64
	byAccount map[string]float64
	updatedAt time.Time
}

func newCancelBudget() *cancelBudget { return &cancelBudget{byAccount: make(map[string]float64)} }

// take returns zero if a client account may cancel another unknown job, and counts it; otherwise it
// returns the time after which it may. instances is the number of instances that share the rate.
func (b *cancelBudget) take(account string, instances int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := max(unknownCancelsPerS/float64(max(instances, 1)), minUnknownCancelsPerS)
	burst := max(rate*unknownCancelBurst.Seconds(), minUnknownCancelBurst)
	b.settle(rate * now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	excess := b.spent + 1 + b.byAccount[account] - burst
	if excess > 0 {
		return max(time.Duration(excess/rate*float64(time.Second)), minCancelWait)
	}
	b.spent++
	b.byAccount[account]++
	return 0
}

// settle reduces what counts against the burst.
func (b *cancelBudget) settle(amount float64) {
	b.spent = max(b.spent-amount, 0)
	for account, spent := range b.byAccount {
		if spent -= amount; spent > 0 {
			b.byAccount[account] = spent
		} else {
			delete(b.byAccount, account)
		}
	}
}

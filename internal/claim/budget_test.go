package claim_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// loadResult is the measured result of an offered rate of keyed requests.
type loadResult struct {
	offeredPerSecond int // claims per second, all instances together
	granted          int64
	refused          int64
	waitP50, waitP99 time.Duration
	commitsPerSecond int
	readsPerSecond   int
}

func (l loadResult) String() string {
	return fmt.Sprintf("offered %5d/s: granted %7.1f/s, refused %6.1f/s, claim p50 %v p99 %v, store %d commits/s %d reads/s",
		l.offeredPerSecond, float64(l.granted)/loadSeconds, float64(l.refused)/loadSeconds,
		l.waitP50.Round(time.Millisecond), l.waitP99.Round(time.Millisecond), l.commitsPerSecond, l.readsPerSecond)
}

const (
	instanceCount = 8
	loadSeconds   = 4
	// storeLatency is the response time of the store in these runs.
	storeLatency = 5 * time.Millisecond
)

// measureClaimsLoad offers keyed requests evenly to eight instances in virtual
// time. Each is claimed and settled 50 ms later.
func measureClaimsLoad(t *testing.T, offeredPerSecond int) loadResult {
	result := loadResult{offeredPerSecond: offeredPerSecond}
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Delay: storeLatency} })
		var granted, refused atomic.Int64
		var mu sync.Mutex
		var waits []time.Duration
		var wg sync.WaitGroup
		stores := make([]*claim.Store, instanceCount)
		for i := range stores {
			stack := platform.NewStack(service)
			defer stack.Close()
			stores[i] = claim.New(stack)
		}
		for n := range offeredPerSecond * loadSeconds {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(offeredPerSecond))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				start := time.Now()
				held, _, err := stores[n%instanceCount].Claim(ctx, claim.Request{Account: "acme", Key: fmt.Sprint(n), RequestID: fmt.Sprint(n)})
				if err != nil {
					refused.Add(1)
					return
				}
				granted.Add(1)
				mu.Lock()
				waits = append(waits, time.Since(start))
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				_ = held.Settle(context.WithoutCancel(ctx), api.RequestAnswer{ID: fmt.Sprint(n), Outcome: api.OutcomeDone})
			})
		}
		time.Sleep(loadSeconds * time.Second)
		result.commitsPerSecond, result.readsPerSecond = service.Calls("commit")/loadSeconds, service.Calls("read")/loadSeconds
		wg.Wait()
		result.granted, result.refused = granted.Load(), refused.Load()
		sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
		result.waitP50, result.waitP99 = waits[len(waits)/2], waits[len(waits)*99/100]
	})
	return result
}

// TestClaimsStayWithinStoreBudget offers increasing rates and checks that the
// store receives no more than its budget and that no claim is refused.
func TestClaimsStayWithinStoreBudget(t *testing.T) {
	for _, offeredPerSecond := range []int{50, 500, 4000} {
		result := measureClaimsLoad(t, offeredPerSecond)
		t.Log(result)
		maxCommits := platform.StoreWritesPerSecond + platform.StoreWritesPerSecond/loadSeconds + 1
		assert.Assert(t, result.commitsPerSecond <= maxCommits, "%d commits a second", result.commitsPerSecond)
		assert.Assert(t, result.refused == 0, "offered %d: %d refused", offeredPerSecond, result.refused)
	}
}

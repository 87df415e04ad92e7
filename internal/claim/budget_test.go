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

// claimsLoad is what an offered rate of keyed requests came to.
type claimsLoad struct {
	offered  int // claims a second, all instances together
	granted  int64
	refused  int64
	p50, p99 time.Duration
	commits  int // a second
	reads    int // a second
}

func (l claimsLoad) String() string {
	return fmt.Sprintf("offered %5d/s: granted %7.1f/s, refused %6.1f/s, claim p50 %v p99 %v, store %d commits/s %d reads/s",
		l.offered, float64(l.granted)/loadSeconds, float64(l.refused)/loadSeconds,
		l.p50.Round(time.Millisecond), l.p99.Round(time.Millisecond), l.commits, l.reads)
}

const (
	loadInstances = 8
	loadSeconds   = 4
	// storeLatency is the answer time of the store in these runs.
	storeLatency = 5 * time.Millisecond
)

// playClaimsLoad offers keyed requests evenly to eight instances in virtual
// time; each is claimed and, 50 ms later, settled.
func playClaimsLoad(t *testing.T, offered int) claimsLoad {
	load := claimsLoad{offered: offered}
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Delay: storeLatency} })
		var granted, refused atomic.Int64
		var mu sync.Mutex
		var waits []time.Duration
		var arrivals sync.WaitGroup
		stores := make([]*claim.Store, loadInstances)
		for i := range stores {
			stack := platform.NewStack(service)
			defer stack.Close()
			stores[i] = claim.New(stack)
		}
		for n := range offered * loadSeconds {
			arrivals.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(offered))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				began := time.Now()
				held, _, err := stores[n%loadInstances].Claim(ctx, claim.Request{Account: "acme", Key: fmt.Sprint(n), RequestID: fmt.Sprint(n)})
				if err != nil {
					refused.Add(1)
					return
				}
				granted.Add(1)
				mu.Lock()
				waits = append(waits, time.Since(began))
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				_ = held.Settle(context.WithoutCancel(ctx), api.RequestAnswer{ID: fmt.Sprint(n), Outcome: api.OutcomeDone})
			})
		}
		time.Sleep(loadSeconds * time.Second)
		load.commits, load.reads = service.Calls("commit")/loadSeconds, service.Calls("read")/loadSeconds
		arrivals.Wait()
		load.granted, load.refused = granted.Load(), refused.Load()
		sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
		load.p50, load.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	})
	return load
}

// TestClaimsStayInsideTheStoreBudget offers more and more, and checks that the
// store gets no more than its share while what is granted does not collapse.
func TestClaimsStayInsideTheStoreBudget(t *testing.T) {
	for _, offered := range []int{50, 500, 4000} {
		load := playClaimsLoad(t, offered)
		t.Log(load)
		most := platform.StoreWrites + platform.StoreWrites/loadSeconds + 1
		assert.Assert(t, load.commits <= most, "%d commits a second", load.commits)
		assert.Assert(t, load.refused == 0, "offered %d: %d refused", offered, load.refused)
	}
}

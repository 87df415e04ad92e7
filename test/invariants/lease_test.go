package invariants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// leaseCase is a set of faults for the test of leases.
type leaseCase struct {
	storeFaults float64
	// pauseRate is the probability that a holder is paused between the store's
	// answer and the use of the lease.
	pauseRate float64
	clockSkew time.Duration
	planted   protocolFault
}

var leaseCases = map[string]leaseCase{
	"instances race":                           {},
	"answers of the store are lost":            {storeFaults: 0.4},
	"holders are paused past the lease":        {pauseRate: 0.2},
	"the store's clock is behind":              {clockSkew: -time.Hour},
	"the store's clock is ahead, answers lost": {clockSkew: time.Hour, storeFaults: 0.3},
	"everything at once, repeatedly":           {storeFaults: 0.4, pauseRate: 0.3, clockSkew: time.Minute},
	"paused repeatedly while answers are lost": {pauseRate: 0.5, storeFaults: 0.1},
}

const (
	leaseDuration      = 4 * time.Second
	leaseHistoryLength = 2 * time.Minute
)

// leasePeriod is the time during which an instance relied on its lease.
type leasePeriod struct {
	instance string
	epoch    int64
	from, to time.Time
}

// TestPlacerLeaseHasOneHolder checks that no two instances rely on a zone's
// lease at the same time, that an epoch has one holder, and that epochs
// increase.
func TestPlacerLeaseHasOneHolder(t *testing.T) {
	forEachCase(t, leaseCases, 3, func(t *testing.T, test leaseCase, seed uint64) []string {
		return simulateLeases(t, test, seed)
	})
}

func TestLeaseCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []protocolFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return simulateLeases(t, leaseCase{storeFaults: 0.5, pauseRate: 0.3, planted: fault}, seed)
			})
		})
	}
}

// TestTakeoverWithinTwoLeases lets the holder die and measures the virtual time
// until another instance holds the lease.
func TestTakeoverWithinTwoLeases(t *testing.T) {
	for seed := range soakSeeds(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 50))
			tables := platform.NewResolvingTables(fake.New())
			first, second := lease.New(tables, leaseDuration), lease.New(tables, leaseDuration)
			if _, err := first.Acquire(t.Context(), "z", "a"); err != nil {
				t.Fatal(err)
			}
			killed := time.Now()
			for {
				if _, err := second.Acquire(t.Context(), "z", "b"); err == nil {
					break
				}
				time.Sleep(leaseDuration/4 + time.Duration(random.IntN(int(leaseDuration/4))))
			}
			if took := time.Since(killed); took > 2*leaseDuration {
				t.Fatalf("seed %d: takeover took %v", seed, took)
			}
		})
	}
}

func simulateLeases(t *testing.T, test leaseCase, seed uint64) []string {
	var periods []leasePeriod
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		service.SetClockSkew(test.clockSkew)
		faults := rand.New(rand.NewPCG(seed, 60))
		service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		ctx, cancel := context.WithTimeout(t.Context(), leaseHistoryLength)
		defer cancel()
		var mu sync.Mutex
		var instances sync.WaitGroup
		for i := range 4 {
			random := rand.New(rand.NewPCG(seed, 70+uint64(i)))
			link := &platformLink{Platform: service, node: &faultyNode{}, fault: test.planted}
			leases := lease.New(platform.NewResolvingTables(link), leaseDuration)
			instances.Go(func() {
				for ctx.Err() == nil {
					held, released := useLease(ctx, leases, fmt.Sprintf("i%d", i), test.pauseRate, random)
					mu.Lock()
					periods = recordPeriod(periods, held, released)
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(int(leaseDuration / 2))))
				}
			})
		}
		instances.Wait()
		time.Sleep(time.Minute)
	})
	return leaseViolations(periods)
}

// useLease takes or renews the lease, and sometimes releases it. A holder that
// was paused checks the time before it relies on the lease, as the placer does.
func useLease(ctx context.Context, leases lease.Leases, instance string, pauseRate float64, random *rand.Rand) (held leasePeriod, released bool) {
	acquired, err := leases.Acquire(ctx, "z", instance)
	if err != nil {
		return leasePeriod{}, false
	}
	if random.Float64() < pauseRate {
		time.Sleep(time.Duration(random.IntN(int(3 * leaseDuration))))
	}
	held = leasePeriod{instance: instance, epoch: acquired.Epoch, from: time.Now(), to: acquired.Until}
	if random.IntN(5) > 0 {
		return held, false
	}
	held.to = time.Now()
	_ = leases.Release(ctx, acquired, instance)
	return held, true
}

// recordPeriod adds a period, unless the lease expired before the instance could
// rely on it. Releasing the lease also ends the instance's earlier periods under
// the same epoch.
func recordPeriod(periods []leasePeriod, held leasePeriod, released bool) []leasePeriod {
	for i, earlier := range periods {
		if released && earlier.instance == held.instance && earlier.epoch == held.epoch && earlier.to.After(held.to) {
			periods[i].to = held.to
		}
	}
	if held.to.After(held.from) {
		periods = append(periods, held)
	}
	return periods
}

// leaseViolations returns every pair of periods that contradict each other.
func leaseViolations(periods []leasePeriod) []string {
	var violations []string
	for i, a := range periods {
		for _, b := range periods[:i] {
			overlapping := a.from.Before(b.to) && b.from.Before(a.to)
			switch {
			case a.instance == b.instance:
			case a.epoch == b.epoch:
				violations = append(violations, fmt.Sprintf("%s and %s both had epoch %d", a.instance, b.instance, a.epoch))
			case overlapping:
				violations = append(violations, fmt.Sprintf("%s (epoch %d) and %s (epoch %d) held at the same time", a.instance, a.epoch, b.instance, b.epoch))
			case (a.epoch > b.epoch) != a.from.After(b.from):
				violations = append(violations, fmt.Sprintf("epochs %d and %d were held in the wrong order", b.epoch, a.epoch))
			}
		}
	}
	return violations
}

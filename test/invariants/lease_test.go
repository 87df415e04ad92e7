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

// leaseCase is one row of the fault table for leases.
type leaseCase struct {
	storeFaults float64
	// pauses is how often a holder is paused between the store's answer and
	// the use of the lease.
	pauses  float64
	skew    time.Duration
	planted stateFault
}

var leaseCases = map[string]leaseCase{
	"instances race":                             {},
	"answers of the store are lost":              {storeFaults: 0.4},
	"holders are paused past the lease":          {pauses: 0.2},
	"the store's clock is behind":                {skew: -time.Hour},
	"the store's clock is ahead, answers lost":   {skew: time.Hour, storeFaults: 0.3},
	"everything at once, and again and again":    {storeFaults: 0.4, pauses: 0.3, skew: time.Minute},
	"paused again and again while answers go on": {pauses: 0.5, storeFaults: 0.1},
}

const (
	leaseLength  = 4 * time.Second
	leaseHistory = 2 * time.Minute
)

// term is the time for which an instance relied on its lease.
type term struct {
	instance string
	epoch    int64
	from, to time.Time
}

// TestPlacerLeaseHasOneHolder checks that no two instances rely on a zone's
// lease at the same time, that an epoch has one holder, and that it rises.
func TestPlacerLeaseHasOneHolder(t *testing.T) {
	everyCase(t, leaseCases, 3, func(t *testing.T, test leaseCase, seed uint64) []string {
		return playLeases(t, test, seed)
	})
}

func TestLeaseCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []stateFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return playLeases(t, leaseCase{storeFaults: 0.5, pauses: 0.3, planted: fault}, seed)
			})
		})
	}
}

// TestTakeoverWithinTwoLeases kills the holder and measures, in virtual time,
// until another instance holds the lease.
func TestTakeoverWithinTwoLeases(t *testing.T) {
	for seed := range soakSeeds(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 50))
			tables := platform.NewResolving(fake.New())
			first, second := lease.New(tables, leaseLength), lease.New(tables, leaseLength)
			if _, err := first.Acquire(t.Context(), "z", "a"); err != nil {
				t.Fatal(err)
			}
			killed := time.Now()
			for {
				if _, err := second.Acquire(t.Context(), "z", "b"); err == nil {
					break
				}
				time.Sleep(leaseLength/4 + time.Duration(random.IntN(int(leaseLength/4))))
			}
			if took := time.Since(killed); took > 2*leaseLength {
				t.Fatalf("seed %d: takeover took %v", seed, took)
			}
		})
	}
}

func playLeases(t *testing.T, test leaseCase, seed uint64) []string {
	var terms []term
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		service.SetSkew(test.skew)
		faults := rand.New(rand.NewPCG(seed, 60))
		service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		ctx, cancel := context.WithTimeout(t.Context(), leaseHistory)
		defer cancel()
		var mu sync.Mutex
		var instances sync.WaitGroup
		for i := range 4 {
			random := rand.New(rand.NewPCG(seed, 70+uint64(i)))
			link := &nodeLink{Platform: service, node: &stateNode{}, fault: test.planted}
			leases := lease.New(platform.NewResolving(link), leaseLength)
			instances.Go(func() {
				for ctx.Err() == nil {
					held, released := tryLease(ctx, leases, fmt.Sprintf("i%d", i), test.pauses, random)
					mu.Lock()
					terms = noteTerm(terms, held, released)
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(int(leaseLength / 2))))
				}
			})
		}
		instances.Wait()
		time.Sleep(time.Minute)
	})
	return overlaps(terms)
}

// tryLease takes or renews the lease, and now and then gives it up. A paused
// holder looks at its watch before it relies on the lease, as the placer does.
func tryLease(ctx context.Context, leases lease.Leases, instance string, pauses float64, random *rand.Rand) (held term, released bool) {
	got, err := leases.Acquire(ctx, "z", instance)
	if err != nil {
		return term{}, false
	}
	if random.Float64() < pauses {
		time.Sleep(time.Duration(random.IntN(int(3 * leaseLength))))
	}
	held = term{instance: instance, epoch: got.Epoch, from: time.Now(), to: got.Until}
	if random.IntN(5) > 0 {
		return held, false
	}
	held.to = time.Now()
	_ = leases.Release(ctx, got, instance)
	return held, true
}

// noteTerm adds a term. Giving the lease up ends the earlier terms under the
// same epoch too.
func noteTerm(terms []term, held term, released bool) []term {
	for i, earlier := range terms {
		if released && earlier.instance == held.instance && earlier.epoch == held.epoch && earlier.to.After(held.to) {
			terms[i].to = held.to
		}
	}
	if held.to.After(held.from) {
		terms = append(terms, held)
	}
	return terms
}

// overlaps returns every pair of terms that contradict each other.
func overlaps(terms []term) []string {
	var problems []string
	for i, a := range terms {
		for _, b := range terms[:i] {
			both := a.from.Before(b.to) && b.from.Before(a.to)
			switch {
			case a.instance == b.instance:
			case a.epoch == b.epoch:
				problems = append(problems, fmt.Sprintf("%s and %s both had epoch %d", a.instance, b.instance, a.epoch))
			case both:
				problems = append(problems, fmt.Sprintf("%s (epoch %d) and %s (epoch %d) held at the same time", a.instance, a.epoch, b.instance, b.epoch))
			case (a.epoch > b.epoch) != a.from.After(b.from):
				problems = append(problems, fmt.Sprintf("epoch %d came after epoch %d", b.epoch, a.epoch))
			}
		}
	}
	return problems
}

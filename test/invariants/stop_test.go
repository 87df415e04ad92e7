package invariants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// stopCase is a set of conditions for a planned stop.
type stopCase struct {
	// stopHolder stops the instance that holds the placer lease; otherwise the
	// seed determines which instance stops.
	stopHolder bool
	// stopCount is the number of instances that stop at the same moment, at
	// least one.
	stopCount int
	// signals is the number of stop signals that each of them gets.
	signals   int
	storeDown bool
	partition bool
	// pinnedSeeds are seeds that once showed a violation.
	pinnedSeeds []uint64
}

var stopCases = map[string]stopCase{
	"an instance stops under load":                     {stopCount: 1, signals: 1},
	"the holder of the placer lease stops":             {stopHolder: true, stopCount: 1, signals: 1},
	"an instance gets three stop signals at once":      {stopHolder: true, stopCount: 1, signals: 3},
	"two instances stop at the same moment":            {stopCount: 2, signals: 1},
	"two stop at once, with two signals each":          {stopHolder: true, stopCount: 2, signals: 2},
	"the store is down":                                {stopHolder: true, stopCount: 1, signals: 1, storeDown: true},
	"its peers are cut off":                            {stopCount: 1, signals: 1, partition: true, pinnedSeeds: []uint64{1012}},
	"store down, peers cut off, two stop, two signals": {stopHolder: true, stopCount: 2, signals: 2, storeDown: true, partition: true},
}

// stopFault is a planted fault in the shutdown.
type stopFault int

const (
	noStopFault stopFault = iota
	// noLinger closes the listener before the balancer has detected the stop.
	noLinger
	// noDrain ends the process while requests are in flight.
	noDrain
	// noHandOver lets the placer lease expire instead of releasing it.
	noHandOver
)

// handOverBound is the time after the start of a stop within which another
// instance must be the placer. It covers one second of failing announcements to
// partitioned peers, a third of a lease until the next attempt, and the calls.
// A lease that is not released expires two thirds of its length, 2.67 s, after
// the stop at the earliest.
const handOverBound = 2500 * time.Millisecond

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	for name, test := range stopCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, test.pinnedSeeds, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					assert.Equal(t, simulateStop(t.Context(), test, seed, noStopFault), "", "seed %d", seed)
				})
			})
		})
	}
}

// TestStopCheckCatchesPlantedFaults verifies that the check above detects
// planted faults.
func TestStopCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		fault stopFault
		want  string
	}{
		"the listener closes before the balancer detects the stop": {noLinger, "interrupted a request"},
		"the process ends with requests in flight":                 {noDrain, "interrupted a request"},
		"the placer lease expires without a release":               {noHandOver, "not handed over in time"},
	}
	for name, planted := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got := simulateStop(t.Context(), stopCase{stopHolder: true, stopCount: 1, signals: 1}, 0, planted.fault)
				assert.Assert(t, strings.Contains(got, planted.want), "found %q", got)
			})
		})
	}
}

// simulateStop runs one history, in which one or two of three instances stop
// under a steady load, and returns the first violation, or "".
func simulateStop(ctx context.Context, test stopCase, seed uint64, fault stopFault) string {
	random := rand.New(rand.NewPCG(seed, 17))
	w := newFleetWorld(4)
	store := fake.New()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := []string{"e1", "e2", "e3"}
	b := &balancer{ready: make(map[string]bool)}
	for _, id := range all {
		b.instances = append(b.instances, w.startInstance(ctx, id, all, store, random.Uint64(), fault))
	}
	time.Sleep(10 * time.Second)
	var load sync.WaitGroup
	for _, instance := range b.instances {
		load.Go(func() { b.probeReadiness(ctx, instance) })
	}
	for range 4 {
		source := rand.New(rand.NewPCG(random.Uint64(), 19))
		load.Go(func() { b.sendRequests(ctx, source) })
	}
	time.Sleep(2*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
	violation := b.stopInstances(w, store, test, random)
	time.Sleep(5 * time.Second)
	cancel()
	load.Wait()
	for _, instance := range b.instances {
		_ = instance.stop()
	}
	if violation != "" {
		return violation
	}
	return b.check(w)
}

// stopInstances stops instances and returns a violation during their shutdown,
// or "".
func (b *balancer) stopInstances(w *fleetWorld, store *fake.Platform, test stopCase, random *rand.Rand) string {
	stopping := b.pickStopping(test, random)
	if test.storeDown {
		store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	}
	if test.partition {
		for _, other := range b.instances {
			w.setPartitioned(stopping[0].id, other.id, true)
			w.setPartitioned(other.id, stopping[0].id, true)
		}
	}
	heldEpoch := stopping[0].placer.Epoch()
	violations := make(chan string, len(stopping)*test.signals+1)
	var stops sync.WaitGroup
	for _, instance := range stopping {
		for range test.signals {
			stops.Go(func() {
				if err := instance.stop(); err != nil {
					violations <- fmt.Sprintf("%s: %v", instance.id, err)
				}
			})
		}
	}
	if heldEpoch > 0 && !test.storeDown {
		stops.Go(func() {
			if !b.awaitTakeover(stopping, heldEpoch) {
				violations <- "the placer lease was not handed over in time"
			}
		})
	}
	stops.Wait()
	close(violations)
	return <-violations
}

// pickStopping returns the instances to stop, with the holder of the lease
// first if stopHolder is set.
func (b *balancer) pickStopping(test stopCase, random *rand.Rand) []*entryInstance {
	picked := make([]*entryInstance, 0, len(b.instances))
	for _, index := range random.Perm(len(b.instances)) {
		instance := b.instances[index]
		if test.stopHolder && instance.placer.Epoch() > 0 {
			picked = append([]*entryInstance{instance}, picked...)
			continue
		}
		picked = append(picked, instance)
	}
	return picked[:test.stopCount]
}

// awaitTakeover reports whether, within handOverBound, an instance that does
// not stop becomes the placer under a higher epoch.
func (b *balancer) awaitTakeover(stopping []*entryInstance, heldEpoch int64) bool {
	isStopping := make(map[*entryInstance]bool)
	for _, instance := range stopping {
		isStopping[instance] = true
	}
	for deadline := time.Now().Add(handOverBound); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, instance := range b.instances {
			if !isStopping[instance] && instance.placer.Epoch() > heldEpoch {
				return true
			}
		}
	}
	return false
}

// check returns the first answer that is incomplete, contradicts what ran or has
// an unknown outcome, or "".
func (b *balancer) check(w *fleetWorld) string {
	if len(b.results) == 0 {
		return "no request was sent"
	}
	for _, result := range b.results {
		ran := w.received[result.answer.ID]
		switch {
		case result.err != nil:
			return fmt.Sprintf("%s interrupted a request: %v", result.instance, result.err)
		case result.answer.Outcome == api.OutcomeDone && !ran:
			return fmt.Sprintf("%s answered done for %s, but it did not run", result.instance, result.answer.ID)
		case result.answer.Outcome == api.OutcomeNotRun && ran:
			return fmt.Sprintf("%s answered not_run for %s, but it ran", result.instance, result.answer.ID)
		case result.answer.Outcome == api.OutcomeUnknown:
			return fmt.Sprintf("%s answered unknown for %s: %s", result.instance, result.answer.ID, result.answer.Message)
		}
	}
	return ""
}

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

// stopCase is what is played around a planned stop.
type stopCase struct {
	// holder stops the instance that holds the placer lease; otherwise the one
	// that stops is chosen by the seed.
	holder bool
	// instances is how many stop at the same moment, one at least.
	instances int
	// signals is how often each of them is told to.
	signals   int
	storeDown bool
	cut       bool
	// pinned holds seeds that once showed a fault.
	pinned []uint64
}

var stopCases = map[string]stopCase{
	"an instance stops under load":                         {instances: 1, signals: 1},
	"the holder of the placer lease stops":                 {holder: true, instances: 1, signals: 1},
	"it is told to stop three times at once":               {holder: true, instances: 1, signals: 3},
	"two instances stop at the same moment":                {instances: 2, signals: 1},
	"two stop at once, each told twice":                    {holder: true, instances: 2, signals: 2},
	"the store is down":                                    {holder: true, instances: 1, signals: 1, storeDown: true},
	"its peers are cut off":                                {instances: 1, signals: 1, cut: true, pinned: []uint64{1012}},
	"store down, peers cut off, two stop, each told twice": {holder: true, instances: 2, signals: 2, storeDown: true, cut: true},
}

// stopFault is a planted fault.
type stopFault int

const (
	stopsWell stopFault = iota
	// noLinger closes the listener before the balancer has noticed.
	noLinger
	// noDrain ends the process with requests in flight.
	noDrain
	// noHandOver leaves the placer lease to lapse.
	noHandOver
)

// handOverBound is the time in which another instance places after a stop
// began: a second in which peers that are cut off are told in vain, a third of a
// lease until the next try, and the calls. A lease that is not released lapses
// two thirds of its length, 2.67 s, after the stop at the earliest.
const handOverBound = 2500 * time.Millisecond

func TestPlannedStopCutsNoRequest(t *testing.T) {
	for name, played := range stopCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, played.pinned, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					assert.Equal(t, playStop(t.Context(), played, seed, stopsWell), "", "seed %d", seed)
				})
			})
		})
	}
}

// TestStopCheckCatchesPlantedFaults shows that the check above can fail.
func TestStopCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		fault stopFault
		shown string
	}{
		"the listener closes before the balancer noticed": {noLinger, "cut a request off"},
		"the process ends with requests in flight":        {noDrain, "cut a request off"},
		"the placer lease is left to lapse":               {noHandOver, "not handed over in time"},
	}
	for name, planted := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				found := playStop(t.Context(), stopCase{holder: true, instances: 1, signals: 1}, 0, planted.fault)
				assert.Assert(t, strings.Contains(found, planted.shown), "found %q", found)
			})
		})
	}
}

// playStop plays one history and returns what is wrong with it, or nothing:
// three instances serve a steady load when one or two of them stop.
func playStop(ctx context.Context, played stopCase, seed uint64, fault stopFault) string {
	random := rand.New(rand.NewPCG(seed, 17))
	w := newWorld(4)
	store := fake.New()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := []string{"e1", "e2", "e3"}
	b := &balancer{up: make(map[string]bool)}
	for _, id := range all {
		b.instances = append(b.instances, w.startInstance(ctx, id, all, store, random.Uint64(), fault))
	}
	time.Sleep(10 * time.Second)
	var load sync.WaitGroup
	for _, instance := range b.instances {
		load.Go(func() { b.watch(ctx, instance) })
	}
	for range 4 {
		source := rand.New(rand.NewPCG(random.Uint64(), 19))
		load.Go(func() { b.send(ctx, source) })
	}
	time.Sleep(2*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
	problem := b.stopSome(w, store, played, random)
	time.Sleep(5 * time.Second)
	cancel()
	load.Wait()
	for _, instance := range b.instances {
		_ = instance.stop()
	}
	if problem != "" {
		return problem
	}
	return b.judge(w)
}

// stopSome stops instances and returns what is wrong with their ends.
func (b *balancer) stopSome(w *world, store *fake.Platform, played stopCase, random *rand.Rand) string {
	stopping := b.pick(played, random)
	if played.storeDown {
		store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	}
	if played.cut {
		for _, other := range b.instances {
			w.setCut(stopping[0].id, other.id, true)
			w.setCut(other.id, stopping[0].id, true)
		}
	}
	held := stopping[0].placer.Epoch()
	problems := make(chan string, len(stopping)*played.signals+1)
	var stops sync.WaitGroup
	for _, instance := range stopping {
		for range played.signals {
			stops.Go(func() {
				if err := instance.stop(); err != nil {
					problems <- fmt.Sprintf("%s: %v", instance.id, err)
				}
			})
		}
	}
	if held > 0 && !played.storeDown {
		stops.Go(func() {
			if !b.takenOver(stopping, held) {
				problems <- "the placer lease was not handed over in time"
			}
		})
	}
	stops.Wait()
	close(problems)
	return <-problems
}

// pick returns the instances to stop, the holder of the lease first if wanted.
func (b *balancer) pick(played stopCase, random *rand.Rand) []*stopInstance {
	picked := make([]*stopInstance, 0, len(b.instances))
	for _, at := range random.Perm(len(b.instances)) {
		instance := b.instances[at]
		if played.holder && instance.placer.Epoch() > 0 {
			picked = append([]*stopInstance{instance}, picked...)
			continue
		}
		picked = append(picked, instance)
	}
	return picked[:played.instances]
}

// takenOver waits until an instance that stays places under a higher epoch.
func (b *balancer) takenOver(stopping []*stopInstance, held int64) bool {
	gone := make(map[*stopInstance]bool)
	for _, instance := range stopping {
		gone[instance] = true
	}
	for deadline := time.Now().Add(handOverBound); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, instance := range b.instances {
			if !gone[instance] && instance.placer.Epoch() > held {
				return true
			}
		}
	}
	return false
}

// judge looks at every answer: a whole one came, and it is true.
func (b *balancer) judge(w *world) string {
	if len(b.results) == 0 {
		return "no request was sent"
	}
	for _, result := range b.results {
		ran := w.ran[result.answer.ID]
		switch {
		case result.err != nil:
			return fmt.Sprintf("%s cut a request off: %v", result.instance, result.err)
		case result.answer.Outcome == api.OutcomeDone && !ran:
			return fmt.Sprintf("%s answered done for %s, which did not run", result.instance, result.answer.ID)
		case result.answer.Outcome == api.OutcomeNotRun && ran:
			return fmt.Sprintf("%s answered not run for %s, which ran", result.instance, result.answer.ID)
		case result.answer.Outcome == api.OutcomeUnknown:
			return fmt.Sprintf("%s does not know about %s: %s", result.instance, result.answer.ID, result.answer.Message)
		}
	}
	return ""
}

package invariants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// leavingBound and leavingBoundPartitioned are the guaranteed bounds on the time
// for which a leaving server still gets new work: two seconds in general, and
// five seconds if the instances of a zone are partitioned from each other,
// because another instance starts to probe a server only three seconds after the
// server's prober was cut off.
const (
	leavingBound            = 2 * time.Second
	leavingBoundPartitioned = 5 * time.Second
	// returnBound is the time after the end of the faults within which a server
	// that returned gets work again.
	returnBound = 20 * time.Second
)

// leavingCase is a set of faults that occur while servers leave.
type leavingCase struct {
	listLag         time.Duration
	listDown        bool
	partition       bool
	oneWayPartition bool
	returns         bool
	// leaveCount is the number of times that each chosen server leaves.
	leaveCount int
	bound      time.Duration
	// pinnedSeeds are seeds that once showed a violation.
	pinnedSeeds []uint64
}

var leavingCases = map[string]leavingCase{
	"the list lags":                                      {listLag: 10 * time.Second, leaveCount: 1, bound: leavingBound},
	"the list cannot be read":                            {listDown: true, leaveCount: 1, bound: leavingBound},
	"the instances are cut off from each other":          {partition: true, leaveCount: 1, bound: leavingBoundPartitioned},
	"messages pass one way only":                         {oneWayPartition: true, leaveCount: 1, bound: leavingBoundPartitioned},
	"the server returns under a new incarnation":         {returns: true, leaveCount: 1, bound: leavingBound},
	"the server leaves and returns twice, the list lags": {listLag: 10 * time.Second, returns: true, leaveCount: 2, bound: leavingBound},
	"the list is unavailable, instances are cut off":     {listDown: true, partition: true, leaveCount: 1, bound: leavingBoundPartitioned, pinnedSeeds: []uint64{5050}},
	"everything at once, servers return twice":           {listLag: 10 * time.Second, partition: true, oneWayPartition: true, returns: true, leaveCount: 2, bound: leavingBoundPartitioned},
	"no list, messages one way, servers return twice":    {listDown: true, oneWayPartition: true, returns: true, leaveCount: 2, bound: leavingBoundPartitioned},
}

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	for name, test := range leavingCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, test.pinnedSeeds, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					w := simulateLeaving(t.Context(), test, seed, noFault)
					assert.Equal(t, w.lateDispatches(test.bound), "", "seed %d", seed)
					if test.returns && !test.listDown {
						assert.Equal(t, w.returnedWithoutWork(), "", "seed %d", seed)
					}
				})
			})
		})
	}
}

// leavingFault makes an instance ignore a signal that the guarantee depends on.
type leavingFault int

const (
	noFault leavingFault = iota
	// listOnly uses the instance list alone.
	listOnly
	// listOverrides makes a leaving server ready again if the list has it as
	// live, and probes no server.
	listOverrides
	// noPeerReports does not report leaving servers to other instances, and
	// probes no server.
	noPeerReports
)

// TestLeavingCheckCatchesPlantedFaults verifies that the check above detects
// planted faults.
func TestLeavingCheckCatchesPlantedFaults(t *testing.T) {
	test := leavingCase{listLag: 10 * time.Second, leaveCount: 1, bound: leavingBound}
	faults := map[string]leavingFault{
		"only the list is used":                     listOnly,
		"the list brings a leaving server back":     listOverrides,
		"leaving servers are not reported to peers": noPeerReports,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := 0
			for seed := range uint64(fleetDefaultSeeds) {
				synctest.Test(t, func(t *testing.T) {
					if simulateLeaving(t.Context(), test, seed, fault).lateDispatches(test.bound) != "" {
						caught++
					}
				})
			}
			assert.Assert(t, caught > 0, "no seed of %d shows the fault", fleetDefaultSeeds)
		})
	}
}

// lateDispatches describes the first new work that reached a leaving server
// more than bound after it started to leave.
func (w *fleetWorld) lateDispatches(bound time.Duration) string {
	for _, d := range w.dispatches {
		if d.leaving && d.sinceLeaving > bound {
			return fmt.Sprintf("%s (incarnation %d) got work %v after it started to leave", d.server, d.incarnation, d.sinceLeaving)
		}
	}
	return ""
}

// returnedWithoutWork describes a server that returned and got no work again.
func (w *fleetWorld) returnedWithoutWork() string {
	newest := make(map[string]int64)
	for _, d := range w.dispatches {
		newest[d.server] = max(newest[d.server], d.incarnation)
	}
	for id, s := range w.servers {
		if newest[id] < s.incarnation {
			return fmt.Sprintf("%s returned as incarnation %d and got no work", id, s.incarnation)
		}
	}
	return ""
}

// simulateLeaving runs one history: three instances send work to four backend
// servers in bursts with idle times in between, while two servers leave.
func simulateLeaving(ctx context.Context, test leavingCase, seed uint64, fault leavingFault) *fleetWorld {
	random := rand.New(rand.NewPCG(seed, 5))
	w := newFleetWorld(4)
	instances := []string{"e1", "e2", "e3"}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	for _, id := range instances {
		fleet := w.startFaultyFleet(ctx, &loops, id, instances, fault)
		loadRandom := rand.New(rand.NewPCG(random.Uint64(), 7))
		executor := w.newExecutor(ctx, &loops, id, fleet, loadRandom.Uint64(), fault)
		loops.Go(func() {
			sendBursts(ctx, executor, loadRandom)
			_ = executor.Drain(context.Background())
		})
	}
	time.Sleep(15 * time.Second)
	w.setListFaults(test.listLag, test.listDown)
	for _, id := range []string{"b1", "b2", "b3", "b4"}[random.IntN(3):][:2] {
		leaveRandom := rand.New(rand.NewPCG(random.Uint64(), 11))
		loops.Go(func() { w.leaveAndReturn(ctx, id, test, leaveRandom) })
	}
	if test.partition || test.oneWayPartition {
		loops.Go(func() { w.partitionInstance(test, instances, random) })
	}
	time.Sleep(40 * time.Second)
	w.setListFaults(0, test.listDown)
	time.Sleep(returnBound)
	cancel()
	loops.Wait()
	return w
}

// startFaultyFleet starts the membership of an instance without the parts that
// the fault disables.
func (w *fleetWorld) startFaultyFleet(ctx context.Context, loops *sync.WaitGroup, id string, all []string, fault leavingFault) *membership.Fleet {
	var options membership.Options
	if fault == noFault {
		options.Prober = w
	}
	if fault == noFault || fault == listOverrides {
		options.Caller = peerCaller{w, id}
	}
	return w.startFleet(ctx, loops, id, all, options)
}

// leaveAndReturn makes a server leave, exit some seconds later, and return
// under a new incarnation, leaveCount times. The seed determines whether the
// servers do so at the same time.
func (w *fleetWorld) leaveAndReturn(ctx context.Context, id string, test leavingCase, random *rand.Rand) {
	for range test.leaveCount {
		sleep(ctx, time.Duration(random.IntN(5000))*time.Millisecond)
		w.leave(id)
		sleep(ctx, 8*time.Second+time.Duration(random.IntN(4000))*time.Millisecond)
		w.exit(id)
		if !test.returns {
			return
		}
		sleep(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		w.restart(id)
	}
}

// partitionInstance partitions one instance from the others for ten seconds: in
// both directions if test.partition is set, otherwise only for its own messages.
func (w *fleetWorld) partitionInstance(test leavingCase, instances []string, random *rand.Rand) {
	isolated := instances[random.IntN(len(instances))]
	time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	for _, partitioned := range []bool{true, false} {
		for _, other := range instances {
			w.setPartitioned(isolated, other, partitioned)
			w.setPartitioned(other, isolated, partitioned && test.partition)
		}
		time.Sleep(10 * time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sendBursts alternates between sending requests and pausing, for some seconds
// each, until ctx ends.
func sendBursts(ctx context.Context, executor *request.Executor, random *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		for range random.IntN(60) {
			submission := api.RequestSubmission{Account: "a", Kind: "check", Idempotent: random.IntN(2) == 0}
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				executor.Execute(callCtx, request.NewID(), submission)
			})
			sleep(ctx, time.Duration(1+random.IntN(60))*time.Millisecond)
		}
		sleep(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
	}
}

// fixedConfig is a configuration that admits everything.
type fixedConfig struct{}

// Current implements config.Source.
func (fixedConfig) Current() *config.Snapshot {
	list := []rules.Rule{{Name: "all", Then: rules.Then{}}}
	document := &config.Document{Accounts: []model.ClientAccount{{Name: "a"}}, Rules: list}
	return &config.Snapshot{Version: 1, Document: document, Rules: rules.NewSet(list)}
}

// fleetView is the part of the membership that the dispatcher and the executor
// use.
type fleetView interface {
	request.Fleet
	membership.View
}

// newExecutor returns the real executor of an instance with its dispatcher, on
// top of the fakes.
func (w *fleetWorld) newExecutor(ctx context.Context, loops *sync.WaitGroup, id string, fleet *membership.Fleet, seed uint64, fault leavingFault) *request.Executor {
	observe, view := fleet.ObserveBackend, fleetView(fleet)
	switch fault {
	case listOnly:
		observe = func(string, int64, bool) {}
	case listOverrides:
		view = listTrustingView{fleet, w}
	}
	recorder := decision.NewRecorder(zap.NewNop(), id, 16)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: testZone, Instance: id, Incarnation: 1, Fleet: view, Caller: peerCaller{w, id}, Config: fixedConfig{},
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: seed,
	})
	w.mu.Lock()
	w.dispatchers[id] = dispatcher
	w.mu.Unlock()
	loops.Go(func() { dispatcher.Run(ctx) })
	return &request.Executor{
		Zone: testZone, Instance: id, Config: fixedConfig{}, Fleet: view, Dispatcher: dispatcher, Caller: peerCaller{w, id},
		Backend:               backendClient{fleetWorld: w, random: rand.New(rand.NewPCG(seed, 3)), observe: observe, mu: new(sync.Mutex)},
		Recorder:              recorder,
		MaxConcurrentAttempts: 1000, PlatformReachable: func() bool { return true },
	}
}

// listTrustingView is a planted fault: a server that the list has as live
// counts as ready, regardless of newer reports.
type listTrustingView struct {
	fleetView
	w *fleetWorld
}

// BackendServers implements membership.View.
func (l listTrustingView) BackendServers(zone string) []model.BackendServer {
	servers := l.fleetView.BackendServers(zone)
	list, err := l.w.List(context.Background())
	if err != nil {
		return servers
	}
	live := make(map[string]bool)
	for _, listed := range list.Instances {
		live[listed.ID+"/"+strconv.FormatInt(listed.Incarnation, 10)] = !listed.Leaving
	}
	for i, s := range servers {
		if live[s.ID+"/"+strconv.FormatInt(s.Incarnation, 10)] {
			servers[i].State = model.BackendReady
		}
	}
	return servers
}

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

// The bounds of the promise: everywhere within two seconds, and within five
// where the instances of a zone are cut off from each other, because a server
// whose prober was cut off is asked by another one after three seconds.
const (
	leavingBound    = 2 * time.Second
	leavingBoundCut = 5 * time.Second
	// comeBackBound is the time after the end of the faults by which a server
	// that returned takes work again.
	comeBackBound = 20 * time.Second
)

// leavingCase is what is played around servers that leave.
type leavingCase struct {
	lag       time.Duration
	listDown  bool
	cut       bool
	oneWayCut bool
	comesBack bool
	// times is how often each chosen server leaves.
	times int
	bound time.Duration
	// pinned holds seeds that once showed a fault.
	pinned []uint64
}

var leavingCases = map[string]leavingCase{
	"the list lags":                                     {lag: 10 * time.Second, times: 1, bound: leavingBound},
	"the list cannot be read":                           {listDown: true, times: 1, bound: leavingBound},
	"the instances are cut off from each other":         {cut: true, times: 1, bound: leavingBoundCut},
	"messages pass one way only":                        {oneWayCut: true, times: 1, bound: leavingBoundCut},
	"it returns under a new incarnation":                {comesBack: true, times: 1, bound: leavingBound},
	"it leaves and returns twice while the list lags":   {lag: 10 * time.Second, comesBack: true, times: 2, bound: leavingBound},
	"the list is lost while instances are cut off":      {listDown: true, cut: true, times: 1, bound: leavingBoundCut, pinned: []uint64{5050}},
	"everything together and twice":                     {lag: 10 * time.Second, cut: true, oneWayCut: true, comesBack: true, times: 2, bound: leavingBoundCut},
	"the list is lost, messages one way, returns twice": {listDown: true, oneWayCut: true, comesBack: true, times: 2, bound: leavingBoundCut},
}

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	for name, played := range leavingCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, played.pinned, func(t *testing.T, seed uint64) {
				synctest.Test(t, func(t *testing.T) {
					w := playLeaving(t.Context(), played, seed, noFault)
					assert.Equal(t, w.lateDispatches(played.bound), "", "seed %d", seed)
					if played.comesBack && !played.listDown {
						assert.Equal(t, w.withoutWork(), "", "seed %d", seed)
					}
				})
			})
		})
	}
}

// leavingFault makes an instance forget a signal that the promise needs.
type leavingFault int

const (
	noFault leavingFault = iota
	// listOnly goes by the instance list alone.
	listOnly
	// listWins lets the list bring a leaving server back.
	listWins
	// noPeers keeps a sign of leaving to the instance that saw it, and asks no
	// server.
	noPeers
)

// TestLeavingCheckCatchesPlantedFaults shows that the check above can fail.
func TestLeavingCheckCatchesPlantedFaults(t *testing.T) {
	played := leavingCase{lag: 10 * time.Second, times: 1, bound: leavingBound}
	faults := map[string]leavingFault{
		"only the list is heard":                listOnly,
		"the list brings a leaving server back": listWins,
		"signs of leaving are not passed on":    noPeers,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := 0
			for seed := range uint64(fleetDefaultSeeds) {
				synctest.Test(t, func(t *testing.T) {
					if playLeaving(t.Context(), played, seed, fault).lateDispatches(played.bound) != "" {
						caught++
					}
				})
			}
			assert.Assert(t, caught > 0, "no seed of %d shows the fault", fleetDefaultSeeds)
		})
	}
}

// lateDispatches describes the first new work that reached a leaving server
// later than bound after it started to leave.
func (w *world) lateDispatches(bound time.Duration) string {
	for _, d := range w.dispatches {
		if d.leaving && d.after > bound {
			return fmt.Sprintf("%s (incarnation %d) got work %v after it started to leave", d.server, d.incarnation, d.after)
		}
	}
	return ""
}

// withoutWork names a server that returned and got no work again.
func (w *world) withoutWork() string {
	got := make(map[string]int64)
	for _, d := range w.dispatches {
		got[d.server] = max(got[d.server], d.incarnation)
	}
	for id, s := range w.servers {
		if got[id] < s.incarnation {
			return fmt.Sprintf("%s returned as incarnation %d and got no work", id, s.incarnation)
		}
	}
	return ""
}

// playLeaving plays one history: three instances send work to four backend
// servers in bursts with idle times between, while two servers leave.
func playLeaving(ctx context.Context, played leavingCase, seed uint64, fault leavingFault) *world {
	random := rand.New(rand.NewPCG(seed, 5))
	w := newWorld(4)
	instances := []string{"e1", "e2", "e3"}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	for _, id := range instances {
		fleet := w.startFaultyFleet(ctx, &duties, id, instances, fault)
		load := rand.New(rand.NewPCG(random.Uint64(), 7))
		executor := w.newExecutor(ctx, &duties, id, fleet, load.Uint64(), fault)
		duties.Go(func() {
			sendBursts(ctx, executor, load)
			_ = executor.Drain(context.Background())
		})
	}
	time.Sleep(15 * time.Second)
	w.setList(played.lag, played.listDown)
	for _, id := range []string{"b1", "b2", "b3", "b4"}[random.IntN(3):][:2] {
		leaver := rand.New(rand.NewPCG(random.Uint64(), 11))
		duties.Go(func() { w.leaveAndReturn(ctx, id, played, leaver) })
	}
	if played.cut || played.oneWayCut {
		duties.Go(func() { w.cutNow(played, instances, random) })
	}
	time.Sleep(40 * time.Second)
	w.setList(0, played.listDown)
	time.Sleep(comeBackBound)
	cancel()
	duties.Wait()
	return w
}

// startFaultyFleet starts an instance that lacks what the fault takes away.
func (w *world) startFaultyFleet(ctx context.Context, duties *sync.WaitGroup, id string, all []string, fault leavingFault) *membership.Fleet {
	var options membership.Options
	if fault == noFault {
		options.Prober = w
	}
	if fault == noFault || fault == listWins {
		options.Caller = wire{w, id}
	}
	return w.startFleet(ctx, duties, id, all, options)
}

// leaveAndReturn makes a server leave, end some seconds later, and return under
// a new incarnation, as often as the case says. Times fall together or apart by
// the seed.
func (w *world) leaveAndReturn(ctx context.Context, id string, played leavingCase, random *rand.Rand) {
	for range played.times {
		sleep(ctx, time.Duration(random.IntN(5000))*time.Millisecond)
		w.leave(id)
		sleep(ctx, 8*time.Second+time.Duration(random.IntN(4000))*time.Millisecond)
		w.end(id)
		if !played.comesBack {
			return
		}
		sleep(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		w.comeBack(id)
	}
}

// cutNow cuts one instance off from the others for ten seconds.
func (w *world) cutNow(played leavingCase, instances []string, random *rand.Rand) {
	victim := instances[random.IntN(len(instances))]
	time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	for _, cut := range []bool{true, false} {
		for _, other := range instances {
			w.setCut(victim, other, cut)
			w.setCut(other, victim, cut && played.cut)
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

// sendBursts sends requests for some seconds, then nothing for some seconds.
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

// fixedConfig is a configuration that lets everything in.
type fixedConfig struct{}

// Current implements config.Source.
func (fixedConfig) Current() *config.Snapshot {
	list := []rules.Rule{{Name: "all", Then: rules.Then{}}}
	document := &config.Document{Accounts: []model.ClientAccount{{Name: "a"}}, Rules: list}
	return &config.Snapshot{Version: 1, Document: document, Rules: rules.NewSet(list)}
}

// view is what the dispatcher asks of the membership.
type view interface {
	request.Fleet
	membership.View
}

// newExecutor returns the real executor of an instance, with its dispatcher,
// over the fakes.
func (w *world) newExecutor(ctx context.Context, duties *sync.WaitGroup, id string, fleet *membership.Fleet, seed uint64, fault leavingFault) *request.Executor {
	observe, seen := fleet.ObserveBackend, view(fleet)
	switch fault {
	case listOnly:
		observe = func(string, int64, bool) {}
	case listWins:
		seen = listedAgain{fleet, w}
	}
	recorder := decision.NewRecorder(zap.NewNop(), id, 16)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: zoneOne, Instance: id, Incarnation: 1, Fleet: seen, Caller: wire{w, id}, Config: fixedConfig{},
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: seed,
	})
	w.mu.Lock()
	w.dispatchers[id] = dispatcher
	w.mu.Unlock()
	duties.Go(func() { dispatcher.Run(ctx) })
	return &request.Executor{
		Zone: zoneOne, Instance: id, Config: fixedConfig{}, Fleet: seen, Dispatcher: dispatcher, Caller: wire{w, id},
		Backend:     backendClient{world: w, random: rand.New(rand.NewPCG(seed, 3)), observe: observe, mu: new(sync.Mutex)},
		Recorder:    recorder,
		MaxAttempts: 1000, PlatformReachable: func() bool { return true },
	}
}

// listedAgain is a planted fault: what the list still names as live counts as
// ready whatever else was heard.
type listedAgain struct {
	view
	w *world
}

// BackendServers implements membership.View.
func (l listedAgain) BackendServers(zone string) []model.BackendServer {
	servers := l.view.BackendServers(zone)
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

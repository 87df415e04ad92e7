package invariants

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// requestCase is one row of the fault table for requests.
type requestCase struct {
	// storeFaults and backendFaults are shares of calls that meet a fault.
	storeFaults, backendFaults float64
	kills                      int
	freezes                    int
	// cuts cuts one instance off from the platform, outages all of them.
	cuts, outages int
	// spills takes the backend servers of two zones away, so that their
	// requests go to the other zones; peerFaults is the share of these calls
	// that meet a fault.
	spills     bool
	peerFaults float64
	planted    stateFault
}

var requestCases = map[string]requestCase{
	"the same key at several instances":             {},
	"answers of the store are lost":                 {storeFaults: 0.3},
	"answers of backend servers are lost":           {backendFaults: 0.4},
	"an instance is killed":                         {kills: 1},
	"instances are killed again and again":          {kills: 8},
	"an instance freezes between claim and send":    {freezes: 2},
	"instances freeze past every lease":             {freezes: 8},
	"an instance is cut off from the platform":      {cuts: 1},
	"instances are cut off twice":                   {cuts: 6},
	"the platform is down":                          {outages: 1},
	"the platform is down twice":                    {outages: 2},
	"killed while the platform is down":             {kills: 4, outages: 1},
	"frozen while answers are lost":                 {freezes: 4, storeFaults: 0.3, backendFaults: 0.3},
	"everything at once":                            {storeFaults: 0.2, backendFaults: 0.2, kills: 2, freezes: 2, cuts: 2, outages: 1},
	"everything at once, and twice":                 {storeFaults: 0.3, backendFaults: 0.3, kills: 5, freezes: 5, cuts: 4, outages: 2},
	"lost on both sides and killed again and again": {storeFaults: 0.4, backendFaults: 0.4, kills: 6},
	"zones without backend servers":                 {spills: true},
	"answers of other zones are lost":               {spills: true, peerFaults: 0.5},
	"other zones, killed, frozen and losing":        {spills: true, peerFaults: 0.3, storeFaults: 0.2, backendFaults: 0.2, kills: 4, freezes: 4},
}

// Lengths of one history.
const (
	requestInstances = 4
	requestKeys      = 25
	requestArrivals  = 4 // at most, for each key
	requestWarmUp    = 10 * time.Second
	requestFaultTime = 30 * time.Second
	requestQuietTime = 90 * time.Second
)

// requestWorld is one history of callers, instances and backend servers.
type requestWorld struct {
	test    requestCase
	service *fake.Platform
	ctx     context.Context
	duties  sync.WaitGroup
	callers sync.WaitGroup

	mu       sync.Mutex // guards what follows
	random   *rand.Rand
	network  *rand.Rand
	nodes    []*requestNode
	arrivals []arrival
	// runs counts the runs by request id and by key.
	runs, runsOfKey map[string]int
	nonce           int
	// spilled counts the requests that another zone answered.
	spilled int
}

// requestNode is one process of an entry instance.
type requestNode struct {
	stateNode
	world    *requestWorld
	zone     string
	executor *request.Executor
	stack    *platform.Stack
	stop     context.CancelFunc
}

// arrival is one submission with what its caller was told.
type arrival struct {
	id, key    string
	idempotent bool
	keyed      bool
	answer     api.RequestAnswer
}

func playRequests(t *testing.T, test requestCase, seed uint64) (w *requestWorld) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w = &requestWorld{
			test: test, service: fake.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, 40)), network: rand.New(rand.NewPCG(seed, 41)),
			runs: make(map[string]int), runsOfKey: make(map[string]int),
		}
		for i := range requestInstances {
			node := w.startNode(t, i)
			w.mu.Lock()
			w.nodes = append(w.nodes, node)
			w.mu.Unlock()
		}
		time.Sleep(requestWarmUp)
		faults := rand.New(rand.NewPCG(seed, 42))
		w.service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		w.playFaults(t)
		w.submitAll()
		time.Sleep(requestFaultTime)
		w.service.SetFault(nil)
		w.callers.Wait()
		time.Sleep(requestQuietTime)
		cancel()
		for _, node := range w.nodes {
			node.stack.Close()
		}
		w.duties.Wait()
		time.Sleep(requestQuietTime)
	})
	return w
}

// startNode starts a process in a zone of its own with one backend server, so
// that every instance can serve every key.
func (w *requestWorld) startNode(t *testing.T, i int) *requestNode {
	node := &requestNode{world: w, zone: fmt.Sprintf("z%d", i)}
	link := &nodeLink{Platform: w.service, node: &node.stateNode, fault: w.test.planted, last: make(map[api.Ref]api.Row)}
	node.stack = platform.NewStack(link)
	claims := claim.New(node.stack)
	recorder := decision.NewRecorder(zap.NewNop(), node.zone, 10)
	source := snapshotOf(t, `{"client_accounts": [{"name": "acme"}], "rules": [{"name": "all", "when": {}, "then": {}}]}`)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: node.zone, Instance: node.zone, Incarnation: 1, Fleet: node, Caller: node, Config: source,
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: uint64(i),
	})
	node.executor = &request.Executor{
		Zone: node.zone, Instance: node.zone, Config: source, Fleet: node, Claims: claims, Backend: node,
		Recorder: recorder, Dispatcher: dispatcher, Caller: node, PlatformReachable: node.stack.Reachable, MaxAttempts: 1000,
	}
	ctx, cancel := context.WithCancel(w.ctx)
	node.stop = cancel
	w.duties.Go(func() { dispatcher.Run(ctx) })
	w.duties.Go(func() { claims.Run(ctx) })
	return node
}

type fixedSource struct{ snapshot *config.Snapshot }

func (f fixedSource) Current() *config.Snapshot { return f.snapshot }

func snapshotOf(t *testing.T, text string) config.Source {
	t.Helper()
	document, err := config.Parse("f", []byte(text))
	assert.NilError(t, err)
	return fixedSource{&config.Snapshot{Version: 1, Document: document, Rules: rules.NewSet(document.Rules)}}
}

// Instances implements membership.View: an instance is alone in its zone.
func (n *requestNode) Instances() []model.Instance { return nil }

// BackendServers implements membership.View.
func (n *requestNode) BackendServers(zone string) []model.BackendServer {
	server := model.BackendServer{ID: "b-" + zone, Addr: "127.0.0.1:1", Zone: zone, Incarnation: 1, Slots: 8, State: model.BackendReady}
	if n.world.test.spills && (zone == "z0" || zone == "z1") {
		server.State = model.BackendLeaving
	}
	return []model.BackendServer{server}
}

// Workers implements membership.View.
func (n *requestNode) Workers(string) []model.Worker { return nil }

// ZoneMembers implements request.Fleet.
func (n *requestNode) ZoneMembers(string) []string { return []string{n.zone} }

// PeerStates implements request.Fleet.
func (n *requestNode) PeerStates() map[string]membership.HeardState {
	states := make(map[string]membership.HeardState)
	for i := range requestInstances {
		if zone := fmt.Sprintf("z%d", i); zone != n.zone {
			load := int64(100)
			if n.BackendServers(zone)[0].State != model.BackendReady {
				load = 5000
			}
			state := &peerpb.State{Instance: zone, AvailabilityZone: zone, Incarnation: 1, LoadPermille: load}
			states[zone] = membership.HeardState{State: state, HeardAt: time.Now(), Fresh: true}
		}
	}
	return states
}

// Call implements peer.Caller for requests that another zone is to run.
func (n *requestNode) Call(ctx context.Context, instance string, call *peerpb.Request) (*peerpb.Response, error) {
	execute := call.GetExecute()
	if execute == nil || !n.pass() {
		return nil, api.NewError(api.KindNotReady, "no peer")
	}
	lostBefore, lostAfter := n.world.drawPeer()
	lost := api.NewError(api.KindResultUnknown, "the response was lost")
	if lostBefore {
		return nil, lost
	}
	answer := n.world.forwarded(ctx, instance, execute)
	switch {
	case answer == nil || lostAfter || !n.pass() || ctx.Err() != nil:
		return nil, lost
	default:
		return &peerpb.Response{Body: &peerpb.Response_Execute{Execute: &peerpb.ExecuteReply{Answer: answer}}}, nil
	}
}

func (w *requestWorld) drawPeer() (lostBefore, lostAfter bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.network.Float64() >= w.test.peerFaults {
		return false, false
	}
	before := w.network.IntN(2) == 0
	return before, !before
}

// forwarded runs a request at the instance; nil means that it died meanwhile.
func (w *requestWorld) forwarded(ctx context.Context, instance string, call *peerpb.ExecuteCall) []byte {
	w.mu.Lock()
	var peer *requestNode
	for _, node := range w.nodes {
		if node.zone == instance {
			peer = node
		}
	}
	w.mu.Unlock()
	if !peer.pass() {
		return nil
	}
	var submission api.RequestSubmission
	if err := json.Unmarshal(call.GetSubmission(), &submission); err != nil {
		panic(err)
	}
	body, err := json.Marshal(peer.executor.ExecuteForwarded(ctx, call.GetId(), submission))
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.spilled++
	w.mu.Unlock()
	if !peer.pass() {
		return nil
	}
	return body
}

// backendFault is what happens to one call of a backend server.
type backendFault int

const (
	backendSound backendFault = iota
	// backendRefuses: no byte arrives.
	backendRefuses
	// backendDeclines: the server says that it did not run it.
	backendDeclines
	// backendLosesCall: the call is lost on its way, or arrives much later.
	backendLosesCall
	// backendLosesAnswer: it runs, and the answer is lost.
	backendLosesAnswer
	// backendFails: it runs, and the server reports a failure.
	backendFails
	backendFaultCount
)

func (w *requestWorld) drawBackend() (fault backendFault, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault = backendSound
	took = time.Duration(5+w.network.IntN(200)) * time.Millisecond
	if w.network.IntN(20) == 0 {
		took = time.Duration(w.network.IntN(15)) * time.Second
	}
	if w.network.Float64() < w.test.backendFaults {
		fault = backendFault(1 + w.network.IntN(int(backendFaultCount)-1))
	}
	return fault, took
}

// Execute implements request.Backend with the errors that it promises.
func (n *requestNode) Execute(ctx context.Context, _ model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	fault, took := n.world.drawBackend()
	lost := api.NewError(api.KindResultUnknown, "the answer was lost")
	if !n.pass() {
		return api.ExecuteAnswer{}, lost
	}
	switch fault {
	case backendRefuses:
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	case backendDeclines:
		return api.ExecuteAnswer{}, api.NewError(api.KindNoBackendServer, "no slot is free")
	case backendLosesCall:
		time.AfterFunc(took*10, func() { n.world.run(call) })
		return api.ExecuteAnswer{}, lost
	}
	answer := n.world.run(call)
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendTimeout, "no answer in time")
	}
	switch {
	case fault == backendLosesAnswer && n.world.test.planted == lieNotRun:
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	case fault == backendLosesAnswer || !n.pass():
		return api.ExecuteAnswer{}, lost
	case fault == backendFails:
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendFailed, "it failed")
	}
	return answer, nil
}

// run is the effect that must not happen twice. Each run has another payload.
func (w *requestWorld) run(call api.Execute) api.ExecuteAnswer {
	var key string
	if err := json.Unmarshal(call.Payload, &key); err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nonce++
	w.runs[call.ID]++
	w.runsOfKey[key]++
	return api.ExecuteAnswer{ID: call.ID, Payload: json.RawMessage(fmt.Sprintf(`{"key":%q,"run":%d}`, key, w.nonce))}
}

// submitAll plays the callers: for each key a few arrivals, each at a random
// instance at a random time. A third of the requests have no key, and some of
// those are idempotent.
func (w *requestWorld) submitAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range requestKeys {
		key := fmt.Sprintf("k%d", k)
		arrivals, keyed := 1+w.random.IntN(requestArrivals), w.random.IntN(3) > 0
		first := time.Duration(w.random.IntN(int(requestFaultTime)))
		for n := range arrivals {
			a := arrival{id: fmt.Sprintf("%s-%d", key, n), key: key, keyed: keyed, idempotent: !keyed && w.random.IntN(2) == 0}
			at := first + time.Duration(n*w.random.IntN(3000))*time.Millisecond
			node := w.random.IntN(requestInstances)
			within := time.Duration(500+w.random.IntN(10000)) * time.Millisecond
			w.callers.Go(func() {
				time.Sleep(at)
				w.submit(node, a, within)
			})
		}
	}
}

func (w *requestWorld) submit(i int, a arrival, within time.Duration) {
	w.mu.Lock()
	node := w.nodes[i]
	w.mu.Unlock()
	if !node.pass() {
		return
	}
	payload, err := json.Marshal(a.key)
	if err != nil {
		panic(err)
	}
	submission := api.RequestSubmission{Account: "acme", Kind: "quote", Idempotent: a.idempotent, DeadlineMS: within.Milliseconds(), Payload: payload}
	if a.keyed {
		submission.IdempotencyKey = a.key
	}
	ctx, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	a.answer = node.executor.Execute(ctx, a.id, submission)
	if !node.pass() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *requestWorld) playFaults(t *testing.T) {
	at := func(n int, play func(i int)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range n {
			i := w.random.IntN(requestInstances)
			time.AfterFunc(time.Duration(w.random.IntN(int(requestFaultTime))), func() { play(i) })
		}
	}
	node := func(i int) *requestNode {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.nodes[i]
	}
	at(w.test.kills, func(i int) {
		old := node(i)
		old.kill()
		old.stop()
		go old.stack.Close()
		fresh := w.startNode(t, i)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.nodes[i] = fresh
	})
	at(w.test.freezes, func(i int) { node(i).freeze(12 * time.Second) })
	at(w.test.cuts, func(i int) { node(i).cutOff(8 * time.Second) })
	at(w.test.outages, func(int) {
		for i := range requestInstances {
			node(i).cutOff(8 * time.Second)
		}
	})
}

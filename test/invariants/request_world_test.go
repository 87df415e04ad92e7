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

// requestCase is a set of faults for the test of requests.
type requestCase struct {
	// storeFaults and backendFaults are the shares of calls that fail.
	storeFaults, backendFaults float64
	kills                      int
	// freezes is the number of times that an instance freezes, at a random moment:
	// for instance between the claim and the sending of a request.
	freezes int
	// partitions is the number of times that one instance is cut off from the
	// platform, outages the number of times that all of them are.
	partitions, outages int
	// spills makes the backend servers of two zones unavailable, so that their
	// requests go to the other zones; peerFaults is the share of these calls
	// that fail.
	spills     bool
	peerFaults float64
	planted    protocolFault
}

var requestCases = map[string]requestCase{
	"the same key at several instances":            {},
	"answers of the store are lost":                {storeFaults: 0.3},
	"answers of backend servers are lost":          {backendFaults: 0.4},
	"an instance is killed":                        {kills: 1},
	"instances are killed repeatedly":              {kills: 8},
	"instances freeze twice":                       {freezes: 2},
	"instances freeze past every lease":            {freezes: 8},
	"an instance is cut off from the platform":     {partitions: 1},
	"instances are cut off repeatedly":             {partitions: 6},
	"the platform is down":                         {outages: 1},
	"the platform is down twice":                   {outages: 2},
	"killed while the platform is down":            {kills: 4, outages: 1},
	"frozen while answers are lost":                {freezes: 4, storeFaults: 0.3, backendFaults: 0.3},
	"everything at once":                           {storeFaults: 0.2, backendFaults: 0.2, kills: 2, freezes: 2, partitions: 2, outages: 1},
	"everything at once, at higher rates":          {storeFaults: 0.3, backendFaults: 0.3, kills: 5, freezes: 5, partitions: 4, outages: 2},
	"store and server answers lost, many kills":    {storeFaults: 0.4, backendFaults: 0.4, kills: 6},
	"zones without backend servers":                {spills: true},
	"answers of other zones are lost":              {spills: true, peerFaults: 0.5},
	"other zones, kills, freezes and lost answers": {spills: true, peerFaults: 0.3, storeFaults: 0.2, backendFaults: 0.2, kills: 4, freezes: 4},
}

// The size of a history and the lengths of its phases.
const (
	requestInstances     = 4
	requestKeys          = 25
	maxRequestsPerKey    = 4
	requestWarmUp        = 10 * time.Second
	requestFaultTime     = 30 * time.Second
	requestFaultFreeTime = 90 * time.Second
)

// requestWorld is the simulated state of one history: callers, instances and
// backend servers.
type requestWorld struct {
	test    requestCase
	service *fake.Platform
	ctx     context.Context
	loops   sync.WaitGroup
	callers sync.WaitGroup

	mu            sync.Mutex // guards the fields below
	random        *rand.Rand
	networkRandom *rand.Rand
	nodes         []*requestNode
	requests      []callerRequest
	// runs and runsOfKey count the runs by request id and by key.
	runs, runsOfKey map[string]int
	nonce           int
	// spilled is the number of requests that another zone processed.
	spilled int
}

// requestNode is one process of an entry instance.
type requestNode struct {
	faultyNode
	world    *requestWorld
	zone     string
	executor *request.Executor
	stack    *platform.Stack
	stop     context.CancelFunc
}

// callerRequest is one submission with the answer that its caller got.
type callerRequest struct {
	id, key    string
	idempotent bool
	keyed      bool
	answer     api.RequestAnswer
}

func simulateRequests(t *testing.T, test requestCase, seed uint64) (w *requestWorld) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w = &requestWorld{
			test: test, service: fake.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, 40)), networkRandom: rand.New(rand.NewPCG(seed, 41)),
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
		w.scheduleFaults(t)
		w.submitAll()
		time.Sleep(requestFaultTime)
		w.service.SetFault(nil)
		w.callers.Wait()
		time.Sleep(requestFaultFreeTime)
		cancel()
		for _, node := range w.nodes {
			node.stack.Close()
		}
		w.loops.Wait()
		time.Sleep(requestFaultFreeTime)
	})
	return w
}

// startNode starts a process in a zone of its own with one backend server, so
// that every instance can serve every key.
func (w *requestWorld) startNode(t *testing.T, i int) *requestNode {
	node := &requestNode{world: w, zone: fmt.Sprintf("z%d", i)}
	link := &platformLink{Platform: w.service, node: &node.faultyNode, fault: w.test.planted, lastRead: make(map[api.Ref]api.Row)}
	node.stack = platform.NewStack(link)
	claims := claim.New(node.stack)
	recorder := decision.NewRecorder(zap.NewNop(), node.zone, 10)
	source := newFixedSource(t, `{"client_accounts": [{"name": "acme"}], "rules": [{"name": "all", "when": {}, "then": {}}]}`)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: node.zone, Instance: node.zone, Incarnation: 1, Fleet: node, Caller: node, Config: source,
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: uint64(i),
	})
	node.executor = &request.Executor{
		Zone: node.zone, Instance: node.zone, Config: source, Fleet: node, Claims: claims, Backend: node,
		Recorder: recorder, Dispatcher: dispatcher, Caller: node, PlatformReachable: node.stack.Reachable, MaxConcurrentAttempts: 1000,
	}
	ctx, cancel := context.WithCancel(w.ctx)
	node.stop = cancel
	w.loops.Go(func() { dispatcher.Run(ctx) })
	w.loops.Go(func() { claims.Run(ctx) })
	return node
}

type fixedSource struct{ snapshot *config.Snapshot }

func (f fixedSource) Current() *config.Snapshot { return f.snapshot }

func newFixedSource(t *testing.T, text string) config.Source {
	t.Helper()
	document, err := config.Parse("f", []byte(text))
	assert.NilError(t, err)
	return fixedSource{&config.Snapshot{Version: 1, Document: document, Rules: rules.NewSet(document.Rules)}}
}

// Instances implements membership.View: an instance has no other instances in
// its zone.
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
func (n *requestNode) PeerStates() map[string]membership.ReceivedState {
	states := make(map[string]membership.ReceivedState)
	for i := range requestInstances {
		if zone := fmt.Sprintf("z%d", i); zone != n.zone {
			load := int64(100)
			if n.BackendServers(zone)[0].State != model.BackendReady {
				load = 5000
			}
			state := &peerpb.State{Instance: zone, AvailabilityZone: zone, Incarnation: 1, LoadPermille: load}
			states[zone] = membership.ReceivedState{State: state, ReceivedAt: time.Now(), Fresh: true}
		}
	}
	return states
}

// Call implements peer.Caller for requests forwarded to another zone.
func (n *requestNode) Call(ctx context.Context, instance string, call *peerpb.Request) (*peerpb.Response, error) {
	execute := call.GetExecute()
	if execute == nil || !n.awaitAlive() {
		return nil, api.NewError(api.KindNotReady, "no peer")
	}
	loseRequest, loseAnswer := n.world.drawPeerFault()
	errLost := api.NewError(api.KindResultUnknown, "the response was lost")
	if loseRequest {
		return nil, errLost
	}
	answer := n.world.executeForwarded(ctx, instance, execute)
	switch {
	case answer == nil || loseAnswer || !n.awaitAlive() || ctx.Err() != nil:
		return nil, errLost
	default:
		return &peerpb.Response{Body: &peerpb.Response_Execute{Execute: &peerpb.ExecuteReply{Answer: answer}}}, nil
	}
}

func (w *requestWorld) drawPeerFault() (loseRequest, loseAnswer bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.networkRandom.Float64() >= w.test.peerFaults {
		return false, false
	}
	before := w.networkRandom.IntN(2) == 0
	return before, !before
}

// executeForwarded runs a request at the instance. It returns nil if the
// instance has died.
func (w *requestWorld) executeForwarded(ctx context.Context, instance string, call *peerpb.ExecuteCall) []byte {
	w.mu.Lock()
	var peer *requestNode
	for _, node := range w.nodes {
		if node.zone == instance {
			peer = node
		}
	}
	w.mu.Unlock()
	if !peer.awaitAlive() {
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
	if !peer.awaitAlive() {
		return nil
	}
	return body
}

// backendFault is the fault injected into one call to a backend server.
type backendFault int

const (
	backendNoFault backendFault = iota
	// backendRefusesConnection: the call does not reach the server.
	backendRefusesConnection
	// backendDeclines: the server answers that it did not run the request.
	backendDeclines
	// backendLosesCall: the caller gets no answer, and the call arrives much
	// later.
	backendLosesCall
	// backendLosesAnswer: the request runs, and the answer is lost.
	backendLosesAnswer
	// backendFails: the request runs, and the server reports a failure.
	backendFails
	backendFaultCount
)

func (w *requestWorld) drawBackendFault() (fault backendFault, duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault = backendNoFault
	duration = time.Duration(5+w.networkRandom.IntN(200)) * time.Millisecond
	if w.networkRandom.IntN(20) == 0 {
		duration = time.Duration(w.networkRandom.IntN(15)) * time.Second
	}
	if w.networkRandom.Float64() < w.test.backendFaults {
		fault = backendFault(1 + w.networkRandom.IntN(int(backendFaultCount)-1))
	}
	return fault, duration
}

// Execute implements request.Backend and returns the errors that the interface
// specifies.
func (n *requestNode) Execute(ctx context.Context, _ model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	fault, duration := n.world.drawBackendFault()
	errLost := api.NewError(api.KindResultUnknown, "the answer was lost")
	if !n.awaitAlive() {
		return api.ExecuteAnswer{}, errLost
	}
	switch fault {
	case backendRefusesConnection:
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	case backendDeclines:
		return api.ExecuteAnswer{}, api.NewError(api.KindNoBackendServer, "no slot is free")
	case backendLosesCall:
		time.AfterFunc(duration*10, func() { n.world.run(call) })
		return api.ExecuteAnswer{}, errLost
	}
	answer := n.world.run(call)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendTimeout, "no answer in time")
	}
	switch {
	case fault == backendLosesAnswer && n.world.test.planted == misreportNotRun:
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	case fault == backendLosesAnswer || !n.awaitAlive():
		return api.ExecuteAnswer{}, errLost
	case fault == backendFails:
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendFailed, "it failed")
	}
	return answer, nil
}

// run is the effect that must not happen twice. Each run has a different
// payload.
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

// submitAll starts the callers: for each key a few submissions, each at a
// random instance and a random time. A third of the keys are not sent as
// idempotency keys, and some of these requests are idempotent.
func (w *requestWorld) submitAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range requestKeys {
		key := fmt.Sprintf("k%d", k)
		count, keyed := 1+w.random.IntN(maxRequestsPerKey), w.random.IntN(3) > 0
		first := time.Duration(w.random.IntN(int(requestFaultTime)))
		for n := range count {
			r := callerRequest{id: fmt.Sprintf("%s-%d", key, n), key: key, keyed: keyed, idempotent: !keyed && w.random.IntN(2) == 0}
			delay := first + time.Duration(n*w.random.IntN(3000))*time.Millisecond
			node := w.random.IntN(requestInstances)
			timeout := time.Duration(500+w.random.IntN(10000)) * time.Millisecond
			w.callers.Go(func() {
				time.Sleep(delay)
				w.submit(node, r, timeout)
			})
		}
	}
}

func (w *requestWorld) submit(i int, r callerRequest, timeout time.Duration) {
	w.mu.Lock()
	node := w.nodes[i]
	w.mu.Unlock()
	if !node.awaitAlive() {
		return
	}
	payload, err := json.Marshal(r.key)
	if err != nil {
		panic(err)
	}
	submission := api.RequestSubmission{Account: "acme", Kind: "quote", Idempotent: r.idempotent, DeadlineMS: timeout.Milliseconds(), Payload: payload}
	if r.keyed {
		submission.IdempotencyKey = r.key
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	r.answer = node.executor.Execute(ctx, r.id, submission)
	if !node.awaitAlive() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
}

func (w *requestWorld) scheduleFaults(t *testing.T) {
	schedule := func(n int, inject func(i int)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range n {
			i := w.random.IntN(requestInstances)
			time.AfterFunc(time.Duration(w.random.IntN(int(requestFaultTime))), func() { inject(i) })
		}
	}
	currentNode := func(i int) *requestNode {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.nodes[i]
	}
	schedule(w.test.kills, func(i int) {
		old := currentNode(i)
		old.kill()
		old.stop()
		go old.stack.Close()
		replacement := w.startNode(t, i)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.nodes[i] = replacement
	})
	schedule(w.test.freezes, func(i int) { currentNode(i).freeze(12 * time.Second) })
	schedule(w.test.partitions, func(i int) { currentNode(i).cutOff(8 * time.Second) })
	schedule(w.test.outages, func(int) {
		for i := range requestInstances {
			currentNode(i).cutOff(8 * time.Second)
		}
	})
}

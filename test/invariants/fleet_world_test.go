package invariants

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/settings"
)

const (
	testZone = "z1"
	// messageDelay is the delay of a message between instances.
	messageDelay = 1400 * time.Microsecond
	// kindLong is the kind of work that takes longFactor times as long.
	kindLong   = "long"
	longFactor = 60
	// fleetDefaultSeeds is small to keep CI short.
	fleetDefaultSeeds = 3
)

// forEachSeed runs one history for each seed, and for the pinned ones. If a
// seed fails, it prints the command that runs this seed alone.
func forEachSeed(t *testing.T, pinnedSeeds []uint64, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	for _, seed := range slices.AppendSeq(slices.Clone(pinnedSeeds), soakSeeds(fleetDefaultSeeds)) {
		simulate(t, seed)
		if t.Failed() {
			t.Fatalf("run it alone: SOAK_FIRST=%d SOAK_SEEDS=1 go test -count=1 -run '%s' ./test/invariants/", seed, t.Name())
		}
	}
}

// server is the actual state of a backend server.
type server struct {
	id          string
	incarnation int64
	leaving     bool
	// leavingSince is the time at which the current incarnation started to
	// leave.
	leavingSince time.Time
	// gone reports whether the process has ended.
	gone bool
}

// dispatch is one request that reached a backend server.
type dispatch struct {
	at          time.Time
	server      string
	incarnation int64
	leaving     bool
	// sinceLeaving is the time since the server started to leave, if it is
	// leaving.
	sinceLeaving time.Duration
}

// listVersion is the content of the instance list from a given time on.
type listVersion struct {
	at   time.Time
	list []api.ListedInstance
}

// fleetWorld is the actual state of one history, and the faults between its
// parts. The fakes of the platform, the peers and the backend servers all use it.
type fleetWorld struct {
	mu         sync.Mutex
	servers    map[string]*server
	dispatches []dispatch
	// received holds the ids of the requests that reached a backend server.
	received map[string]bool
	lists    []listVersion
	// listLag is the age of the published list; with listDown it cannot be
	// read.
	listLag     time.Duration
	listDown    bool
	fleets      map[string]*membership.Fleet
	dispatchers map[string]*request.Dispatcher
	// partitioned holds the directions between two instances in which no
	// message passes.
	partitioned map[[2]string]bool
}

func newFleetWorld(servers int) *fleetWorld {
	w := &fleetWorld{
		servers: make(map[string]*server), fleets: make(map[string]*membership.Fleet),
		dispatchers: make(map[string]*request.Dispatcher), received: make(map[string]bool), partitioned: make(map[[2]string]bool),
	}
	for i := range servers {
		id := "b" + strconv.Itoa(i+1)
		w.servers[id] = &server{id: id, incarnation: 1}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish()
	return w
}

// publish adds the current state of the servers as a new version of the list.
// The caller holds mu.
func (w *fleetWorld) publish() {
	var list []api.ListedInstance
	for _, s := range w.servers {
		if !s.gone {
			list = append(list, api.ListedInstance{
				ID: s.id, Role: api.RoleBackendServer, Addr: s.id, AvailabilityZone: testZone, Incarnation: s.incarnation, Leaving: s.leaving,
			})
		}
	}
	w.lists = append(w.lists, listVersion{time.Now(), list})
}

// List implements platform.InstanceLister. It returns the list as of listLag
// ago.
func (w *fleetWorld) List(context.Context) (api.InstanceList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return api.InstanceList{}, api.NewError(api.KindStoreUnavailable, "planted")
	}
	asOf := time.Now().Add(-w.listLag)
	latest := w.lists[0]
	for _, version := range w.lists {
		if !version.at.After(asOf) {
			latest = version
		}
	}
	return api.InstanceList{Instances: latest.list, AsOf: asOf}, nil
}

// Health implements membership.Prober.
func (w *fleetWorld) Health(_ context.Context, target model.BackendServer) (api.BackendHealth, error) {
	time.Sleep(messageDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[target.ID]
	if s.gone {
		return api.BackendHealth{}, api.NewError(api.KindNotReady, "connection refused")
	}
	return api.BackendHealth{ID: s.id, Incarnation: s.incarnation, Leaving: s.leaving}, nil
}

// leave marks a server as leaving.
func (w *fleetWorld) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s.leaving {
		return
	}
	s.leaving = true
	s.leavingSince = time.Now()
	w.publish()
}

// exit ends the process of a server.
func (w *fleetWorld) exit(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id].gone = true
	w.publish()
}

// restart starts a server under a new incarnation.
func (w *fleetWorld) restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id] = &server{id: id, incarnation: w.servers[id].incarnation + 1}
	w.publish()
}

func (w *fleetWorld) setListFaults(lag time.Duration, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listLag, w.listDown = lag, down
}

// setPartitioned starts or ends the partition in one direction between two
// instances.
func (w *fleetWorld) setPartitioned(from, to string, partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[[2]string{from, to}] = partitioned
}

func (w *fleetWorld) isPartitioned(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitioned[[2]string{from, to}]
}

// peerCaller is the peer interface of one instance.
type peerCaller struct {
	*fleetWorld
	from string
}

// Call implements peer.Caller. If a partition drops a message, the call waits
// until its context ends; if it drops only the answer, the request has arrived.
func (w peerCaller) Call(ctx context.Context, to string, message *peerpb.Request) (*peerpb.Response, error) {
	time.Sleep(messageDelay)
	if w.isPartitioned(w.from, to) {
		<-ctx.Done()
		return nil, api.NewError(api.KindNotReady, "no connection")
	}
	response, err := w.handlePeerRequest(to, message)
	time.Sleep(messageDelay)
	if w.isPartitioned(to, w.from) {
		<-ctx.Done()
		return nil, api.NewError(api.KindResultUnknown, "answer lost")
	}
	return response, err
}

// handlePeerRequest handles a call at the called instance.
func (w peerCaller) handlePeerRequest(to string, message *peerpb.Request) (*peerpb.Response, error) {
	w.mu.Lock()
	fleet, dispatcher := w.fleets[to], w.dispatchers[to]
	w.mu.Unlock()
	if dispatcher == nil {
		return nil, api.NewError(api.KindNotReady, "not started")
	}
	if slots := message.GetSlots(); slots != nil {
		if grants := dispatcher.AnswerSlotDemand(w.from, slots); grants != nil {
			return &peerpb.Response{Body: &peerpb.Response_Slots{Slots: grants}}, nil
		}
		return nil, api.NewError(api.KindStopping, "stopped")
	}
	return &peerpb.Response{Body: &peerpb.Response_State{State: fleet.HandleState(message.GetState())}}, nil
}

// backendClient is the backend server interface of one instance.
type backendClient struct {
	*fleetWorld
	random *rand.Rand
	// observe receives the state that a server reports with its answer.
	observe func(id string, incarnation int64, leaving bool)
	mu      *sync.Mutex // guards random
}

// Execute implements request.Backend. The server records the request as new
// work, runs it, and reports with its answer whether it is leaving.
func (c backendClient) Execute(ctx context.Context, target model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	time.Sleep(messageDelay)
	if !c.recordDispatch(target.ID, call.ID) {
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	}
	c.mu.Lock()
	duration := time.Duration(1+c.random.IntN(80)) * time.Millisecond
	if call.Kind == kindLong {
		duration *= longFactor
	}
	c.mu.Unlock()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendTimeout, "no answer in time")
	}
	c.fleetWorld.mu.Lock()
	leaving := c.servers[target.ID].leaving
	c.fleetWorld.mu.Unlock()
	c.observe(target.ID, target.Incarnation, leaving)
	return api.ExecuteAnswer{ID: call.ID}, nil
}

// recordDispatch records new work at a server; it returns false if the server's
// process has ended.
func (w *fleetWorld) recordDispatch(id, requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s.gone {
		return false
	}
	d := dispatch{at: time.Now(), server: id, incarnation: s.incarnation, leaving: s.leaving}
	if s.leaving {
		d.sinceLeaving = time.Since(s.leavingSince)
	}
	w.dispatches = append(w.dispatches, d)
	w.received[requestID] = true
	return true
}

// startFleet starts the membership of one instance of the zone.
func (w *fleetWorld) startFleet(ctx context.Context, loops *sync.WaitGroup, id string, all []string, options membership.Options) *membership.Fleet {
	options.Self = model.Instance{ID: id, Zone: testZone, PeerAddr: id, Incarnation: 1}
	for _, other := range all {
		if other != id {
			options.Seeds = append(options.Seeds, settings.Peer{Instance: other, AvailabilityZone: testZone, PeerAddr: other})
		}
	}
	options.Lister = w
	options.PeerInterval = 500 * time.Millisecond
	options.ListInterval = time.Second
	fleet := membership.New(options)
	w.mu.Lock()
	w.fleets[id] = fleet
	w.mu.Unlock()
	loops.Go(func() { fleet.Run(ctx) })
	return fleet
}

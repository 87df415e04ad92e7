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
	zoneOne = "z1"
	// oneWay is the time of a message between instances.
	oneWay = 1400 * time.Microsecond
	// kindLong is the kind of work that takes longFactor times as long.
	kindLong   = "long"
	longFactor = 60
	// fleetDefaultSeeds keeps CI short.
	fleetDefaultSeeds = 3
)

// forEachSeed runs one history for each seed, and for the pinned ones. A seed
// that fails names the command that plays it alone.
func forEachSeed(t *testing.T, pinned []uint64, history func(t *testing.T, seed uint64)) {
	t.Helper()
	for _, seed := range slices.AppendSeq(slices.Clone(pinned), soakSeeds(fleetDefaultSeeds)) {
		history(t, seed)
		if t.Failed() {
			t.Fatalf("to play it alone: SOAK_FIRST=%d SOAK_SEEDS=1 go test -count=1 -run '%s' ./test/invariants/", seed, t.Name())
		}
	}
}

// server is a backend server as it really is.
type server struct {
	id          string
	incarnation int64
	leaving     bool
	// leftAt is when the present incarnation started to leave.
	leftAt time.Time
	// gone says that the process has ended.
	gone bool
}

// dispatch is one piece of work that reached a backend server.
type dispatch struct {
	at          time.Time
	server      string
	incarnation int64
	leaving     bool
	// after is the time since the server started to leave.
	after time.Duration
}

// listVersion is the instance list from a time on.
type listVersion struct {
	at   time.Time
	list []api.ListedInstance
}

// world is the truth of one history and the faults between its parts. The
// fakes of every interface are views of it.
type world struct {
	mu         sync.Mutex
	servers    map[string]*server
	dispatches []dispatch
	// ran holds the ids of the requests that reached a backend server.
	ran   map[string]bool
	lists []listVersion
	// lag is how old the published list is; listDown says that it cannot be read.
	lag      time.Duration
	listDown bool
	fleets   map[string]*membership.Fleet
	// dispatchers are those of the instances.
	dispatchers map[string]*request.Dispatcher
	// cut holds the directions in which no message passes between instances.
	cut map[[2]string]bool
}

func newWorld(servers int) *world {
	w := &world{
		servers: make(map[string]*server), fleets: make(map[string]*membership.Fleet),
		dispatchers: make(map[string]*request.Dispatcher), ran: make(map[string]bool), cut: make(map[[2]string]bool),
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

// publish appends the present truth to the list. The caller holds mu.
func (w *world) publish() {
	var list []api.ListedInstance
	for _, s := range w.servers {
		if !s.gone {
			list = append(list, api.ListedInstance{
				ID: s.id, Role: api.RoleBackendServer, Addr: s.id, AvailabilityZone: zoneOne, Incarnation: s.incarnation, Leaving: s.leaving,
			})
		}
	}
	w.lists = append(w.lists, listVersion{time.Now(), list})
}

// List implements platform.InstanceLister, with its lag.
func (w *world) List(context.Context) (api.InstanceList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return api.InstanceList{}, api.NewError(api.KindStoreUnavailable, "planted")
	}
	asOf := time.Now().Add(-w.lag)
	latest := w.lists[0]
	for _, version := range w.lists {
		if !version.at.After(asOf) {
			latest = version
		}
	}
	return api.InstanceList{Instances: latest.list, AsOf: asOf}, nil
}

// Health implements membership.Prober.
func (w *world) Health(_ context.Context, target model.BackendServer) (api.BackendHealth, error) {
	time.Sleep(oneWay)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[target.ID]
	if s.gone {
		return api.BackendHealth{}, api.NewError(api.KindNotReady, "connection refused")
	}
	return api.BackendHealth{ID: s.id, Incarnation: s.incarnation, Leaving: s.leaving}, nil
}

// leave makes a server start to leave.
func (w *world) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s.leaving {
		return
	}
	s.leaving = true
	s.leftAt = time.Now()
	w.publish()
}

// end ends the process of a server.
func (w *world) end(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id].gone = true
	w.publish()
}

// comeBack starts a server again under a new incarnation.
func (w *world) comeBack(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id] = &server{id: id, incarnation: w.servers[id].incarnation + 1}
	w.publish()
}

func (w *world) setList(lag time.Duration, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lag, w.listDown = lag, down
}

// setCut cuts or heals one direction between two instances.
func (w *world) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{from, to}]
}

// wire is the peer interface of one instance.
type wire struct {
	*world
	from string
}

// Call implements peer.Caller. A message that a cut swallows is waited for in
// vain; the request may have arrived when only the answer was swallowed.
func (w wire) Call(ctx context.Context, to string, message *peerpb.Request) (*peerpb.Response, error) {
	time.Sleep(oneWay)
	if w.isCut(w.from, to) {
		<-ctx.Done()
		return nil, api.NewError(api.KindNotReady, "no connection")
	}
	response, err := w.handle(to, message)
	time.Sleep(oneWay)
	if w.isCut(to, w.from) {
		<-ctx.Done()
		return nil, api.NewError(api.KindResultUnknown, "answer lost")
	}
	return response, err
}

// handle is the peer handler of an instance.
func (w wire) handle(to string, message *peerpb.Request) (*peerpb.Response, error) {
	w.mu.Lock()
	fleet, dispatcher := w.fleets[to], w.dispatchers[to]
	w.mu.Unlock()
	if dispatcher == nil {
		return nil, api.NewError(api.KindNotReady, "not started")
	}
	if slots := message.GetSlots(); slots != nil {
		if grants := dispatcher.HandleSlots(w.from, slots); grants != nil {
			return &peerpb.Response{Body: &peerpb.Response_Slots{Slots: grants}}, nil
		}
		return nil, api.NewError(api.KindStopping, "stopped")
	}
	return &peerpb.Response{Body: &peerpb.Response_State{State: fleet.HandleState(message.GetState())}}, nil
}

// backendClient is the backend server interface of one instance.
type backendClient struct {
	*world
	random  *rand.Rand
	observe func(id string, incarnation int64, leaving bool)
	mu      *sync.Mutex
}

// Execute implements request.Backend. The server notes the arrival as new work,
// runs it, and says with its answer whether it leaves.
func (c backendClient) Execute(ctx context.Context, target model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	time.Sleep(oneWay)
	if !c.arrive(target.ID, call.ID) {
		return api.ExecuteAnswer{}, api.NewError(api.KindNotReady, "connection refused")
	}
	c.mu.Lock()
	takes := time.Duration(1+c.random.IntN(80)) * time.Millisecond
	if call.Kind == kindLong {
		takes *= longFactor
	}
	c.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		return api.ExecuteAnswer{}, api.NewError(api.KindBackendTimeout, "no answer in time")
	}
	c.world.mu.Lock()
	leaving := c.servers[target.ID].leaving
	c.world.mu.Unlock()
	c.observe(target.ID, target.Incarnation, leaving)
	return api.ExecuteAnswer{ID: call.ID}, nil
}

// arrive notes new work at a server; false if nothing listens there.
func (w *world) arrive(id, requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s.gone {
		return false
	}
	d := dispatch{at: time.Now(), server: id, incarnation: s.incarnation, leaving: s.leaving}
	if s.leaving {
		d.after = time.Since(s.leftAt)
	}
	w.dispatches = append(w.dispatches, d)
	w.ran[requestID] = true
	return true
}

// startFleet starts the membership of one instance of the zone.
func (w *world) startFleet(ctx context.Context, duties *sync.WaitGroup, id string, all []string, options membership.Options) *membership.Fleet {
	options.Self = model.Instance{ID: id, Zone: zoneOne, PeerAddr: id, Incarnation: 1}
	for _, other := range all {
		if other != id {
			options.Seeds = append(options.Seeds, settings.Peer{Instance: other, AvailabilityZone: zoneOne, PeerAddr: other})
		}
	}
	options.Lister = w
	options.PeerInterval = 500 * time.Millisecond
	options.ListInterval = time.Second
	fleet := membership.New(options)
	w.mu.Lock()
	w.fleets[id] = fleet
	w.mu.Unlock()
	duties.Go(func() { fleet.Run(ctx) })
	return fleet
}

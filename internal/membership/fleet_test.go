package membership_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// network connects the fleets of a test in one process.
type network struct {
	mu     sync.Mutex
	fleets map[string]*membership.Fleet
	// down contains the instances that do not respond.
	down map[string]bool
	list api.InstanceList
	// listDown makes reads of the list fail; reads contains the time of each
	// read.
	listDown bool
	reads    []time.Time
}

// List implements platform.InstanceLister.
func (n *network) List(context.Context) (api.InstanceList, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reads = append(n.reads, time.Now())
	if n.listDown {
		return api.InstanceList{}, api.NewError(api.KindStoreUnavailable, "planted")
	}
	list := n.list
	list.AsOf = time.Now()
	return list, nil
}

// Call implements peer.Caller.
func (n *network) Call(ctx context.Context, to string, request *peerpb.Request) (*peerpb.Response, error) {
	n.mu.Lock()
	fleet, down := n.fleets[to], n.down[to] || n.down[request.GetState().GetInstance()]
	n.mu.Unlock()
	if fleet == nil || down {
		<-ctx.Done()
		return nil, api.NewError(api.KindNotReady, "no connection")
	}
	time.Sleep(3 * time.Millisecond)
	return &peerpb.Response{Body: &peerpb.Response_State{State: fleet.HandleState(request.GetState())}}, nil
}

func (n *network) setDown(id string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[id] = down
}

// start starts count instances, three per zone. It returns their fleets in
// order and a function that stops them.
func (n *network) start(t *testing.T, count int, local func(i int) membership.Local) ([]*membership.Fleet, func()) {
	n.fleets, n.down = make(map[string]*membership.Fleet), make(map[string]bool)
	ctx, cancel := context.WithCancel(t.Context())
	var seeds []settings.Peer
	for i := range count {
		seeds = append(seeds, settings.Peer{Instance: fmt.Sprintf("e%d", i), AvailabilityZone: fmt.Sprintf("z%d", i/3), PeerAddr: "-"})
	}
	var fleets []*membership.Fleet
	var wg sync.WaitGroup
	for i, seed := range seeds {
		fleet := membership.New(membership.Options{
			Self:  model.Instance{ID: seed.Instance, Zone: seed.AvailabilityZone, Incarnation: 1},
			Seeds: seeds, Lister: n, Caller: n, PeerInterval: 500 * time.Millisecond, ListInterval: time.Second,
			Local: func() membership.Local { return local(i) },
		})
		n.mu.Lock()
		n.fleets[seed.Instance] = fleet
		n.mu.Unlock()
		fleets = append(fleets, fleet)
		wg.Go(func() { fleet.Run(ctx) })
	}
	return fleets, func() {
		cancel()
		wg.Wait()
	}
}

func zeroLocal(int) membership.Local { return membership.Local{} }

func TestUrgentChangesReachAllPeersAtOnce(t *testing.T) {
	const serverID = "b1"
	cases := map[string]struct {
		// causeChange causes the change on the first fleet. Its raiseVersion
		// raises the configuration version there.
		causeChange func(first *membership.Fleet, raiseVersion func())
		// received reports whether a fleet has received the change.
		received func(fleet *membership.Fleet) bool
	}{
		"a backend server leaves": {
			func(first *membership.Fleet, _ func()) { first.ObserveBackend(serverID, 1, true) },
			func(fleet *membership.Fleet) bool {
				servers := fleet.BackendServers("z0")
				return len(servers) == 1 && servers[0].State == model.BackendLeaving
			},
		},
		"an instance leaves": {
			func(first *membership.Fleet, _ func()) { first.SetLeaving() },
			func(fleet *membership.Fleet) bool {
				return fleet.PeerStates()["e0"].State.GetLeaving()
			},
		},
		"a configuration is in force": {
			func(_ *membership.Fleet, raiseVersion func()) { raiseVersion() },
			func(fleet *membership.Fleet) bool { return fleet.PeerStates()["e0"].State.GetConfigVersion() == 2 },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				version := int64(1)
				n := &network{list: api.InstanceList{Instances: []api.ListedInstance{
					{ID: serverID, Role: api.RoleBackendServer, AvailabilityZone: "z0", Incarnation: 1},
				}}}
				fleets, end := n.start(t, 30, func(i int) membership.Local {
					mu.Lock()
					defer mu.Unlock()
					if i > 0 {
						return membership.Local{ConfigVersion: 1}
					}
					return membership.Local{ConfigVersion: version}
				})
				defer end()
				time.Sleep(30 * time.Second)
				test.causeChange(fleets[0], func() {
					mu.Lock()
					defer mu.Unlock()
					version = 2
				})
				time.Sleep(time.Second)
				for i, fleet := range fleets[1:] {
					assert.Assert(t, test.received(fleet), "instance %d has not received the change", i+1)
				}
			})
		})
	}
}

func TestUnresponsiveInstanceIsNotLiveUntilItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		fleets, end := n.start(t, 6, zeroLocal)
		defer end()
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(fleets[0].Instances()), 5)
		own, other, _ := fleets[0].Reach()
		assert.Equal(t, own, 2)
		assert.Equal(t, other, 3)
		n.setDown("e1", true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(fleets[0].Instances()), 4)
		n.setDown("e1", false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(fleets[0].Instances()), 5)
	})
}

// TestListReadsStayFewWhenInstancesReturnTogether checks that eight instances
// that start at the same time, while the platform is unavailable for a minute,
// read the list rarely.
func TestListReadsStayFewWhenInstancesReturnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{listDown: true}
		_, end := n.start(t, 8, zeroLocal)
		time.Sleep(time.Minute)
		end()
		perSecond := make(map[int64]int)
		for _, at := range n.reads {
			perSecond[at.Unix()]++
		}
		for second, reads := range perSecond {
			assert.Assert(t, reads <= 8, "%d reads in second %d", reads, second)
		}
		assert.Assert(t, len(n.reads) < 8*25, "%d reads in a minute", len(n.reads))
	})
}

package deployment

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// fleetOf returns the instances of some zones, the larger ones first.
func fleetOf(zones, large, small int) map[string][]peerSize {
	fleet := make(map[string][]peerSize)
	for z := range zones {
		zone := fmt.Sprintf("zone-%d", z)
		for n := range large + small {
			size := peerSize{addr: fmt.Sprintf("%s/%02d", zone, n), cores: 0.8}
			if n >= large {
				size.cores = 0.2
			}
			fleet[zone] = append(fleet[zone], size)
		}
	}
	return fleet
}

// withoutInstance returns the fleet without one of its instances.
func withoutInstance(fleet map[string][]peerSize, addr string) map[string][]peerSize {
	others := make(map[string][]peerSize)
	for zone, members := range fleet {
		others[zone] = slices.DeleteFunc(slices.Clone(members), func(m peerSize) bool { return m.addr == addr })
	}
	return others
}

func TestWhoIsAHub(t *testing.T) {
	fleet := fleetOf(1, 3, 4)["zone-0"]
	none := func(string) bool { return false }
	for name, c := range map[string]struct {
		self         int
		unresponsive func(string) bool
		want         bool
	}{
		"the largest instance":                                   {0, none, true},
		"the last of the large instances":                        {2, none, true},
		"the first of the small instances":                       {3, none, false},
		"the first of the small instances, a large one is lost":  {3, func(addr string) bool { return addr == fleet[1].addr }, true},
		"the second of the small instances, a large one is lost": {4, func(addr string) bool { return addr == fleet[1].addr }, false},
		"the last instance, all others are lost":                 {6, func(string) bool { return true }, true},
		"a lost instance of lower rank changes nothing":          {3, func(addr string) bool { return addr == fleet[5].addr }, false},
	} {
		t.Run(name, func(t *testing.T) {
			self := fleet[c.self]
			others := withoutInstance(map[string][]peerSize{"zone-0": fleet}, self.addr)["zone-0"]
			assert.Equal(t, isHub(self, others, c.unresponsive), c.want)
		})
	}
}

func TestHellosGrowWithTheNumberOfInstancesAndNotWithItsSquare(t *testing.T) {
	none := func(string) bool { return false }
	perInstance := func(small int) float64 {
		fleet := fleetOf(5, hubsPerZone, small)
		contacts, instances := 0, 0
		for zone, members := range fleet {
			for _, self := range members {
				others := withoutInstance(fleet, self.addr)
				contacts += len(contactsOf(isHub(self, others[zone], none), zone, others, none))
				instances++
			}
		}
		return float64(contacts) / float64(instances)
	}
	few, many := perInstance(4), perInstance(27)
	assert.Assert(t, many <= few, "%.1f contacts with 35 instances, %.1f with 150", few, many)
	assert.Assert(t, many < 5, "%.1f contacts", many)
}

func TestInASmallDeploymentEveryInstanceContactsEveryOther(t *testing.T) {
	none := func(string) bool { return false }
	fleet := fleetOf(3, 0, 3)
	for zone, members := range fleet {
		for _, self := range members {
			others := withoutInstance(fleet, self.addr)
			assert.Assert(t, isHub(self, others[zone], none))
			assert.Equal(t, len(contactsOf(true, zone, others, none)), 8)
		}
	}
}

func TestALeafGoesOverToAnotherHubWhenOneIsSilent(t *testing.T) {
	fleet := fleetOf(2, 3, 3)
	self := fleet["zone-0"][5]
	unresponsive := func(addr string) bool { return addr == fleet["zone-0"][0].addr }
	got := contactsOf(false, "zone-0", withoutInstance(fleet, self.addr), unresponsive)
	assert.DeepEqual(t, got, []string{"zone-0/01", "zone-0/02", "zone-0/03"})
}

func TestAPeerIsUnresponsiveAfterMissedHellosUntilItsNextHello(t *testing.T) {
	p := newPeers()
	p.recordMiss("a")
	assert.Assert(t, !p.isUnresponsive("a"), "one hello may be lost")
	p.recordMiss("a")
	assert.Assert(t, p.isUnresponsive("a"))
	now := bootTime()
	assert.Equal(t, len(p.unresponsiveDue(now)), 0)
	assert.DeepEqual(t, p.unresponsiveDue(now.Add(unresponsiveRetryInterval)), []string{"a"})
	p.set("a", peerView{receivedAt: now})
	assert.Assert(t, !p.isUnresponsive("a"))
}

// newTestLeaf returns a leaf that has the list of instances.
func newTestLeaf(t *testing.T) *Instance {
	t.Helper()
	settings := defaultSettings()
	settings.AvailabilityZone = "zone-1"
	settings.Listen.Peers = "127.0.0.1:9"
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Logger: zap.NewNop()})
	for n := range hubsPerZone {
		row := workload.Row{Key: fmt.Sprintf("%s127.0.0.1:%d", instancePrefix, n+1), Value: encode(instanceRow{Zone: "zone-1"}), Version: int64(n + 1)}
		i.replica.apply([]workload.Row{row})
	}
	i.setListed()
	return i
}

// receiveHubHello delivers a hello from a hub of the zone.
func (i *Instance) receiveHubHello(id string) {
	hub := i.hello(true)
	hub.Hub, hub.StoreReachable, hub.InstancesVersion = true, true, 9
	i.receiveHello(id, hub)
}

func TestALeafFollowsTheTableOnceNoHubOfItsZoneAnswers(t *testing.T) {
	i := newTestLeaf(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go i.watchRole(ctx)
	i.receiveHubHello("127.0.0.1:1")
	assert.Assert(t, !i.followsTable())
	assert.Assert(t, !i.hello(false).GetHub())
	for until := time.Now().Add(20 * time.Second); !i.followsTable() && time.Now().Before(until); {
		pause(ctx, roleCheckInterval)
	}
	assert.Assert(t, i.followsTable(), "its hubs are unresponsive and callers must be served")
}

func TestALeafKeepsOnlyTheRowsOfInstances(t *testing.T) {
	i := newTestLeaf(t)
	job := workload.Row{Key: jobPrefix + "a", Value: encode(workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}}), Version: 9}
	i.replica.apply([]workload.Row{job})
	_, known := i.replica.get("a")
	assert.Assert(t, !known)
	assert.Equal(t, len(i.replica.zones("")["zone-1"]), hubsPerZone)

	i.replica.reload([]workload.Row{job}, 9) // the instance becomes a hub
	_, known = i.replica.get("a")
	assert.Assert(t, known)
	i.dropTable()
	_, known = i.replica.get("a")
	assert.Assert(t, !known, "a leaf again")
	assert.Assert(t, !i.replica.isLoaded())
}

func TestALeafReadsTheConfigurationOnlyWhenNoHubProvidesIt(t *testing.T) {
	i := newTestLeaf(t)
	assert.Assert(t, i.readsConfiguration(), "it has no configuration yet")
	i.configuration.Store(&workload.Configuration{Version: 1})
	assert.Assert(t, i.readsConfiguration(), "no hub has sent a hello")
	i.receiveHubHello("127.0.0.1:1")
	assert.Assert(t, !i.readsConfiguration())
	hello := i.hello(true)
	hello.Hub = true // a hub that does not reach the store
	i.receiveHello("127.0.0.1:1", hello)
	assert.Assert(t, i.readsConfiguration())
}

func TestALeafDelegatesThePartitionWatchUntilAHubIsCutOff(t *testing.T) {
	i := newTestLeaf(t)
	assert.Assert(t, !i.delegatesPartitionWatch(), "no hub has sent a hello")
	i.receiveHubHello("127.0.0.1:1")
	i.receiveHubHello("127.0.0.1:2")
	assert.Assert(t, i.delegatesPartitionWatch())
	hello := i.hello(true)
	hello.Hub, hello.CutOff = true, true
	i.receiveHello("127.0.0.1:2", hello)
	assert.Assert(t, !i.delegatesPartitionWatch())
}

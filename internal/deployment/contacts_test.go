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

// fleetOf names the instances of some zones: larger ones first, then small ones.
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

// without returns the fleet as one of its instances knows it.
func without(fleet map[string][]peerSize, addr string) map[string][]peerSize {
	others := make(map[string][]peerSize)
	for zone, members := range fleet {
		others[zone] = slices.DeleteFunc(slices.Clone(members), func(m peerSize) bool { return m.addr == addr })
	}
	return others
}

func TestWhoIsAHub(t *testing.T) {
	fleet := fleetOf(1, 3, 4)["zone-0"]
	none := func(string) bool { return false }
	for sentence, c := range map[string]struct {
		self   int
		silent func(string) bool
		want   bool
	}{
		"the largest":                         {0, none, true},
		"the last of the large":               {2, none, true},
		"the first of the small":              {3, none, false},
		"the first of the small, one is lost": {3, func(addr string) bool { return addr == fleet[1].addr }, true},
		"the next one then":                   {4, func(addr string) bool { return addr == fleet[1].addr }, false},
		"the last, all others are lost":       {6, func(string) bool { return true }, true},
		"a lost one behind changes nothing":   {3, func(addr string) bool { return addr == fleet[5].addr }, false},
	} {
		t.Run(sentence, func(t *testing.T) {
			self := fleet[c.self]
			others := without(map[string][]peerSize{"zone-0": fleet}, self.addr)["zone-0"]
			assert.Equal(t, isHub(self, others, c.silent), c.want)
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
				others := without(fleet, self.addr)
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

func TestInASmallDeploymentEverybodyKnowsEverybody(t *testing.T) {
	none := func(string) bool { return false }
	fleet := fleetOf(3, 0, 3)
	for zone, members := range fleet {
		for _, self := range members {
			others := without(fleet, self.addr)
			assert.Assert(t, isHub(self, others[zone], none))
			assert.Equal(t, len(contactsOf(true, zone, others, none)), 8)
		}
	}
}

func TestALeafGoesOverToAnotherHubWhenOneIsSilent(t *testing.T) {
	fleet := fleetOf(2, 3, 3)
	self := fleet["zone-0"][5]
	lost := func(addr string) bool { return addr == fleet["zone-0"][0].addr }
	got := contactsOf(false, "zone-0", without(fleet, self.addr), lost)
	assert.DeepEqual(t, got, []string{"zone-0/01", "zone-0/02", "zone-0/03"})
}

func TestAPeerIsSilentAfterSomeMissesUntilItSpeaks(t *testing.T) {
	p := newPeers()
	p.miss("a")
	assert.Assert(t, !p.isSilent("a"), "one hello may be lost")
	p.miss("a")
	assert.Assert(t, p.isSilent("a"))
	now := bootTime()
	assert.Equal(t, len(p.silentDue(now)), 0)
	assert.DeepEqual(t, p.silentDue(now.Add(silentAgain)), []string{"a"})
	p.set("a", peerView{at: now})
	assert.Assert(t, !p.isSilent("a"))
}

// leaf is an instance that knows which others there are and hears hubs.
func leaf(t *testing.T) *Instance {
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

// speaks has a hub of the zone say hello.
func (i *Instance) speaks(id string) {
	hub := i.hello(true)
	hub.Hub, hub.StoreReachable = true, true
	i.heard(id, hub)
}

func TestALeafFollowsTheTableOnceNoHubOfItsZoneAnswers(t *testing.T) {
	i := leaf(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go i.watchRole(ctx)
	i.speaks("127.0.0.1:1")
	assert.Assert(t, !i.follows())
	assert.Assert(t, !i.hello(false).GetHub())
	for until := time.Now().Add(20 * time.Second); !i.follows() && time.Now().Before(until); {
		pause(ctx, roleEvery)
	}
	assert.Assert(t, i.follows(), "its hubs are silent, callers must be served")
}

func TestALeafKeepsTheRowsOfInstancesAlone(t *testing.T) {
	i := leaf(t)
	job := workload.Row{Key: jobPrefix + "a", Value: encode(workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}}), Version: 9}
	i.replica.apply([]workload.Row{job})
	_, known := i.replica.get("a")
	assert.Assert(t, !known)
	assert.Equal(t, len(i.replica.zones("")["zone-1"]), hubsPerZone)

	i.replica.reload([]workload.Row{job}, 9) // it has become a hub
	_, known = i.replica.get("a")
	assert.Assert(t, known)
	i.forgetTable()
	_, known = i.replica.get("a")
	assert.Assert(t, !known, "a leaf again")
	assert.Assert(t, !i.replica.isLoaded())
}

func TestALeafReadsTheConfigurationOnlyWhenNoHubHasIt(t *testing.T) {
	i := leaf(t)
	assert.Assert(t, i.readsConfiguration(), "it has none yet")
	i.configuration.Store(&workload.Configuration{Version: 1})
	assert.Assert(t, i.readsConfiguration(), "no hub was heard")
	i.speaks("127.0.0.1:1")
	assert.Assert(t, !i.readsConfiguration())
	cut := i.hello(true)
	cut.Hub = true // and does not reach the store
	i.heard("127.0.0.1:1", cut)
	assert.Assert(t, i.readsConfiguration())
}

func TestALeafLeavesTheWatchForCutsToItsHubsUntilOneSaysSo(t *testing.T) {
	i := leaf(t)
	assert.Assert(t, !i.hubsWatch(), "it has heard nobody")
	i.speaks("127.0.0.1:1")
	i.speaks("127.0.0.1:2")
	assert.Assert(t, i.hubsWatch())
	cut := i.hello(true)
	cut.Hub, cut.CutOff = true, true
	i.heard("127.0.0.1:2", cut)
	assert.Assert(t, !i.hubsWatch())
}

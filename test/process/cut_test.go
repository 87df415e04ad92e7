package process

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/standin"
	"github.com/corianderbank/corianderbank/internal/standin/drive"
)

// requestItem returns item as a burst of five requests.
func requestItem(name string, item drive.Item, idempotent bool) drive.Item {
	item.Name, item.Count = name, 5
	item.Request = &api.RequestSubmission{Account: "acme", Kind: "check", Idempotent: idempotent, DeadlineMS: 10000}
	return item
}

// setPlatformPartitioned cuts every instance off from the platform, or
// reconnects it.
func (c *cluster) setPlatformPartitioned(partitioned bool) {
	for _, entry := range c.entries {
		entry.relay.setPartitioned(partitioned)
	}
}

func TestZoneServesWithoutThePlatform(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, backends: 2, workers: 2, configuration: oneAccount})
	shape := api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
	// The gang runs longer than several worker leases: it completes only if
	// they are renewed without the platform.
	waitGang := driveAsync(c, drive.Input{Items: []drive.Item{{
		Name: "suite", Work: standin.WorkPayload{RunMS: 8000},
		Job: &api.JobSubmission{Account: "acme", Kind: "suite", Shape: shape, DeclaredRunS: 10},
	}}}, c.entries...)
	c.waitFor("the gang has started", func() bool { return len(c.collectRecords().Starts) == 2 })

	c.setPlatformPartitioned(true)
	for _, entry := range c.entries {
		c.waitFor(entry.id+" detects that it is cut off", func() bool {
			var status api.Status
			return get(entry.addr, "/v1/status", &status) == nil && len(status.Zones) > 0 && !status.Zones[0].PlatformReach
		})
	}
	refused := []api.Outcome{api.OutcomeNotRun}
	cutOffInput := drive.Input{Items: []drive.Item{
		requestItem("idempotent", drive.Item{}, true),
		requestItem("without-key", drive.Item{}, false),
		requestItem("keyed", drive.Item{Keyed: true, Expect: refused, ExpectKind: api.KindStoreUnavailable}, false),
		{
			Name: "new-job", Expect: refused, Work: standin.WorkPayload{RunMS: 100},
			Job: &api.JobSubmission{Account: "acme", Kind: "other", Shape: api.Shape{Tasks: 1, AcceleratorsPerTask: 1}, DeclaredRunS: 1},
		},
	}}
	answers := driveAsync(c, cutOffInput, c.entries...)()
	assertNoViolations(t, drive.Check(answers, c.collectRecords(), drive.Tolerance{}))
	c.waitFor("the gang completes without the platform", func() bool {
		for _, start := range c.collectRecords().Starts {
			if start.State != api.TaskDone {
				assert.Equal(t, start.State, api.TaskRunning, "the gang was stopped")
				return false
			}
		}
		return true
	})

	c.setPlatformPartitioned(false)
	assertNoViolations(t, drive.Check(waitGang(), c.collectRecords(), drive.Tolerance{}))
	c.waitFor("new work that needs the store is accepted again", func() bool {
		repeated := driveAsync(c, drive.Input{Items: []drive.Item{requestItem("keyed", drive.Item{Keyed: true}, false)}}, c.entries...)()
		return len(drive.Check(repeated, c.collectRecords(), drive.Tolerance{})) == 0
	})
	assertNoViolations(t, drive.Check(answers, c.collectRecords(), drive.Tolerance{})) // no refused request has run since
}

func TestInstanceIsReplacedByOneAbsentFromTheSettings(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, backends: 1, configuration: oneAccount})
	ports, err := standin.FreePorts(2)
	assert.NilError(t, err)
	old, other := c.entries[0], c.entries[1]
	assert.NilError(t, old.stop())
	c.addEntry(
		settings.Peer{Instance: "entry-new", Addr: fmt.Sprintf("127.0.0.1:%d", ports[0]), PeerAddr: fmt.Sprintf("127.0.0.1:%d", ports[1])},
		[]settings.Peer{{Instance: other.id, AvailabilityZone: testZone, Addr: other.addr, PeerAddr: other.peerAddr}},
	)
	added := c.entries[2]
	c.waitOK(added.addr, "/readyz")
	c.waitFor("the other instance lists the new one and no longer the old one", func() bool {
		var status api.Status
		if get(other.addr, "/v1/status", &status) != nil {
			return false
		}
		ready := map[string]bool{}
		for _, instance := range status.Instances {
			ready[instance.ID] = instance.State == "ready"
		}
		return ready[other.id] && ready[added.id] && !ready[old.id]
	})
	c.waitFor("the new instance serves requests", func() bool {
		answers := driveAsync(c, drive.Input{Items: []drive.Item{requestItem("check", drive.Item{}, true)}}, added)()
		return len(drive.Check(answers, c.collectRecords(), drive.Tolerance{})) == 0
	})
}

package deployment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// missing returns the rows of instances that a hub sends to a leaf, without those of other zones.
func (r *replica) missing(zone string, since int64) (rows []workload.Row, version int64) {
	if r.newestInstance() <= since {
		return nil, 0
	}
	all, version := r.instancesSince(zone, since)
	for _, row := range all {
		if r.zoneOf(strings.TrimPrefix(row.Key, instancePrefix)) == zone {
			rows = append(rows, row)
		}
	}
	return rows, version
}

func instanceListRow(zone string, n int, version int64) workload.Row {
	key := fmt.Sprintf("%s%s-%03d", instancePrefix, zone, n)
	return workload.Row{Key: key, Value: encode(instanceRow{Zone: zone}), Version: version}
}

// zoneSize returns the number of instances of a zone that a replica knows.
func (r *replica) zoneSize(zone string) int { return len(r.zones("")[zone]) }

func TestALeafReceivesTheInstancesOfItsZoneThatItDoesNotKnow(t *testing.T) {
	hub, leaf := newReplica(zap.NewNop()), newReplica(zap.NewNop())
	leaf.keepOnlyInstances()
	var rows []workload.Row
	for n := range 10 {
		rows = append(rows, instanceListRow("a", n, int64(2*n+1)), instanceListRow("b", n, int64(2*n+2)))
	}
	hub.reload(rows[:12], 12)
	leaf.applyInstances(rows[:4], 4)

	missing, version := hub.missing("a", leaf.knownInstancesVersion())
	assert.Equal(t, len(missing), 4, "only those of its zone, and only new ones")
	leaf.applyInstances(missing, version)
	assert.Equal(t, leaf.zoneSize("a"), 6)
	missing, _ = hub.missing("a", leaf.knownInstancesVersion())
	assert.Equal(t, len(missing), 0)

	hub.apply(rows[12:])
	hub.advanceInstances(20)
	missing, version = hub.missing("a", leaf.knownInstancesVersion())
	assert.Equal(t, len(missing), 4)
	leaf.applyInstances(missing, version)
	assert.Equal(t, leaf.zoneSize("a"), 10)
}

// A hub knows its own row, and those that peers pass on, before its feed delivers earlier ones. A
// leaf that counted as complete up to such a row would never receive the earlier ones.
func TestARowThatIsAheadOfTheFeedIsSentAfterTheEarlierOnes(t *testing.T) {
	hub := newReplica(zap.NewNop())
	hub.reload([]workload.Row{instanceListRow("a", 1, 1)}, 1)
	hub.apply([]workload.Row{instanceListRow("a", 3, 3)})
	missing, _ := hub.missing("a", 1)
	assert.Equal(t, len(missing), 0)
	hub.apply([]workload.Row{instanceListRow("a", 2, 2)})
	hub.advanceInstances(3)
	missing, version := hub.missing("a", 1)
	assert.Equal(t, len(missing), 2)
	assert.Equal(t, version, int64(3))
}

func TestALeafThatTheStoreDoesNotAnswerGetsItsListFromAHub(t *testing.T) {
	settings := defaultSettings()
	settings.AvailabilityZone = "a"
	leaf := New(Options{Settings: &settings, Store: newMemoryStore(), Logger: zap.NewNop()})
	assert.Assert(t, !leaf.isListed())
	leaf.receiveRows(&peerpb.RowsNote{
		Source: string(sourceInstances), Rows: rowsToProto([]workload.Row{instanceListRow("a", 1, 7)}), Version: 9,
	})
	assert.Assert(t, leaf.isListed())
	assert.Equal(t, leaf.hello(true).GetInstancesVersion(), int64(9))
}

// Rows read from the store by all leaves in a minute, while hubs answer: at twice the size, twice as
// many and not four times.
func TestListsOfInstancesCostTheStoreNothingWhileHubsSendThem(t *testing.T) {
	for _, leaves := range []int{100, 200} {
		reads := 0
		for range leaves {
			leaf := newTestLeaf(t)
			leaf.receiveHubHello("127.0.0.1:1")
			due := leaf.instanceListDue()
			assert.Assert(t, due > time.Minute, "%s", due)
			reads += int(time.Minute / due)
		}
		assert.Equal(t, reads, 0)
	}
	leaf := newTestLeaf(t)
	hello := leaf.hello(true)
	hello.Hub, hello.StoreReachable, hello.InstancesVersion = true, true, 0
	leaf.receiveHello("127.0.0.1:1", hello)
	assert.Equal(t, leaf.instanceListDue(), instanceListInterval, "a hub of an earlier build sends no list")
}

// A leaf detects that its zone is cut off by probing some instances of the others.
func TestALeafKnowsSomeInstancesOfEachOtherZone(t *testing.T) {
	for _, size := range []int{4, 40} {
		hub := newReplica(zap.NewNop())
		var rows []workload.Row
		for n := range size {
			rows = append(rows, instanceListRow("a", n, int64(3*n+1)), instanceListRow("b", n, int64(3*n+2)), instanceListRow("c", n, int64(3*n+3)))
		}
		hub.reload(rows, int64(3*size))
		leaf := newReplica(zap.NewNop())
		leaf.applyInstances(hub.instancesSince("a", 0))
		assert.Equal(t, leaf.zoneSize("a"), size)
		assert.Equal(t, leaf.zoneSize("b"), min(size, othersPerZone))
		assert.Equal(t, leaf.zoneSize("c"), min(size, othersPerZone))
	}
}

// What a hub sends for one new instance does not grow with the size of its zone.
func TestANewInstanceCostsOneRowForEachLeaf(t *testing.T) {
	for _, size := range []int{50, 100} {
		hub := newReplica(zap.NewNop())
		var rows []workload.Row
		for n := range size {
			rows = append(rows, instanceListRow("a", n, int64(n+1)))
		}
		hub.reload(rows, int64(size))
		hub.apply([]workload.Row{instanceListRow("a", size, int64(size+1))})
		hub.advanceInstances(int64(size + 1))
		missing, _ := hub.missing("a", int64(size))
		assert.Equal(t, len(missing), 1)
	}
}

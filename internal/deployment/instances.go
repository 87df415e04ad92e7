package deployment

import (
	"context"
	"time"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file keeps the leaves' lists of instances up to date. If every leaf read the rows of
// all instances from the store at an interval, the bytes read would grow with the square of
// the number of instances, and on a large deployment they would be most of what the store
// sends. A leaf needs the instances of its own zone, and some of each other zone to detect
// that its zone is cut off. Its hello states up to which version it knows them, and the hubs
// of its zone send the difference.

const (
	// sourceInstances marks the rows in a peer's message as those of the instances of one
	// zone.
	sourceInstances workload.Source = "instances"
	// instanceListInterval is the interval at which a leaf reads the list of instances from
	// the store while no hub sends it, and minInstanceListInterval the interval while no hub
	// has responded for that long.
	instanceListInterval    = 10 * time.Second
	minInstanceListInterval = time.Second
	// hubListInterval is the interval while hubs send the differences. It repairs a list that
	// an unknown fault has damaged.
	hubListInterval = 30 * time.Minute
	// othersPerZone is the number of instances of each other zone that a leaf knows.
	othersPerZone = 2 * hubsPerZone
)

// listInstances reads a leaf's list of instances when it is due; a hub has it from the table.
func (i *Instance) listInstances(ctx context.Context) {
	var last time.Time
	for ; ctx.Err() == nil; pause(ctx, roleCheckInterval) {
		if i.followsTable() || bootTime().Sub(last) < i.instanceListDue() {
			continue
		}
		last = bootTime()
		rows, version, err := readAll(ctx, i.store, workload.SourceOwn, mainPart, instancePrefix, instancePrefix+"\xff")
		if err != nil {
			continue
		}
		i.replica.applyInstances(rows, version)
		i.setListed()
	}
}

// instanceListDue returns the time after which a leaf reads the list of instances again.
func (i *Instance) instanceListDue() time.Duration {
	switch {
	case !i.isListed():
		return 0
	case !i.hubRespondedWithin(minInstanceListInterval):
		return minInstanceListInterval
	case len(i.peers.recent(func(v peerView) bool { return v.sendsInstances })) > 0:
		return hubListInterval
	}
	return instanceListInterval
}

// sendInstances sends a leaf of this hub's zone the instances that it does not know.
func (i *Instance) sendInstances(id string, hello *peerpb.Hello, now time.Time) {
	if hello.GetHub() || hello.GetAvailabilityZone() != i.settings.AvailabilityZone || !i.followsTable() {
		return
	}
	newest := i.replica.newestInstance()
	if newest <= hello.GetInstancesVersion() || !i.peers.maySendInstances(id, newest, now) {
		return
	}
	rows, version := i.replica.instancesSince(i.settings.AvailabilityZone, hello.GetInstancesVersion())
	i.peerCalls.Go(func() {
		i.sendNote(id, &peerpb.RowsNote{Source: string(sourceInstances), Rows: rowsToProto(rows), Version: version})
	})
}

// receiveInstances applies the instances that a hub sent.
func (i *Instance) receiveInstances(rows []workload.Row, version int64) {
	i.replica.applyInstances(rows, version)
	i.setListed()
}

// applyInstances applies rows of instances that are complete up to a version of the store.
func (r *replica) applyInstances(rows []workload.Row, version int64) {
	r.apply(rows)
	r.advanceInstances(version)
}

// advanceInstances records that the instances are known up to a version of the store.
func (r *replica) advanceInstances(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instancesVersion = max(r.instancesVersion, version)
}

// knownInstancesVersion returns the version of the store up to which the instances are known.
func (r *replica) knownInstancesVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instancesVersion
}

// newestInstance returns the version of the newest row of an instance, or zero unless the whole
// table is followed. A row that is ahead of the feed does not count: it is sent after those that
// the feed has not delivered yet.
func (r *replica) newestInstance() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return 0
	}
	return min(r.newestInstanceRow, r.instancesVersion)
}

// instancesSince returns the rows of the instances that a leaf of a zone needs and that are newer
// than a version, and the version up to which they are complete.
func (r *replica) instancesSince(zone string, since int64) ([]workload.Row, int64) {
	zones := r.zones("")
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []workload.Row
	for name, members := range zones {
		if name != zone {
			members = members[:min(len(members), othersPerZone)]
		}
		for _, member := range members {
			key := instancePrefix + member.addr
			if version := r.versions[key]; version > since && version <= r.instancesVersion {
				rows = append(rows, workload.Row{Key: key, Value: encode(r.instances[member.addr]), Version: version})
			}
		}
	}
	return rows, r.instancesVersion
}

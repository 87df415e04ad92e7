package deployment

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// This file decides which instances keep in contact. If each of many instances
// contacted every other and followed the whole table, hellos, connections and store
// reads would grow with the square of their number. Therefore the first instances of
// each availability zone, the larger ones first, are hubs: they follow the table and
// contact each other. The others are leaves. A leaf contacts the hubs of its zone,
// which answer queries for it, and reads from the store only what they cannot provide.

const (
	// hubsPerZone is the number of hubs of an availability zone: with one stopped and
	// one lost, one remains.
	hubsPerZone = 3
	// missesUntilUnresponsive is the number of consecutive unanswered hellos after
	// which an instance counts as unresponsive.
	missesUntilUnresponsive = 2
	// unresponsiveRetryInterval is the time between two hellos to an unresponsive
	// instance.
	unresponsiveRetryInterval = 3 * time.Second
	// hubTimeout is the time without a hello from the hubs of its zone after which a
	// leaf follows the table itself: two hello intervals.
	hubTimeout = 2 * helloInterval
	// roleCheckInterval is the interval at which an instance checks whether it is a
	// hub.
	roleCheckInterval = 100 * time.Millisecond
)

// firstResponsive returns the first instances of a list that are not unresponsive, up
// to a limit, in the order of the list.
func firstResponsive(list []peerSize, unresponsive func(addr string) bool, limit int) []string {
	var first []string
	for _, instance := range list {
		if len(first) == limit {
			break
		}
		if !unresponsive(instance.addr) {
			first = append(first, instance.addr)
		}
	}
	return first
}

// isHub reports whether an instance is one of the hubs of its zone. The others of the
// zone are sorted by compareSize.
func isHub(self peerSize, others []peerSize, unresponsive func(addr string) bool) bool {
	before := slices.DeleteFunc(slices.Clone(others), func(o peerSize) bool { return compareSize(o, self) > 0 })
	return len(firstResponsive(before, unresponsive, hubsPerZone)) < hubsPerZone
}

// contactsOf returns the instances that an instance contacts: for a hub the hubs of all
// zones, for a leaf those of its own zone. zones holds the other instances, sorted by
// compareSize.
func contactsOf(hub bool, own string, zones map[string][]peerSize, unresponsive func(addr string) bool) []string {
	if !hub {
		return firstResponsive(zones[own], unresponsive, hubsPerZone)
	}
	var list []string
	for zone, members := range zones {
		limit := hubsPerZone
		if zone == own {
			limit-- // the instance itself is one of them
		}
		list = append(list, firstResponsive(members, unresponsive, limit)...)
	}
	return list
}

// role holds whether an instance is a hub, and the state that this depends on.
type role struct {
	mu sync.Mutex
	// hub is set if the instance follows the table.
	hub bool
	// listed is set once the instance has the list of instances.
	listed bool
	// lastHubContact is the time at which a hello from a hub of the zone was last
	// received, or at which the list of instances became known.
	lastHubContact time.Time
}

// followsTable reports whether this instance is a hub and follows the table.
func (i *Instance) followsTable() bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return i.role.hub
}

func (i *Instance) isListed() bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return i.role.listed
}

// watchRole updates the role of this instance. It is a hub while it holds the lease,
// while it is among the first of its zone, and while no hub of its zone responds.
func (i *Instance) watchRole(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, roleCheckInterval) {
		if !i.isListed() {
			continue
		}
		members := i.replica.zones(i.settings.Listen.Peers)[i.settings.AvailabilityZone]
		hub := i.lease.current() != nil || isHub(i.lease.size(), members, i.peers.isUnresponsive) || !i.hubRespondedWithin(hubTimeout)
		i.setRole(hub)
	}
}

func (i *Instance) setRole(hub bool) {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	if hub == i.role.hub {
		return
	}
	i.role.hub = hub
	i.logger.Info("role", zap.Bool("hub", hub))
}

// hubRespondedWithin reports whether a hub of the zone has responded within a duration.
func (i *Instance) hubRespondedWithin(within time.Duration) bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return bootTime().Sub(i.role.lastHubContact) < within
}

func (i *Instance) recordHubContact(now time.Time) {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	i.role.lastHubContact = now
}

// contacts returns the instances to contact now: those of contactsOf, unresponsive ones
// to which another hello is due, the leader if this instance is a hub, and the seeds
// while there is no recent hello of any peer.
func (i *Instance) contacts() []string {
	self := i.settings.Listen.Peers
	list := contactsOf(i.followsTable(), i.settings.AvailabilityZone, i.replica.zones(self), i.peers.isUnresponsive)
	if len(i.peers.recent(func(peerView) bool { return true })) == 0 {
		list = append(list, i.liveSettings.Load().Seeds...)
	}
	list = append(list, i.peers.unresponsiveDue(bootTime())...)
	if leaderAddr := i.leaderAddr(); leaderAddr != "" && i.followsTable() {
		list = append(list, leaderAddr)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(id string) bool { return id == self })
}

// setListed records that the list of instances is known. The hubs have hubTimeout to
// respond from then on.
func (i *Instance) setListed() {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	if i.role.listed {
		return
	}
	i.role.listed = true
	i.role.lastHubContact = bootTime()
}

// dropTable drops the rows that only a hub needs.
func (i *Instance) dropTable() { i.replica.keepOnlyInstances() }

// leaderAddr returns the peer address of the instance that leads, or "" if it is not
// known here.
func (i *Instance) leaderAddr() string {
	if i.replica.isLoaded() {
		return i.replica.seenLeader().Leader
	}
	return i.peers.leaderAddr()
}

package deployment

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file decides which instances keep in touch. It answers deployments of many
// instances: with each of them in touch with every other and each following the whole
// table, hellos, connections and reads of the store grow with the square of their
// number. So the first instances of each availability zone, the larger ones first, are
// hubs: they follow the table and know each other. The others are leaves. A leaf keeps
// in touch with the hubs of its zone, which answer for it, and reads by itself only
// what they cannot tell it.

const (
	// hubsPerZone is how many hubs an availability zone has: with one stopped and one
	// lost there is still one.
	hubsPerZone = 3
	// silentMisses hellos in a row that nobody answered make an instance silent.
	silentMisses = 2
	// silentAgain is the pause between two hellos to a silent instance.
	silentAgain = 3 * time.Second
	// hubPatience is how long a leaf goes without word from a hub of its zone before it
	// follows the table by itself: two hellos and their time-outs.
	hubPatience = 2 * helloEvery
	// instancesEvery is how often a leaf reads which instances there are, and
	// instancesSoonest how often while no hub answers it.
	instancesEvery   = 10 * time.Second
	instancesSoonest = time.Second
	// roleEvery is how often an instance looks whether it is a hub.
	roleEvery = 100 * time.Millisecond
)

// firstAnswering lists the first instances of a list that are not silent, up to a
// limit, in the order of the list.
func firstAnswering(list []peerSize, silent func(addr string) bool, limit int) []string {
	var first []string
	for _, instance := range list {
		if len(first) == limit {
			break
		}
		if !silent(instance.addr) {
			first = append(first, instance.addr)
		}
	}
	return first
}

// isHub reports whether an instance is one of the hubs of its zone. The others of the
// zone are in the order of their sizes.
func isHub(self peerSize, others []peerSize, silent func(addr string) bool) bool {
	before := slices.DeleteFunc(slices.Clone(others), func(o peerSize) bool { return compareSize(o, self) > 0 })
	return len(firstAnswering(before, silent, hubsPerZone)) < hubsPerZone
}

// contactsOf lists whom an instance keeps in touch with: a hub with the hubs of all
// zones, a leaf with those of its own. Zones hold the other instances in the order of
// their sizes.
func contactsOf(hub bool, own string, zones map[string][]peerSize, silent func(addr string) bool) []string {
	if !hub {
		return firstAnswering(zones[own], silent, hubsPerZone)
	}
	var list []string
	for zone, members := range zones {
		limit := hubsPerZone
		if zone == own {
			limit-- // the instance itself is one
		}
		list = append(list, firstAnswering(members, silent, limit)...)
	}
	return list
}

// role is whether an instance is a hub, and what decides that.
type role struct {
	mu sync.Mutex
	// hub says that the instance follows the table.
	hub bool
	// listed says that it knows which instances there are.
	listed bool
	// hubHeard is when a hub of its zone said something last.
	hubHeard time.Time
}

// follows reports whether this instance follows the table.
func (i *Instance) follows() bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return i.role.hub
}

func (i *Instance) isListed() bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return i.role.listed
}

// watchRole keeps the instance a hub as long as it has to be one.
func (i *Instance) watchRole(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, roleEvery) {
		if !i.isListed() {
			continue
		}
		mates := i.replica.zones(i.settings.Listen.Peers)[i.settings.AvailabilityZone]
		hub := i.lease.current() != nil || isHub(i.lease.size(), mates, i.peers.isSilent) || !i.hubsAnswer(hubPatience)
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

// hubsAnswer reports whether a hub of the zone has said something within a time.
func (i *Instance) hubsAnswer(within time.Duration) bool {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	return bootTime().Sub(i.role.hubHeard) < within
}

func (i *Instance) hubHeard(now time.Time) {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	i.role.hubHeard = now
}

// contacts lists the instances to say hello to now.
func (i *Instance) contacts() []string {
	self := i.settings.Listen.Peers
	list := contactsOf(i.follows(), i.settings.AvailabilityZone, i.replica.zones(self), i.peers.isSilent)
	if len(i.peers.fresh(func(peerView) bool { return true })) == 0 {
		list = append(list, i.live.Load().Seeds...)
	}
	list = append(list, i.peers.silentDue(bootTime())...)
	if leaderAddr := i.leaderAddr(); leaderAddr != "" && i.follows() {
		list = append(list, leaderAddr)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(id string) bool { return id == self })
}

// listInstances keeps a leaf's list of instances; a hub has it from the table.
func (i *Instance) listInstances(ctx context.Context) {
	var last time.Time
	for ; ctx.Err() == nil; pause(ctx, roleEvery) {
		due := instancesEvery
		if !i.isListed() {
			due = 0
		} else if !i.hubsAnswer(instancesSoonest) {
			due = instancesSoonest
		}
		if i.follows() || bootTime().Sub(last) < due {
			continue
		}
		last = bootTime()
		rows, _, err := readAll(ctx, i.store, workload.SourceOwn, mainPart, instancePrefix, instancePrefix+"\xff")
		if err != nil {
			continue
		}
		i.replica.apply(rows)
		i.setListed()
	}
}

// setListed notes that the instance knows which others there are, and gives hubs their
// time to answer.
func (i *Instance) setListed() {
	i.role.mu.Lock()
	defer i.role.mu.Unlock()
	if i.role.listed {
		return
	}
	i.role.listed = true
	i.role.hubHeard = bootTime()
}

// forgetTable drops what only a hub needs of the table.
func (i *Instance) forgetTable() { i.replica.keepInstances() }

// leader is the address for peers of the instance that schedules, as far as is known
// here; empty if it is not.
func (i *Instance) leaderAddr() string {
	if i.replica.isLoaded() {
		return i.replica.seenLeader().Leader
	}
	return i.peers.leaderAddr()
}

package deployment

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file detects that an availability zone is cut off. An instance there cannot
// accept anything, and its callers are served in the other zones as soon as it reports
// that it is not ready. Without this check the loss of contact was noticed after two
// seconds, calls were held until the caller's deadline, and callers of the zone that
// arrived in the first three seconds of a partition were not served at all.

const (
	// pingInterval is the interval at which one instance of each other zone is pinged,
	// so that a partition is noticed well before the balancer's next check.
	pingInterval = 200 * time.Millisecond
	// pingTimeout bounds a ping and each concurrent probe of a witness; a slow instance
	// answers within half of it.
	pingTimeout = 250 * time.Millisecond
	// witnessDelay is the time that all pings may remain unanswered before the store
	// and more instances are probed as well.
	witnessDelay = 100 * time.Millisecond
	// witnessCount is the number of further instances of other zones that are probed
	// before lost pings count as a partition.
	witnessCount = 2
)

// partitionWatch holds whether this instance is cut off: a round of probes to the store
// and to instances of all other zones failed, and none of them has answered since.
type partitionWatch struct {
	mu sync.Mutex
	// cutOffSince is the time at which the partition was detected; zero while the
	// instance is not cut off.
	cutOffSince time.Time
	// detected is closed when a partition is detected.
	detected chan struct{}
	// isolated is set if no other instance of the zone answered either. Only this
	// instance may be cut off then.
	isolated bool
}

func newPartitionWatch() *partitionWatch { return &partitionWatch{detected: make(chan struct{})} }

// isCutOff reports whether the instance is cut off.
func (c *partitionWatch) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cutOffSince.IsZero()
}

// since returns the time at which the partition was detected, or the given time if there is none.
func (c *partitionWatch) since(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOffSince.IsZero() {
		return now
	}
	return c.cutOffSince
}

// markCutOff records that no probe was answered. It returns false if the instance was
// cut off already.
func (c *partitionWatch) markCutOff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cutOffSince.IsZero() {
		return false
	}
	c.cutOffSince = now
	close(c.detected)
	return true
}

// clear records an answer to a call that began at start, and returns true if that ends
// the partition. A call that began before the partition was detected proves nothing.
func (c *partitionWatch) clear(start time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOffSince.IsZero() || start.Before(c.cutOffSince) {
		return false
	}
	c.cutOffSince = time.Time{}
	c.isolated = false
	c.detected = make(chan struct{})
	return true
}

// setIsolated records whether the instance is also cut off from the others of its zone.
// It has no effect if the partition has ended.
func (c *partitionWatch) setIsolated(isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = isolated && !c.cutOffSince.IsZero()
}

func (c *partitionWatch) isIsolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated
}

// errCutOff is the cause with which calls in flight are cancelled when a partition is
// detected.
var errCutOff = errors.New("the availability zone is cut off")

// guard returns a context that is cancelled when a partition is detected.
func (c *partitionWatch) guard(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	detected := c.detected
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-detected:
			cancel(errCutOff)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// cutOffError returns the error for work that this instance cannot take while it is cut
// off; none of it was sent anywhere.
func (i *Instance) cutOffError() error {
	after := minRetryAfter
	switch {
	case !i.settings.Tuning.enabled(mechRetryAfter):
	case i.partition.isIsolated():
		after = 0 // the next attempt reaches another instance of the zone
	default:
		now := bootTime()
		after = retryAfterElsewhere(max(i.rotation.timeUntilRemoval(now), timeUntilZoneRemoval(i.partition.since(now), now)))
	}
	return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "%v", errCutOff), after)
}

// watchPartition pings one instance of each other zone in each round, and probes the
// store and more instances if none answers soon.
func (i *Instance) watchPartition(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		pause(ctx, pingInterval)
		if i.delegatesPartitionWatch() {
			continue
		}
		zones := i.otherZoneInstances()
		if len(zones) == 0 {
			continue // no other zone is known
		}
		start := bootTime()
		unresponsive, answered := i.probeZones(ctx, zones, round)
		switch {
		case ctx.Err() != nil:
			return
		case answered:
			i.markReconnected(start)
			i.suspectZones(unresponsive)
		case i.partition.markCutOff(bootTime()):
			isolated := i.isolatedInZone(ctx)
			i.partition.setIsolated(isolated)
			i.logger.Warn("cut off", zap.Int("zones_elsewhere", len(zones)), zap.Bool("alone", isolated))
			i.notifyLeaves(ctx)
		}
	}
}

// delegationTimeout is the time without a hello from the hubs of its zone after which
// a leaf no longer relies on them to detect a partition: a hello interval and the
// timeout of the next hello.
const delegationTimeout = helloInterval + helloTimeout

// delegatesPartitionWatch reports whether this instance relies on the hubs of its zone
// to detect a partition: it is a leaf, at least one hub has responded recently, and
// none of those reported that it is cut off.
func (i *Instance) delegatesPartitionWatch() bool {
	if i.followsTable() || i.partition.isCutOff() {
		return false
	}
	now := bootTime()
	hubs := i.peers.recent(func(v peerView) bool {
		return v.hub && v.zone == i.settings.AvailabilityZone && now.Sub(v.receivedAt) < delegationTimeout
	})
	connected := i.peers.recent(func(v peerView) bool {
		return v.hub && !v.cutOff && v.zone == i.settings.AvailabilityZone && now.Sub(v.receivedAt) < delegationTimeout
	})
	return len(connected) > 0 && len(connected) == len(hubs)
}

// notifyLeaves sends a hello to the leaves of the zone, which then check for the
// partition themselves.
func (i *Instance) notifyLeaves(ctx context.Context) {
	hello := i.hello(false)
	for _, id := range i.peers.recent(func(v peerView) bool { return !v.hub && v.zone == i.settings.AvailabilityZone }) {
		i.peerCalls.Go(func() { i.sendHello(ctx, id, hello) })
	}
}

// isolatedInZone reports whether none of the recently active instances of the zone
// answers.
func (i *Instance) isolatedInZone(ctx context.Context) bool {
	members := i.peers.recent(func(v peerView) bool { return v.zone == i.settings.AvailabilityZone })
	answers := make(chan bool, len(members))
	for _, id := range members {
		go func() { answers <- i.ping(ctx, id) }()
	}
	for range members {
		if <-answers {
			return false
		}
	}
	return len(members) > 0
}

// probeZones pings one instance of each zone. It returns the first member of each zone
// whose pinged instance did not answer, and whether there was any answer. If there is
// none after witnessDelay, or all pings have failed before, the store and some more
// instances are probed concurrently.
func (i *Instance) probeZones(ctx context.Context, zones [][]string, round int) (unresponsive []string, answered bool) {
	answers := make(chan string, len(zones))
	for _, members := range zones {
		go func() {
			if i.ping(ctx, members[round%len(members)]) {
				answers <- ""
				return
			}
			answers <- members[0]
		}()
	}
	witnessTimer := time.NewTimer(witnessDelay)
	defer witnessTimer.Stop()
	witnessAnswers := make(chan bool, 1)
	probingWitnesses := false
	for remaining := len(zones); remaining > 0; {
		select {
		case id := <-answers:
			remaining--
			if id == "" {
				answered = true
			} else {
				unresponsive = append(unresponsive, id)
			}
		case <-witnessTimer.C:
			if probingWitnesses = !answered; probingWitnesses {
				go func() { witnessAnswers <- i.probeWitnesses(ctx, slices.Concat(zones...), round) }()
			}
		}
	}
	switch {
	case answered:
	case probingWitnesses:
		answered = <-witnessAnswers
	default:
		answered = i.probeWitnesses(ctx, slices.Concat(zones...), round)
	}
	return unresponsive, answered
}

// suspectZones marks the zones of the given instances as suspect in the core, so that
// it checks their workers before it starts anything there.
func (i *Instance) suspectZones(members []string) {
	leader := i.leader.Load()
	if leader == nil {
		return
	}
	for _, id := range members {
		zone := i.replica.zoneOf(id)
		leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.SuspectZone(zone, now, wallMS) })
	}
}

// otherZoneInstances returns the instances of each other zone, restricted to the
// recently active ones where there are any: rows of instances that are gone remain for
// a while.
func (i *Instance) otherZoneInstances() [][]string {
	recent := make(map[string]bool)
	for _, id := range i.peers.recent(func(peerView) bool { return true }) {
		recent[id] = true
	}
	zones := i.replica.otherZones(i.settings.AvailabilityZone)
	for n, members := range zones {
		if responsive := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return !recent[id] }); len(responsive) > 0 {
			zones[n] = responsive
		}
	}
	return zones
}

// ping reports whether an instance answers. It sends a rows message without rows, since
// the answer to a hello would carry the leader's list of jobs.
func (i *Instance) ping(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Rows{Rows: &peerpb.RowsNote{}}})
	return err == nil
}

// probeWitnesses probes the store and some more instances concurrently, and reports
// whether any of them answers.
func (i *Instance) probeWitnesses(ctx context.Context, others []string, round int) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	probes := []func() bool{func() bool {
		_, err := i.store.direct.Read(ctx, workload.SourceOwn, mainPart, epochKey, leaderKey)
		return err == nil
	}}
	for n := range min(witnessCount, len(others)-1) {
		id := others[(round+1+n)%len(others)]
		probes = append(probes, func() bool { return i.ping(ctx, id) })
	}
	answers := make(chan bool, len(probes))
	for _, probe := range probes {
		go func() { answers <- probe() }()
	}
	for range probes {
		if <-answers {
			return true
		}
	}
	return false
}

// markReconnected records an answer to a call that began at start, and logs the end of
// a partition.
func (i *Instance) markReconnected(start time.Time) {
	if i.partition.clear(start) {
		i.logger.Info("no longer cut off")
	}
}

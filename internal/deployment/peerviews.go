package deployment

import (
	"sync"
	"time"
)

// peerView is the state that a peer reported in its last hello.
type peerView struct {
	zone           string
	storeReachable bool
	// hub is set if the peer follows the table, cutOff if it reaches no instance
	// outside its zone.
	hub, cutOff bool
	// leaderAddr is the leader's address according to the peer.
	leaderAddr string
	// pending is the number of jobs of each queue that have not started; nil if the
	// peer did not report it.
	pending map[string]int64
	// sendsInstances is set if the peer is a hub that sends changes of the list of instances.
	sendsInstances bool
	receivedAt     time.Time
}

// peers holds the reported states of the peers. It is safe for concurrent use.
type peers struct {
	mu    sync.Mutex
	views map[string]peerView
	// misses holds the consecutive hellos that a peer left unanswered.
	misses map[string]missedHellos
	// pushed holds the configuration last sent to a peer, instances the list of instances.
	pushed, instances map[string]sentVersion
}

// sentVersion is the version of what was sent to a peer, and when.
type sentVersion struct {
	version int64
	sentAt  time.Time
}

// pushRepeatInterval is the minimum time between sending the same version to a peer
// again. Other hubs send it as well, and more copies only fill a slow link.
const pushRepeatInterval = 2 * time.Second

// mayPush reports whether a version of the configuration should be sent to a peer now,
// and if so records it as sent.
func (p *peers) mayPush(id string, version int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maySend(p.pushed, id, version, now)
}

// maySendInstances works like mayPush for the list of instances.
func (p *peers) maySendInstances(id string, version int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maySend(p.instances, id, version, now)
}

func maySend(sent map[string]sentVersion, id string, version int64, now time.Time) bool {
	if last := sent[id]; last.version == version && now.Sub(last.sentAt) < pushRepeatInterval {
		return false
	}
	sent[id] = sentVersion{version, now}
	return true
}

// missedHellos is the number of hellos that a peer left unanswered, and when the last
// one failed.
type missedHellos struct {
	count    int
	lastMiss time.Time
}

func newPeers() *peers {
	return &peers{views: make(map[string]peerView), misses: make(map[string]missedHellos), pushed: make(map[string]sentVersion), instances: make(map[string]sentVersion)}
}

func (p *peers) set(id string, view peerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views[id] = view
	delete(p.misses, id)
}

// recordMiss records an unanswered hello.
func (p *peers) recordMiss(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses[id] = missedHellos{p.misses[id].count + 1, bootTime()}
}

// isUnresponsive reports whether a peer left several hellos unanswered and has sent
// none since.
func (p *peers) isUnresponsive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses[id].count >= missesUntilUnresponsive
}

// unresponsiveDue returns the unresponsive peers to which another hello is due.
func (p *peers) unresponsiveDue(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for id, m := range p.misses {
		if m.count >= missesUntilUnresponsive && now.Sub(m.lastMiss) >= unresponsiveRetryInterval {
			due = append(due, id)
		}
	}
	return due
}

// latest returns the most recent view among the hubs.
func (p *peers) latest() peerView {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest peerView
	for _, view := range p.views {
		if view.hub && view.receivedAt.After(latest.receivedAt) {
			latest = view
		}
	}
	return latest
}

// leaderAddr returns the leader's address according to the most recent hello of a hub.
func (p *peers) leaderAddr() string { return p.latest().leaderAddr }

// recent returns the matching peers whose last hello is recent.
func (p *peers) recent(match func(peerView) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	var ids []string
	for id, view := range p.views {
		if now.Sub(view.receivedAt) < peerViewTTL && match(view) {
			ids = append(ids, id)
		}
	}
	return ids
}

// helloSince reports whether a hello of a peer was received after a time.
func (p *peers) helloSince(id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.views[id].receivedAt.After(since)
}

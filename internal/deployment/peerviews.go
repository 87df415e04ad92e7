package deployment

import (
	"sync"
	"time"
)

// peerView is what a peer said last.
type peerView struct {
	zone           string
	storeReachable bool
	// hub says that it follows the table, cutOff that it reaches nobody outside its zone.
	hub, cutOff bool
	// leader is who schedules, as far as it knows.
	leaderAddr string
	// pending counts the jobs of each queue that have not begun, if it said so.
	pending map[string]int64
	at      time.Time
}

// peers keeps what the peers said.
type peers struct {
	mu    sync.Mutex
	views map[string]peerView
	// misses are the hellos in a row that a peer left unanswered.
	misses map[string]missed
	// pushed is what configuration a peer was sent last.
	pushed map[string]push
}

// push is a configuration that was sent to a peer.
type push struct {
	version int64
	at      time.Time
}

// pushAgain is the least time between two copies of one configuration for the same peer:
// other hubs send it as well, and more copies only fill a small link.
const pushAgain = 2 * time.Second

// mayPush reports whether a peer should be sent a row of the configuration now, and notes
// that it was.
func (p *peers) mayPush(id string, version int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.pushed[id]; last.version == version && now.Sub(last.at) < pushAgain {
		return false
	}
	p.pushed[id] = push{version, now}
	return true
}

// missed is how many hellos a peer left unanswered, and when the last one failed.
type missed struct {
	count int
	at    time.Time
}

func newPeers() *peers {
	return &peers{views: make(map[string]peerView), misses: make(map[string]missed), pushed: make(map[string]push)}
}

func (p *peers) set(id string, view peerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views[id] = view
	delete(p.misses, id)
}

// miss notes a hello that a peer did not answer.
func (p *peers) miss(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses[id] = missed{p.misses[id].count + 1, bootTime()}
}

// isSilent reports whether a peer left several hellos unanswered, and has said nothing
// since.
func (p *peers) isSilent(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses[id].count >= silentMisses
}

// silentDue lists the silent peers that should be tried again.
func (p *peers) silentDue(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for id, m := range p.misses {
		if m.count >= silentMisses && now.Sub(m.at) >= silentAgain {
			due = append(due, id)
		}
	}
	return due
}

// latest is what a hub said last.
func (p *peers) latest() peerView {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest peerView
	for _, view := range p.views {
		if view.hub && view.at.After(latest.at) {
			latest = view
		}
	}
	return latest
}

// leader is who schedules, as a hub said last.
func (p *peers) leaderAddr() string { return p.latest().leaderAddr }

// fresh lists the peers that said something lately and match.
func (p *peers) fresh(match func(peerView) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	var ids []string
	for id, view := range p.views {
		if now.Sub(view.at) < peerFreshFor && match(view) {
			ids = append(ids, id)
		}
	}
	return ids
}

// heardSince reports whether a peer has said something since a time.
func (p *peers) heardSince(id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.views[id].at.After(since)
}

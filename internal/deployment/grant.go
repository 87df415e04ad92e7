package deployment

import (
	"sync"
	"time"
)

// grant is a lease that this instance holds. mu guards version, answeredAfter, expiresAt and over.
type grant struct {
	epoch int64
	// reason states why the lease could be taken, for the log.
	reason string
	// epochVersion is the version of the epoch row. Every write of the leader expects
	// it, so that the store refuses writes of a leader that was replaced.
	epochVersion int64
	// hasPredecessor is set if there was an epoch before this one.
	hasPredecessor bool
	// predecessorUntil is the time until which the previous leader may still consider
	// its lease valid.
	predecessorUntil time.Time
	// answeredAfter is the version of the first renewal that was sent after the previous leader's
	// time, or zero before there is one.
	answeredAfter int64
	// trustIntents is set if the previous leader promised that it stored start intents;
	// promise is what this leader promises.
	trustIntents bool
	promise      intentPromise

	mu        sync.Mutex
	version   int64
	expiresAt time.Time
	over      bool
}

// valid reports whether the lease is valid now. An expired lease is valid again once it
// is renewed: the store renews it only if no other instance has taken it in between.
func (g *grant) valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.over && bootTime().Before(g.expiresAt)
}

// ended reports whether the lease was given up or taken by another instance.
func (g *grant) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

// end gives up the lease locally and permanently.
func (g *grant) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
}

// renewed records the version of the renewed row, and extends the lease until the given
// time if that is later than its current end.
func (g *grant) renewed(version int64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = version
	if until.After(g.expiresAt) {
		g.expiresAt = until
	}
}

// predecessorOver reports whether the previous leader gives no orders any more at a time.
func (g *grant) predecessorOver(at time.Time) bool {
	return !at.Before(g.predecessorUntil.Add(leaseMargin))
}

// noteAnswer records the version in the store's answer to a renewal sent at the given time.
func (g *grant) noteAnswer(sent time.Time, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answeredAfter == 0 && g.predecessorOver(sent) {
		g.answeredAfter = version
	}
}

// coversPredecessor reports whether the store at a version has every job that the previous leader
// may have started: it starts only what the store has.
func (g *grant) coversPredecessor(version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answeredAfter != 0 && version >= g.answeredAfter
}

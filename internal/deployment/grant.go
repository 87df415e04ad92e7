package deployment

import (
	"sync"
	"time"
)

// grant is a lease that this instance holds.
type grant struct {
	epoch int64
	// why the lease could be taken, for the log.
	why string
	// epochVersion is the version of the epoch row: every write of the leader
	// expects it, so that the store refuses a leader that was replaced.
	epochVersion int64
	// earlier says that there was an epoch before this one.
	earlier bool
	// overlap is until when the leader before may still believe in its lease.
	overlap time.Time
	// trust says that the leader before promised that it stored begins, promise is what
	// this one does.
	trust   bool
	promise promise

	mu      sync.Mutex
	version int64
	until   time.Time
	over    bool
}

// valid reports whether the lease holds now. A lease that ran out is valid again
// once it is renewed: the store renews it only if nobody took it in between.
func (g *grant) valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.over && bootTime().Before(g.until)
}

// ended reports whether the lease was given up or taken by another.
func (g *grant) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

// end gives the lease up locally, for good.
func (g *grant) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
}

func (g *grant) renewed(version int64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = version
	if until.After(g.until) {
		g.until = until
	}
}

package inbound

import (
	"cmp"
	"slices"
	"time"
)

// The decisions of this file answer a crowd of clients that open connections or send large bodies
// and then neither finish nor leave. Without them, whoever came first keeps all connections and all
// bytes, and ordinary callers are turned away for as long as the crowd stays.

// phase is what a connection does.
type phase int32

const (
	// phaseWaiting is the time between requests, and until the headers are complete.
	phaseWaiting phase = iota
	// phaseReceiving is the time until the body is complete.
	phaseReceiving
	// phaseWorking is the time in which the client waits for its response.
	phaseWorking
	// phaseSending is the time in which a response is written.
	phaseSending
	// phaseSession is the life of a session between instances, after its handshake.
	phaseSession
)

// connState is the state of a connection when another one needs its place.
type connState struct {
	phase phase
	// still is the time since the last progress.
	still time.Duration
}

// mayClose reports whether the connection may be closed in favor of another. A client that waits
// for its response keeps its connection, since its request may already have taken effect.
func (c connState) mayClose() bool {
	switch c.phase {
	case phaseWorking:
		return false
	case phaseSession:
		return c.still >= idleSessionAfter
	}
	return true
}

// chooseConn returns the connection to close in favor of a new one: among those that may be closed,
// the one without progress for the longest time. It returns -1 if there is none. A new client has
// made progress most recently, so a crowd that stalls does not displace it.
func chooseConn(conns []connState) int {
	chosen := -1
	for n, c := range conns {
		if c.mayClose() && (chosen < 0 || c.still > conns[chosen].still) {
			chosen = n
		}
	}
	return chosen
}

// bodyState is the state of a body when another one needs room.
type bodyState struct {
	reserved, received int64
	// complete is set once all of the body has arrived.
	complete   bool
	age, still time.Duration
}

func (b bodyState) stalled() bool { return !b.complete && b.still >= stalledAfter }

func (b bodyState) slow() bool {
	return !b.complete && b.age >= slowAfter && b.rate() < slowRate
}

// rate returns the average rate in bytes per second.
func (b bodyState) rate() float64 {
	return float64(b.received) / max(b.age, time.Millisecond).Seconds()
}

// chooseBodies returns the bodies to evict in favor of one that needs a number of bytes: first those
// that have stalled, the longest first, then slow ones, the slowest first. It returns none if all of
// them together do not free enough; the new body is then refused, and the others go on.
func chooseBodies(bodies []bodyState, need int64) []int {
	var candidates []int
	for n, b := range bodies {
		if b.reserved > 0 && (b.stalled() || b.slow()) {
			candidates = append(candidates, n)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := bodies[a], bodies[b]
		switch {
		case x.stalled() && y.stalled():
			return cmp.Compare(y.still, x.still)
		case x.stalled() != y.stalled():
			return cmp.Compare(y.still, x.still)
		}
		return cmp.Compare(x.rate(), y.rate())
	})
	for n, chosen := range candidates {
		if need -= bodies[chosen].reserved; need <= 0 {
			return candidates[:n+1]
		}
	}
	return nil
}

package inbound

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Group is the connections of one address. At its limit a new connection takes the place of one
// that waits for its client; if there is none, the new one is closed.
type Group struct {
	limit  int
	start  time.Time
	closed *metrics.Counter

	// mu guards the rest.
	mu    sync.Mutex
	conns map[*Conn]struct{}
	log   limitLog
	// draining is set once unfinished requests are no longer waited for.
	draining atomic.Bool
}

// NewGroup returns a group of at most limit connections. Its name identifies the address in logs
// and metrics.
func NewGroup(name string, limit int, logger *zap.Logger) *Group {
	g := &Group{limit: limit, start: time.Now(), conns: make(map[*Conn]struct{})}
	g.log = newLimitLog(logger, "connections", zap.String("address", name), zap.Int("limit", limit))
	g.closed = metrics.GetOrCreateCounter(fmt.Sprintf(`corianderbank_inbound_connections_closed_total{address=%q}`, name))
	metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_inbound_connections{address=%q}`, name), func() float64 { return float64(g.open()) })
	return g
}

// Wrap returns a listener whose connections belong to the group.
func (g *Group) Wrap(listener net.Listener) net.Listener { return groupListener{listener, g} }

type groupListener struct {
	net.Listener
	group *Group
}

// Accept implements net.Listener.
func (l groupListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.group.admit(conn); admitted != nil {
			return admitted, nil
		}
	}
}

func (g *Group) now() time.Duration { return time.Since(g.start) }

func (g *Group) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// admit adds a connection, or closes it and returns nil if no other one can be closed for it.
func (g *Group) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, group: g}
	c.progress()
	displaced, admitted := g.add(c)
	if displaced != nil {
		g.closed.Inc()
		_ = displaced.Conn.Close() // its server ends it
	}
	if !admitted {
		g.closed.Inc()
		_ = conn.Close()
		return nil
	}
	return c
}

func (g *Group) add(c *Conn) (displaced *Conn, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining.Load() {
		return nil, false
	}
	if len(g.conns) >= g.limit {
		g.log.reached()
		if displaced = g.choose(); displaced == nil {
			return nil, false
		}
		delete(g.conns, displaced)
	}
	g.conns[c] = struct{}{}
	return displaced, true
}

// Drain gives clients a moment to finish the requests that they have begun to send, so that a
// shutdown does not wait for those who never do.
func (g *Group) Drain() {
	g.draining.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.limitDeadline()
	}
}

// stallTimeout returns how long progress is waited for.
func (g *Group) stallTimeout() time.Duration {
	if g.draining.Load() {
		return drainTimeout
	}
	return StallTimeout
}

// choose returns the connection to close in favor of a new one, or nil. The caller holds mu.
func (g *Group) choose() *Conn {
	now := g.now()
	conns, states := make([]*Conn, 0, len(g.conns)), make([]connState, 0, len(g.conns))
	for c := range g.conns {
		conns, states = append(conns, c), append(states, c.state(now))
	}
	if n := chooseConn(states); n >= 0 {
		return conns[n]
	}
	return nil
}

func (g *Group) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.log.below()
}

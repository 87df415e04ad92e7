package peer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/inbound"
)

// connection is one established session with a peer.
type connection struct {
	*yamux.Session
	conn *coalescingConn
	// held counts what the messages of the session hold.
	held *inbound.Session
	// incarnation is the incarnation of the peer.
	incarnation int64
	// dialedBy is the id of the instance that dialed.
	dialedBy      string
	establishedAt time.Time
	// probing reports that probeConnection is waiting for a ping.
	probing atomic.Bool
}

// terminate ends the session from its read side and waits until its streams are
// closed. It is used instead of Close, which would wait for the session's
// reader while every stream's reader spins: up to a second of processor time
// for each call in flight when the connection to a partitioned peer was closed.
func (c *connection) terminate() {
	c.conn.stopReading()
	<-c.CloseChan()
	_ = c.Close()
}

// link is the state of the connection to one peer.
type link struct {
	instance string
	// calls holds one entry for each call in flight.
	calls chan struct{}

	// mu guards the rest.
	mu      sync.Mutex
	current *connection
	// dialing is closed when the dial in progress ends. It is nil if there is
	// none.
	dialing     chan struct{}
	dialErr     error
	dialBackoff backoff.Backoff
	// nextDialAt is the earliest time of the next dial.
	nextDialAt time.Time
}

// simultaneousDialWindow is the longest time between two connections dialed in
// opposite directions that still count as dialed simultaneously.
const simultaneousDialWindow = 3 * time.Second

// register makes c the current connection if it takes precedence, and returns
// the connection that is no longer needed, if any. A connection of a higher
// incarnation of the peer takes precedence. Within one incarnation the newer
// connection does, because the peer dials again only after it lost the older
// one. Of two connections dialed simultaneously in opposite directions, both
// sides keep the one dialed by the instance with the lower id.
func (l *link) register(self string, c *connection, now time.Time) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.establishedAt = now
	l.dialBackoff.Reset()
	l.nextDialAt = time.Time{}
	old := l.current
	if old == nil || old.IsClosed() {
		l.current = c
		return nil
	}
	if !shouldReplace(self, l.instance, old, c) {
		return c
	}
	l.current = c
	return old
}

func shouldReplace(self, peer string, old, c *connection) bool {
	if c.incarnation != old.incarnation {
		return c.incarnation > old.incarnation
	}
	simultaneous := c.dialedBy != old.dialedBy && c.establishedAt.Sub(old.establishedAt) < simultaneousDialWindow
	if simultaneous {
		return c.dialedBy == min(self, peer)
	}
	return true
}

// openConnection returns the current connection if it is open, otherwise nil.
func (l *link) openConnection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.IsClosed() {
		return nil
	}
	return l.current
}

// inUse reports whether the link has a connection, calls, or a dial to wait for.
func (l *link) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	connected := l.current != nil && !l.current.IsClosed()
	return connected || l.dialing != nil || len(l.calls) > 0 || l.dialBackoff.Failures() > 0
}

// drop removes c from the link, so that the next call dials.
func (l *link) drop(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == c {
		l.current = nil
	}
}

// acquireConnection returns an open connection and dials if needed. Callers
// that arrive during a dial share its result.
func (n *Node) acquireConnection(ctx context.Context, l *link) (*connection, error) {
	if c := l.openConnection(); c != nil {
		return c, nil
	}
	done, err := n.startDial(l)
	if err != nil {
		return nil, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, errNotReady(l.instance, "no connection in time: %w", ctx.Err())
	}
	if c := l.openConnection(); c != nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return nil, errNotReady(l.instance, "no connection: %v", l.dialErr)
}

// startDial starts a dial or joins the one in progress. It fails during the
// backoff after a failed dial.
func (n *Node) startDial(l *link) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing != nil {
		return l.dialing, nil
	}
	if wait := time.Until(l.nextDialAt); wait > 0 {
		return nil, errNotReady(l.instance, "backing off after %d failures: %v", l.dialBackoff.Failures(), l.dialErr)
	}
	if !n.addGoroutine() {
		return nil, errNotReady(l.instance, "node is closed")
	}
	l.dialing = make(chan struct{})
	go n.dial(l)
	return l.dialing, nil
}

// addGoroutine registers a new goroutine that Close waits for. It returns false
// after Close.
func (n *Node) addGoroutine() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Add(1)
	return true
}

func (n *Node) dial(l *link) {
	defer n.goroutines.Done()
	c, err := n.connect(l.instance)
	if err == nil {
		n.adopt(l.instance, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialErr = err
	if err != nil {
		l.nextDialAt = time.Now().Add(l.dialBackoff.RecordFailure(rand.Float64()))
		n.logger.Debug("dial", zap.String("peer", l.instance), zap.Int("failures", l.dialBackoff.Failures()), zap.Error(err))
	}
	close(l.dialing)
	l.dialing = nil
}

// The backoff after failed dials stays well below the time within which the end
// of a network partition must be noticed.
const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 5 * time.Second
)

// probeConnection pings a connection on which a call timed out, and closes it
// if the ping times out too. A peer that is merely slow answers the ping, so
// its other calls are not interrupted.
func (n *Node) probeConnection(c *connection) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	if !n.addGoroutine() {
		return
	}
	go func() {
		defer n.goroutines.Done()
		defer c.probing.Store(false)
		if _, err := c.Ping(); err != nil {
			c.terminate()
		}
	}()
}

// connect dials the instance, performs the handshake and opens the session.
func (n *Node) connect(instance string) (*connection, error) {
	addr, ok := n.options.Resolve(instance)
	if !ok {
		return nil, errNotReady(instance, "no address known")
	}
	dialer := net.Dialer{Timeout: n.limits.DialTimeout}
	conn, err := dialer.DialContext(n.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn = n.wrap(conn)
	from, incarnation, err := n.handshake(conn, true)
	if err == nil && from != instance {
		err = errNotReady(instance, "%s answers at %s", from, addr)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c, err := n.startSession(conn, yamux.Client)
	if err != nil {
		return nil, err
	}
	c.incarnation, c.dialedBy = incarnation, n.options.Instance
	return c, nil
}

// startSession starts a session on a connection after its handshake, as client
// or server.
func (n *Node) startSession(conn net.Conn, newSession func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*connection, error) {
	held := n.messages.NewSession(conn)
	coalesced := newCoalescingConn(held)
	session, err := newSession(coalesced, n.sessionConfig())
	if err != nil {
		_ = coalesced.Close()
		return nil, err
	}
	return &connection{Session: session, conn: coalesced, held: held}, nil
}

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
)

// connection is one established session with a peer.
type connection struct {
	*yamux.Session
	conn *coalescing
	// incarnation is the peer's.
	incarnation int64
	// dialedBy is the id of the instance that dialed.
	dialedBy string
	since    time.Time
	// probing says that a probe is under way.
	probing atomic.Bool
}

// end ends the session from its reader's side, and waits until its streams are
// closed. It is called instead of Close, which would wait for the reader with every
// stream's reader spinning: up to a second of processor time for each call under way
// when a peer behind a cut was given up.
func (c *connection) end() {
	c.conn.endReading()
	<-c.CloseChan()
	_ = c.Close()
}

// link is what a node knows of the way to one peer.
type link struct {
	instance string
	// calls holds one entry for each call under way.
	calls chan struct{}

	// mu guards the rest.
	mu      sync.Mutex
	current *connection
	// dialing is closed when the dial under way ends; nil without one.
	dialing  chan struct{}
	dialErr  error
	failures backoff.Backoff
	// notBefore is the earliest time of the next dial.
	notBefore time.Time
}

// crossingWindow is how far apart two dials in opposite directions may be seen
// to still count as crossing.
const crossingWindow = 3 * time.Second

// register makes c the current connection, or not; it returns the surplus one.
// A higher incarnation of the peer wins. Within one incarnation the newer
// connection wins, because the peer dials again only when it lost the older;
// but of two dials that crossed, both sides keep the one of the lower id.
func (l *link) register(self string, c *connection, now time.Time) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.since = now
	l.failures.Succeeded()
	l.notBefore = time.Time{}
	old := l.current
	if old == nil || old.IsClosed() {
		l.current = c
		return nil
	}
	if !replaces(self, l.instance, old, c) {
		return c
	}
	l.current = c
	return old
}

func replaces(self, peer string, old, c *connection) bool {
	if c.incarnation != old.incarnation {
		return c.incarnation > old.incarnation
	}
	crossed := c.dialedBy != old.dialedBy && c.since.Sub(old.since) < crossingWindow
	if crossed {
		return c.dialedBy == min(self, peer)
	}
	return true
}

// connected returns the current connection if it is open.
func (l *link) connected() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.IsClosed() {
		return nil
	}
	return l.current
}

// drop forgets c, so that the next call dials.
func (l *link) drop(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == c {
		l.current = nil
	}
}

// connection returns an open connection, dialing if needed. Callers that come
// while a dial is under way share its result.
func (n *Node) connection(ctx context.Context, l *link) (*connection, error) {
	if c := l.connected(); c != nil {
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
	if c := l.connected(); c != nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return nil, errNotReady(l.instance, "no connection: %v", l.dialErr)
}

// startDial starts a dial, or joins the one under way. It refuses during the
// backoff after a failure.
func (n *Node) startDial(l *link) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing != nil {
		return l.dialing, nil
	}
	if wait := time.Until(l.notBefore); wait > 0 {
		return nil, errNotReady(l.instance, "backing off after %d failures: %v", l.failures.Failures(), l.dialErr)
	}
	if !n.addDuty() {
		return nil, errNotReady(l.instance, "node is closed")
	}
	l.dialing = make(chan struct{})
	go n.dial(l)
	return l.dialing, nil
}

// addDuty counts a new goroutine; false after Close.
func (n *Node) addDuty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.duties.Add(1)
	return true
}

func (n *Node) dial(l *link) {
	defer n.duties.Done()
	c, err := n.connect(l.instance)
	if err == nil {
		n.adopt(l.instance, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialErr = err
	if err != nil {
		l.notBefore = time.Now().Add(l.failures.Failed(rand.Float64()))
		n.logger.Debug("dial", zap.String("peer", l.instance), zap.Int("failures", l.failures.Failures()), zap.Error(err))
	}
	close(l.dialing)
	l.dialing = nil
}

// The wait after failed dials stays well under the time in which a healed cut
// must be noticed.
const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// suspect probes a connection on which a call went unanswered, and closes it if
// the probe goes unanswered too. A peer that is merely slow answers the probe,
// so that its other calls live on.
func (n *Node) suspect(c *connection) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	if !n.addDuty() {
		return
	}
	go func() {
		defer n.duties.Done()
		defer c.probing.Store(false)
		if _, err := c.Ping(); err != nil {
			c.end()
		}
	}()
}

// connect dials the instance, shakes hands and opens the session.
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
	c, err := n.begin(conn, yamux.Client)
	if err != nil {
		return nil, err
	}
	c.incarnation, c.dialedBy = incarnation, n.options.Instance
	return c, nil
}

// begin begins a session on a connection after its handshake, as client or server.
func (n *Node) begin(conn net.Conn, as func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*connection, error) {
	gathered := newCoalescing(conn)
	session, err := as(gathered, n.sessionConfig())
	if err != nil {
		_ = gathered.Close()
		return nil, err
	}
	return &connection{Session: session, conn: gathered}, nil
}

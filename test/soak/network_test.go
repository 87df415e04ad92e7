package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// The ports at the addresses of a play.
const (
	callersPort = 8521
	readyPort   = 8523
	peersPort   = 8526
	// servicePort is that of workers and of the store, otherStorePort a second one of the store.
	servicePort    = 9000
	otherStorePort = 9001
)

// network is the loopback network of one play. Each instance reaches each target by an address of
// its own, 127.net.caller.target, so that each pair of processes has a link that can be disturbed.
// 127.net.0.target is the address that instances know; linkPrefix leads from the one to the other.
type network struct {
	net   int
	guard net.Listener

	mu    sync.Mutex // guards links
	links map[pair]*link
}

// pair names a link: an instance, and the host number of what it calls.
type pair struct{ caller, target int }

// The host numbers in a network.
const (
	storeHost     = 9
	firstInstance = 10
	firstWorker   = 100
)

// newNetwork takes a network that no other play on this machine uses.
func newNetwork() (*network, error) {
	for try := range 200 {
		n := 20 + (os.Getpid()*7+try)%200
		if guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, servicePort)); err == nil {
			return &network{net: n, guard: guard, links: make(map[pair]*link)}, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// addr returns the address of a target as all instances know it.
func (n *network) addr(target, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", n.net, target, port)
}

// linkAddr returns the address by which a caller reaches a target.
func (n *network) linkAddr(p pair, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.net, p.caller, p.target, port)
}

// link returns the link of a pair.
func (n *network) link(p pair) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[p]
	if l == nil {
		l = &link{conns: make(map[*linkConn]bool)}
		n.links[p] = l
	}
	return l
}

// heal ends all disturbances.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.set(linkState{})
	}
}

// listen serves a handler to one caller until the returned function is called.
func (n *network) listen(p pair, port int, handler http.Handler) (stop func(), err error) {
	listener, err := n.listenLink(p, port)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = server.Serve(listener) }() // returns when it is closed
	return func() { _ = server.Close() }, nil
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// wasHeld reports whether the call was held on its link before it arrived.
func wasHeld(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*linkConn)
	return ok && c.heldLately()
}

func (n *network) listenLink(p pair, port int) (net.Listener, error) {
	listener, err := net.Listen("tcp", n.linkAddr(p, port))
	if err != nil {
		return nil, err
	}
	return &linkListener{Listener: listener, link: n.link(p)}, nil
}

// proxy forwards the connections of a caller to the address that all know.
func (n *network) proxy(p pair, port int) (stop func(), err error) {
	listener, err := n.listenLink(p, port)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(conn.(*linkConn), n.addr(p.target, port))
		}
	}()
	return func() { _ = listener.Close() }, nil
}

func forward(source *linkConn, target string) {
	defer func() { _ = source.Close() }()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		source.pass(true)
		return
	}
	defer func() { _ = server.Close() }()
	ended := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(server, source)
		ended <- struct{}{}
	}()
	go func() {
		_, _ = io.Copy(source, server)
		source.pass(false) // the end of a connection doesn't cross a link that is cut
		ended <- struct{}{}
	}()
	<-ended
}

// linkState is what happens on a link. Held bytes arrive once they are no longer held.
type linkState struct {
	holdThere, holdBack bool
	delay               time.Duration
	// refuse breaks off new connections.
	refuse bool
}

// link is what lies between a caller and a target.
type link struct {
	mu    sync.Mutex // guards the fields below
	state linkState
	// changes counts the disturbances.
	changes int
	conns   map[*linkConn]bool
}

// set disturbs the link. The returned function ends this disturbance, unless another one has taken
// its place.
func (l *link) set(s linkState) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.changes++
	mine := l.changes
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.changes == mine {
			l.state = linkState{}
		}
	}
}

func (l *link) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// reset breaks off all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.abort()
	}
}

type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, link: l.link, closed: make(chan struct{})}
		if l.link.current().refuse {
			c.abort()
			continue
		}
		l.link.mu.Lock()
		l.link.conns[c] = true
		l.link.mu.Unlock()
		return c, nil
	}
}

// linkConn is the target's end of a connection over a link.
type linkConn struct {
	net.Conn
	link   *link
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex // guards held
	held time.Time  // when bytes were last held on the way to the target
}

const (
	// holdPoll is how often a held connection looks at its link.
	holdPoll = 5 * time.Millisecond
	// heldLong is how long bytes are held before what they order counts as late.
	heldLong = 250 * time.Millisecond
)

// pass waits while the link holds bytes in that direction.
func (c *linkConn) pass(there bool) {
	start := time.Now()
	state := c.link.current()
	if state.delay > 0 {
		c.wait(state.delay)
	}
	for ; (there && state.holdThere) || (!there && state.holdBack); state = c.link.current() {
		if !c.wait(holdPoll) {
			return
		}
	}
	if there && time.Since(start) > heldLong {
		c.mu.Lock()
		c.held = time.Now()
		c.mu.Unlock()
	}
}

// wait returns false if the connection was closed before the time was over.
func (c *linkConn) wait(d time.Duration) bool {
	select {
	case <-c.closed:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *linkConn) heldLately() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.held) < time.Second
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pass(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	c.pass(false)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// abort sends a reset.
func (c *linkConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

package peer

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/inbound"
)

// Limits bounds the resources that peers can make an instance use. A zero field
// means its default.
type Limits struct {
	// MaxMessageBytes bounds one message; default 4 MiB.
	MaxMessageBytes int
	// MaxCalls bounds the calls in flight to one peer; default 128. A further
	// call waits within its context.
	MaxCalls int
	// MaxControl and MaxWork bound the calls of peers being handled: state,
	// configuration and slots (default 64), and all other calls, such as
	// forwarded work (default 512). As many again wait in a queue; a further
	// call is refused with KindQueueFull.
	MaxControl, MaxWork int
	// DialTimeout bounds connecting and the handshake; default 2 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; default 30 s.
	CallTimeout time.Duration
	// IOTimeout bounds reading one request and writing one message; default 5 s.
	IOTimeout time.Duration
}

const (
	defaultMaxMessageBytes = 4 << 20
	defaultMaxCalls        = 128
	defaultMaxControl      = 64
	defaultMaxWork         = 512
	defaultDialTimeout     = 2 * time.Second
	defaultCallTimeout     = 30 * time.Second
	defaultIOTimeout       = 5 * time.Second
	// defaultMemoryMB is the memory from which bounds are derived if the options set none.
	defaultMemoryMB = 256
)

func (l Limits) withDefaults() Limits {
	setInt(&l.MaxMessageBytes, defaultMaxMessageBytes)
	setInt(&l.MaxCalls, defaultMaxCalls)
	setInt(&l.MaxControl, defaultMaxControl)
	setInt(&l.MaxWork, defaultMaxWork)
	setDuration(&l.DialTimeout, defaultDialTimeout)
	setDuration(&l.CallTimeout, defaultCallTimeout)
	setDuration(&l.IOTimeout, defaultIOTimeout)
	return l
}

func setInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Options configures a Node.
type Options struct {
	// Instance and Incarnation identify this instance to its peers.
	Instance    string
	Incarnation int64
	// Listen is the IP address and port on which to listen for peers.
	Listen  string
	Handler Handler
	Logger  *zap.Logger
	// Resolve returns the peer address of an instance.
	Resolve func(instance string) (addr string, ok bool)
	Limits  Limits
	// Inbound bounds what peers can make the instance hold.
	Inbound inbound.Limits
	// WrapConn, if set, wraps each new connection, for example to count bytes
	// in measurements.
	WrapConn func(net.Conn) net.Conn
}

// Node connects one instance with its peers. It implements Caller. One TCP
// connection for each pair of instances carries the calls in both directions.
type Node struct {
	options     Options
	limits      Limits
	logger      *zap.Logger
	listener    net.Listener
	messages    *inbound.Pool
	controlPool pond.Pool
	workPool    pond.Pool
	readerPool  pond.Pool
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	// inFlight counts the calls of peers that Drain waits for.
	inFlight atomic.Int64

	// mu guards links, conns and closed.
	mu     sync.Mutex
	links  map[string]*link
	conns  map[*connection]struct{}
	closed bool
}

var _ Caller = (*Node)(nil)

// New returns a node that does not listen until Start. Call works without
// Start.
func New(options Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	limits := options.Limits.withDefaults()
	if options.Inbound == (inbound.Limits{}) {
		options.Inbound = inbound.Derive(defaultMemoryMB)
	}
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Node{
		options:     options,
		limits:      limits,
		logger:      logger.Named("peer"),
		messages:    inbound.NewPool("peers", options.Inbound.PeerBytes, math.MaxInt, logger),
		controlPool: newPool(limits.MaxControl),
		workPool:    newPool(limits.MaxWork),
		readerPool:  newPool(limits.MaxControl + limits.MaxWork),
		ctx:         ctx,
		cancel:      cancel,
		links:       make(map[string]*link),
		conns:       make(map[*connection]struct{}),
	}
}

// newPool returns a pool whose queue is as long as its concurrency. It refuses
// a task when both are full.
func newPool(size int) pond.Pool {
	return pond.NewPool(size, pond.WithQueueSize(size), pond.WithNonBlocking(true))
}

// Start starts listening for peers. It returns an error if that fails.
func (n *Node) Start() error {
	listener, err := inbound.Listen(n.options.Listen, inbound.PeerReceiveBytes)
	if err != nil {
		return err
	}
	n.listener = inbound.NewGroup("peers", n.options.Inbound.PeerConnections, n.logger).Wrap(listener)
	n.goroutines.Add(1)
	go n.acceptLoop()
	return nil
}

// Addr returns the address that the node listens on, after Start.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close closes every connection and waits for the handlers in progress, whose
// contexts are cancelled at once. Later calls return KindNotReady.
func (n *Node) Close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()

	n.cancel()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for _, c := range conns {
		c.terminate()
	}
	n.goroutines.Wait()
	n.readerPool.StopAndWait()
	n.controlPool.StopAndWait()
	n.workPool.StopAndWait()
}

// acceptLoop accepts connections until the listener closes.
func (n *Node) acceptLoop() {
	defer n.goroutines.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() == nil {
				n.logger.Warn("accept", zap.Error(err))
				n.sleep(acceptRetryDelay)
				continue
			}
			return
		}
		n.goroutines.Add(1)
		go n.handleIncoming(conn)
	}
}

// acceptRetryDelay keeps acceptLoop from spinning while the listener fails (for
// example without free file descriptors).
const acceptRetryDelay = 50 * time.Millisecond

func (n *Node) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

// handleIncoming performs the handshake with a peer that connected and serves
// its calls.
func (n *Node) handleIncoming(conn net.Conn) {
	defer n.goroutines.Done()
	bounded, _ := conn.(*inbound.Conn)
	conn = n.wrap(conn)
	from, incarnation, err := n.handshake(conn, false)
	if err != nil {
		n.logger.Warn("handshake", zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		_ = conn.Close()
		return
	}
	if bounded != nil {
		bounded.BeginSession()
	}
	c, err := n.startSession(conn, yamux.Server)
	if err != nil {
		n.logger.Warn("session", zap.String("peer", from), zap.Error(err))
		return
	}
	c.incarnation, c.dialedBy = incarnation, from
	n.adopt(from, c)
}

func (n *Node) wrap(conn net.Conn) net.Conn {
	if n.options.WrapConn == nil {
		return conn
	}
	return n.options.WrapConn(conn)
}

func (n *Node) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = nil
	config.Logger = yamuxLogger{n.logger}
	// Keepalives on every idle connection would cost more than the state
	// messages, which detect failures as well. probeConnection checks a
	// connection on which a call timed out.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = n.limits.IOTimeout
	config.StreamOpenTimeout = 2 * n.limits.IOTimeout
	config.StreamCloseTimeout = 2 * n.limits.IOTimeout
	return config
}

// link returns the link to an instance and creates it on first use.
func (n *Node) link(instance string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[instance]
	if !ok {
		l = &link{instance: instance, calls: make(chan struct{}, n.limits.MaxCalls)}
		l.dialBackoff = backoff.Backoff{Base: minDialBackoff, Max: maxDialBackoff}
		n.links[instance] = l
	}
	return l
}

// forget drops the link to an instance without a connection and without calls, so that names that
// peers make up take no memory. A call that has just chosen the link goes on with it.
func (n *Node) forget(instance string) {
	l := n.link(instance)
	if l.inUse() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[instance] == l {
		delete(n.links, instance)
	}
}

// adopt registers a new connection, starts serving it, and retires the
// connection that is no longer needed.
func (n *Node) adopt(instance string, c *connection) {
	if !n.track(c) {
		c.terminate()
		return
	}
	surplus := n.link(instance).register(n.options.Instance, c, time.Now())
	n.goroutines.Add(1)
	go n.serveSession(instance, c)
	if surplus != nil {
		n.goroutines.Add(1)
		go n.retire(surplus)
	}
}

// track registers a connection for Close. It returns false after Close.
func (n *Node) track(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Node) untrack(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

const (
	// retireGracePeriod allows a call that already chose the connection to open
	// its stream.
	retireGracePeriod  = 2 * time.Second
	retirePollInterval = time.Second
	// retireTimeout bounds the wait for calls on a surplus connection.
	retireTimeout = 10 * time.Minute
)

// retire closes a surplus connection once its calls have ended.
func (n *Node) retire(c *connection) {
	defer n.goroutines.Done()
	start := time.Now()
	n.sleep(retireGracePeriod)
	for n.ctx.Err() == nil && c.NumStreams() > 0 && time.Since(start) < retireTimeout {
		n.sleep(retirePollInterval)
	}
	c.terminate()
}

// errNotReady returns the error of a call that was not sent.
func errNotReady(instance string, format string, args ...any) error {
	return api.NewError(api.KindNotReady, "peer "+instance+": "+format, args...)
}

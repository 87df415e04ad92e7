package peer

import (
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// coalesceYields is how often the duty lets other goroutines run before it
	// writes, so that the next steps of an exchange go with the first. A timer
	// would do the same for a millisecond or more at each step.
	coalesceYields = 8
	// coalesceBytes is what a connection holds back at most; a full one makes
	// the writer wait.
	coalesceBytes = 64 << 10
	// flushWithin bounds the last write when a connection closes.
	flushWithin = time.Second
)

// coalescing puts the small writes of a yamux session (a header, a body, a
// window update) into few segments, each of which costs its own TCP and IP
// headers. Its duty writes what gathered while it let others run.
type coalescing struct {
	net.Conn
	// wake has an entry while there is something to write; room has one when
	// something was written.
	wake, room chan struct{}
	closing    chan struct{}
	once       sync.Once
	// done is closed when the duty ended and the connection is closed.
	done chan struct{}

	// mu guards the rest.
	mu      sync.Mutex
	pending []byte
	// failed connections take nothing more.
	failed bool
}

func newCoalescing(conn net.Conn) *coalescing {
	c := &coalescing{
		Conn:    conn,
		wake:    make(chan struct{}, 1),
		room:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go c.run()
	return c
}

// Write takes data over. It never fails: a write that fails ends the reading, and
// what comes after it is dropped. So a session always ends from its reader's side,
// in one go: ended from elsewhere, it waits for its reader, and meanwhile each reader
// of a stream goes round a loop that does not block.
func (c *coalescing) Write(data []byte) (int, error) {
	for !c.take(data) {
		select {
		case <-c.room:
		case <-c.closing:
			return len(data), nil
		}
	}
	return len(data), nil
}

// take adds data to what is pending; false if there is no room.
func (c *coalescing) take(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return true
	}
	if len(c.pending) > 0 && len(c.pending)+len(data) > coalesceBytes {
		return false
	}
	c.pending = append(c.pending, data...)
	signal(c.wake)
	return true
}

// endReading makes the reader fail, now and from now on.
func (c *coalescing) endReading() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// run writes what gathered, until the connection closes or fails.
func (c *coalescing) run() {
	defer close(c.done)
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case <-c.wake:
		case <-c.closing:
			_ = c.flush()
			return
		}
		for range coalesceYields {
			runtime.Gosched()
		}
		if c.flush() != nil {
			c.endReading()
			return
		}
	}
}

// flush writes what is pending. Only the duty calls it.
func (c *coalescing) flush() error {
	c.mu.Lock()
	data := c.pending
	c.pending = nil
	c.mu.Unlock()
	if len(data) == 0 {
		return nil
	}
	_, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		c.failed = true
		c.mu.Unlock()
	}
	signal(c.room)
	return err
}

// Close has the duty write what is pending, for a bounded time, and close the
// connection. It does not wait for that: the peer may be silent.
func (c *coalescing) Close() error {
	c.once.Do(func() {
		c.endReading()
		_ = c.Conn.SetWriteDeadline(time.Now().Add(flushWithin))
		close(c.closing)
	})
	return nil
}

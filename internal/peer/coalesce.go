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
	done       chan struct{}
	once       sync.Once

	// mu guards pending and err.
	mu      sync.Mutex
	pending []byte
	err     error
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

// Write takes data over. An error of an earlier write comes back from a later
// one, and closes the connection, which the reader notices.
func (c *coalescing) Write(data []byte) (int, error) {
	for {
		taken, err := c.take(data)
		if taken || err != nil {
			return len(data), err
		}
		select {
		case <-c.room:
		case <-c.closing:
			return 0, net.ErrClosed
		}
	}
}

// take adds data to what is pending; false if there is no room.
func (c *coalescing) take(data []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false, c.err
	}
	if len(c.pending) > 0 && len(c.pending)+len(data) > coalesceBytes {
		return false, nil
	}
	c.pending = append(c.pending, data...)
	signal(c.wake)
	return true, nil
}

func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// run writes what gathered, until the connection closes or fails.
func (c *coalescing) run() {
	defer close(c.done)
	for {
		select {
		case <-c.wake:
		case <-c.closing:
			_ = c.Conn.SetWriteDeadline(time.Now().Add(flushWithin))
			_ = c.flush()
			return
		}
		for range coalesceYields {
			runtime.Gosched()
		}
		if err := c.flush(); err != nil {
			_ = c.Conn.Close()
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
		c.err = err
		c.mu.Unlock()
	}
	signal(c.room)
	return err
}

// Close writes what is pending and closes the connection.
func (c *coalescing) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.done
	return c.Conn.Close()
}

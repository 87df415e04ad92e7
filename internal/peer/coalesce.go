package peer

import (
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// coalesceYields is how often writeLoop yields to other goroutines before
	// it writes, so that the next writes of an exchange join the first. A timer
	// would delay each step by a millisecond or more.
	coalesceYields = 8
	// maxPendingBytes bounds the bytes that a connection buffers. A writer
	// waits while the buffer is full; an empty buffer accepts a write of any
	// size.
	maxPendingBytes = 64 << 10
	// flushTimeout bounds the last write before a connection closes.
	flushTimeout = time.Second
)

// coalescingConn combines the small writes of a yamux session (a header, a
// body, a window update) into few segments, because each segment costs its own
// TCP and IP headers. writeLoop writes what has accumulated while it yielded to
// other goroutines.
type coalescingConn struct {
	net.Conn
	// wake has an entry while there is something to write; flushed has one
	// after a write.
	wake, flushed chan struct{}
	closing       chan struct{}
	closeOnce     sync.Once
	// done is closed once writeLoop has ended and the connection is closed.
	done chan struct{}

	// mu guards the rest.
	mu      sync.Mutex
	pending []byte
	// failed reports that a write failed; further data is dropped.
	failed bool
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{
		Conn:    conn,
		wake:    make(chan struct{}, 1),
		flushed: make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// Write buffers data for writeLoop. It never returns an error: a failed write
// makes reads fail, and later data is dropped. A session therefore always ends
// from its read side, in one step. If it ended from elsewhere it would wait for
// its reader, and meanwhile each reader of a stream would spin in a loop that
// does not block.
func (c *coalescingConn) Write(data []byte) (int, error) {
	for !c.enqueue(data) {
		select {
		case <-c.flushed:
		case <-c.closing:
			return len(data), nil
		}
	}
	return len(data), nil
}

// enqueue adds data to the buffer. It returns false if the buffer is full.
func (c *coalescingConn) enqueue(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return true
	}
	if len(c.pending) > 0 && len(c.pending)+len(data) > maxPendingBytes {
		return false
	}
	c.pending = append(c.pending, data...)
	notify(c.wake)
	return true
}

// stopReading makes current and future reads fail.
func (c *coalescingConn) stopReading() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// writeLoop writes buffered data until the connection closes or fails.
func (c *coalescingConn) writeLoop() {
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
			c.stopReading()
			return
		}
	}
}

// flush writes the buffered data. Only writeLoop calls it.
func (c *coalescingConn) flush() error {
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
	notify(c.flushed)
	return err
}

// Close makes writeLoop write the buffered data, for at most flushTimeout, and
// close the connection. It does not wait for that, because the peer may be
// unresponsive.
func (c *coalescingConn) Close() error {
	c.closeOnce.Do(func() {
		c.stopReading()
		_ = c.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
		close(c.closing)
	})
	return nil
}

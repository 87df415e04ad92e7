package peer

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// silentConn takes nothing more once it is silent, like a connection to a peer behind
// a cut whose buffers are full.
type silentConn struct {
	net.Conn
	mu       sync.Mutex
	silent   bool
	deadline time.Time
}

func (c *silentConn) fallSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// SetWriteDeadline implements net.Conn.
func (c *silentConn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return nil
}

// Write implements net.Conn.
func (c *silentConn) Write(data []byte) (int, error) {
	for {
		c.mu.Lock()
		silent, deadline := c.silent, c.deadline
		c.mu.Unlock()
		if !silent {
			return c.Conn.Write(data)
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
}

// processorTime is what this process used so far.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// A stream's reader waits in a loop that does not block while its session is closing.
func TestASessionThatEndsTowardsASilentPeerTakesNoProcessorTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)

	quiet := yamux.DefaultConfig()
	quiet.EnableKeepAlive = false
	theirs, err := yamux.Client(dialed, quiet)
	assert.NilError(t, err)
	defer func() { _ = theirs.Close() }()
	conn := &silentConn{Conn: accepted}
	gathered := newCoalescing(conn)
	session, err := yamux.Server(gathered, quiet)
	assert.NilError(t, err)
	c := &connection{Session: session, conn: gathered}

	var readers sync.WaitGroup
	for range 4 {
		stream, err := theirs.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write([]byte("x"))
		assert.NilError(t, err)
		mine, err := c.AcceptStream()
		assert.NilError(t, err)
		var one [1]byte
		_, err = mine.Read(one[:])
		assert.NilError(t, err)
		readers.Go(func() {
			var rest [1]byte
			_, _ = mine.Read(rest[:])
		})
		conn.fallSilent()
		_, _ = mine.Write([]byte("pending"))
		conn.mu.Lock()
		conn.silent = false
		conn.mu.Unlock()
	}
	conn.fallSilent()
	last, err := theirs.OpenStream()
	assert.NilError(t, err)
	mine, err := c.AcceptStream()
	assert.NilError(t, err)
	_, _ = mine.Write([]byte("never sent"))
	_ = last

	before := processorTime(t)
	c.end()
	<-c.CloseChan()
	readers.Wait()
	used := processorTime(t) - before
	<-gathered.done
	assert.Assert(t, used < flushWithin/4, "%v of processor time while the last bytes wait %v", used, flushWithin)
}

package inbound

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writePieceBytes is the part of a response that has to be sent within StallTimeout.
const writePieceBytes = 16 << 10

// Conn is a connection of a group.
type Conn struct {
	net.Conn
	group *Group
	phase atomic.Int32
	// progressAt is when the connection last made progress, in nanoseconds since the group was
	// made; pending are the bytes since then.
	progressAt, pending atomic.Int64
	// unread is set while the body of the request in progress has not been read.
	unread atomic.Bool

	// deadlineMu is held while the read deadline is set, so that a shutdown limits the newest one.
	deadlineMu sync.Mutex
	// wantedDeadline is the read deadline that was asked for last.
	wantedDeadline time.Time
}

// SetReadDeadline implements net.Conn. During a shutdown, a client that has not sent its whole request
// gets no later deadline than drainTimeout: the server sets its own for the headers at any time.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.wantedDeadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// limitDeadline applies the bound of a shutdown, or lifts it once the request is complete.
func (c *Conn) limitDeadline() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	_ = c.applyDeadline() // a connection that is closed needs none
}

// applyDeadline sets the read deadline. The caller holds deadlineMu.
func (c *Conn) applyDeadline() error {
	t := c.wantedDeadline
	if p := phase(c.phase.Load()); c.group.draining.Load() && (p == phaseWaiting || p == phaseReceiving) {
		if latest := time.Now().Add(drainTimeout); t.IsZero() || t.After(latest) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn. A client that does not read its response fails the write. The writes of
// a session have the deadlines of the session.
func (c *Conn) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == phaseSession {
		return c.Conn.Write(p)
	}
	before := c.phase.Swap(int32(phaseSending))
	defer c.phase.Store(before)
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.group.stallTimeout())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if c.count(n); err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side, so that the client sees the end of its response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.group.remove(c)
	return c.Conn.Close()
}

// BeginSession notes that the connection carries a session between instances.
func (c *Conn) BeginSession() { c.enter(phaseSession) }

// count adds bytes that were received or sent.
func (c *Conn) count(n int) {
	if c.pending.Add(int64(n)) >= progressBytes {
		c.progress()
	}
}

func (c *Conn) progress() {
	c.pending.Store(0)
	c.progressAt.Store(int64(c.group.now()))
}

// enter changes the phase, which counts as progress.
func (c *Conn) enter(p phase) {
	c.phase.Store(int32(p))
	c.progress()
	if c.group.draining.Load() {
		c.limitDeadline()
	}
}

func (c *Conn) state(now time.Duration) connState {
	return connState{phase: phase(c.phase.Load()), still: now - time.Duration(c.progressAt.Load())}
}

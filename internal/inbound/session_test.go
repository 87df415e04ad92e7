package inbound

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"testing/iotest"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// frame returns a frame of yamux with a payload.
func frame(kind byte, flags uint16, stream uint32, payload int) []byte {
	header := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	header = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(header, stream), uint32(payload))
	if kind != frameTypeData {
		return header
	}
	return append(header, make([]byte, payload)...)
}

// readConn is a connection that reads from a reader.
type readConn struct {
	net.Conn
	io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (readConn) Close() error                 { return nil }

func TestSessionsHoldTheBytesOfTheirMessages(t *testing.T) {
	const size = sessionBytes
	pool := NewPool(t.Name(), 100*size, 10, zap.NewNop())
	reader, writer := io.Pipe()
	session := pool.NewSession(readConn{Reader: iotest.OneByteReader(reader)})
	arrives := func(frames ...[]byte) {
		for _, f := range frames {
			go func() { _, _ = writer.Write(f) }()
			_, err := io.ReadFull(session, make([]byte, len(f)))
			assert.NilError(t, err)
		}
	}
	arrives(frame(frameTypeWindow, frameOpens, 1, size), frame(frameTypeData, 0, 1, size))
	assert.Equal(t, pool.inUse(), int64(messageCopies*size-sessionBytes), "of an unfinished message")
	session.Finish(1)
	assert.Equal(t, pool.inUse(), int64(messageCopies*size), "of a message that is being handled")
	session.Release(1)
	assert.Equal(t, pool.inUse(), int64(0), "of a message that was handled")
	arrives(frame(frameTypeData, 0, 1, size))
	assert.Equal(t, pool.inUse(), int64(messageCopies*size-sessionBytes), "of a stream that has ended")
	arrives(frame(frameTypeData, frameOpens, 3, size))
	session.Finish(3)
	assert.NilError(t, session.Close())
	assert.Equal(t, pool.inUse(), int64(0), "of a session that has ended")
}

func TestASessionWithoutRoomEnds(t *testing.T) {
	const size = 4 * sessionBytes
	pool := NewPool(t.Name(), size, 10, zap.NewNop())
	handled := newHolder(func() {})
	handled.complete = true
	pool.take(handled, size)
	reader, writer := io.Pipe()
	session := pool.NewSession(readConn{Reader: reader})
	go func() { _, _ = writer.Write(frame(frameTypeData, frameOpens, 1, size)) }()
	_, err := io.Copy(io.Discard, struct{ io.Reader }{session})
	assert.Assert(t, errors.Is(err, ErrNoRoom), "%v", err)
	assert.NilError(t, session.Close())
	assert.Equal(t, pool.inUse(), int64(size))
}

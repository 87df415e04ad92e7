package peer_test

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/peer"
)

// countDials counts the connections that a node makes or takes.
func countDials(count *atomic.Int64) func(net.Conn) net.Conn {
	return func(conn net.Conn) net.Conn {
		count.Add(1)
		return conn
	}
}

// lossy loses what is written while cut is set, as a network does that neither
// delivers nor says so.
type lossy struct {
	net.Conn
	cut *atomic.Bool
}

// Write implements net.Conn.
func (l lossy) Write(data []byte) (int, error) {
	if l.cut.Load() {
		return len(data), nil
	}
	return l.Conn.Write(data)
}

func TestSilentCutIsNoticedAndHealed(t *testing.T) {
	var cut atomic.Bool
	var connections atomic.Int64
	addresses := book{}
	a := startNode(t, addresses, peer.Options{
		Instance: "a", Limits: peer.Limits{IOTimeout: 100 * time.Millisecond},
		WrapConn: func(conn net.Conn) net.Conn {
			connections.Add(1)
			return lossy{conn, &cut}
		},
	})
	startNode(t, addresses, peer.Options{Instance: "b"})
	callUntilAnswered(t, a, "b")
	cut.Store(true)
	ctx, cancel := contextWithin(t, 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, "b", configQuery(1))
	assert.Equal(t, api.KindOf(err), api.KindResultUnknown, "%v", err)
	// The probe that follows finds nobody and closes the connection, so that a
	// later call needs a new one.
	for api.KindOf(err) != api.KindNotReady {
		ctx, cancel := contextWithin(t, 50*time.Millisecond)
		_, err = a.Call(ctx, "b", configQuery(1))
		cancel()
		assert.Assert(t, err != nil)
	}
	cut.Store(false)
	callUntilAnswered(t, a, "b")
	assert.Assert(t, connections.Load() > 1)
}

// frame returns the bytes of a message with its length.
func frame(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	assert.NilError(t, err)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

func TestStrangeConnectionsAreClosedAndHarmNothing(t *testing.T) {
	cases := map[string][]byte{
		"a handshake that names nobody":    frame(t, &peerpb.Request{Incarnation: 1}),
		"a length beyond any handshake":    binary.BigEndian.AppendUint32(nil, 1<<31),
		"bytes that are no message":        append(binary.BigEndian.AppendUint32(nil, 4), 0xff, 0xff, 0xff, 0xff),
		"another protocol":                 []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"a handshake and then no session":  append(frame(t, &peerpb.Request{From: "x", Incarnation: 1}), 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9),
		"a handshake that is cut off":      frame(t, &peerpb.Request{From: "x", Incarnation: 1})[:5],
		"nothing at all until it gives up": nil,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			addresses := book{}
			a := startNode(t, addresses, peer.Options{Instance: "a", Limits: peer.Limits{DialTimeout: 200 * time.Millisecond}})
			startNode(t, addresses, peer.Options{Instance: "b"})
			stranger, err := net.Dial("tcp", addresses["a"])
			assert.NilError(t, err)
			defer func() { _ = stranger.Close() }()
			_, err = stranger.Write(sent)
			assert.NilError(t, err)
			assert.NilError(t, stranger.SetReadDeadline(time.Now().Add(time.Minute)))
			closed := false
			for buffer := make([]byte, 256); !closed; {
				_, err := stranger.Read(buffer)
				closed = err != nil
			}
			callUntilAnswered(t, a, "b")
		})
	}
}

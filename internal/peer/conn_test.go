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

// countConnections counts the connections that a node opens or accepts.
func countConnections(count *atomic.Int64) func(net.Conn) net.Conn {
	return func(conn net.Conn) net.Conn {
		count.Add(1)
		return conn
	}
}

// lossyConn drops written data while partitioned is set, as a network does that
// neither delivers data nor reports an error.
type lossyConn struct {
	net.Conn
	partitioned *atomic.Bool
}

// Write implements net.Conn.
func (c lossyConn) Write(data []byte) (int, error) {
	if c.partitioned.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func TestSilentCutIsNoticedAndHealed(t *testing.T) {
	var partitioned atomic.Bool
	var connections atomic.Int64
	addresses := addressBook{}
	a := startNode(t, addresses, peer.Options{
		Instance: "a", Limits: peer.Limits{IOTimeout: 100 * time.Millisecond},
		WrapConn: func(conn net.Conn) net.Conn {
			connections.Add(1)
			return lossyConn{conn, &partitioned}
		},
	})
	startNode(t, addresses, peer.Options{Instance: "b"})
	callUntilAnswered(t, a, "b")
	partitioned.Store(true)
	ctx, cancel := contextWithin(t, 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, "b", configQuery(1))
	assert.Equal(t, api.KindOf(err), api.KindResultUnknown, "%v", err)
	// The ping that follows is not answered and closes the connection, so that
	// a later call needs a new one.
	for api.KindOf(err) != api.KindNotReady {
		ctx, cancel := contextWithin(t, 50*time.Millisecond)
		_, err = a.Call(ctx, "b", configQuery(1))
		cancel()
		assert.Assert(t, err != nil)
	}
	partitioned.Store(false)
	callUntilAnswered(t, a, "b")
	assert.Assert(t, connections.Load() > 1)
}

// encodeFrame returns a message with its length prefix.
func encodeFrame(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	assert.NilError(t, err)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

func TestInvalidConnectionsAreClosedAndOthersStillWork(t *testing.T) {
	cases := map[string][]byte{
		"handshake without an instance id":           encodeFrame(t, &peerpb.Request{Incarnation: 1}),
		"length beyond the handshake limit":          binary.BigEndian.AppendUint32(nil, 1<<31),
		"bytes that are not a message":               append(binary.BigEndian.AppendUint32(nil, 4), 0xff, 0xff, 0xff, 0xff),
		"another protocol":                           []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"handshake followed by invalid session data": append(encodeFrame(t, &peerpb.Request{From: "x", Incarnation: 1}), 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9),
		"truncated handshake":                        encodeFrame(t, &peerpb.Request{From: "x", Incarnation: 1})[:5],
		"no data until the timeout":                  nil,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			addresses := addressBook{}
			a := startNode(t, addresses, peer.Options{Instance: "a", Limits: peer.Limits{DialTimeout: 200 * time.Millisecond}})
			startNode(t, addresses, peer.Options{Instance: "b"})
			client, err := net.Dial("tcp", addresses["a"])
			assert.NilError(t, err)
			defer func() { _ = client.Close() }()
			_, err = client.Write(sent)
			assert.NilError(t, err)
			assert.NilError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
			closed := false
			for buffer := make([]byte, 256); !closed; {
				_, err := client.Read(buffer)
				closed = err != nil
			}
			callUntilAnswered(t, a, "b")
		})
	}
}

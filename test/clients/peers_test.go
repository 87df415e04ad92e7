package clients

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

const streamsPerSession = 4

// largeMessage is a message between instances without its last byte.
var largeMessage = append(binary.BigEndian.AppendUint32(nil, mb), make([]byte, mb-1)...)

// shortMessages introduces itself as an instance, opens streams, and sends on each a message
// without its last byte.
func shortMessages(conn net.Conn, number int) {
	hello, err := proto.Marshal(&peerpb.Request{From: fmt.Sprintf("stranger-%d", number), Incarnation: 1})
	if err != nil {
		return
	}
	_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(hello))), hello...))
	length := make([]byte, 4)
	if _, err := io.ReadFull(conn, length); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(length))); err != nil {
		return
	}
	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive = io.Discard, false
	session, err := yamux.Client(conn, config)
	if err != nil {
		return
	}
	for range streamsPerSession {
		go func() {
			if stream, err := session.OpenStream(); err == nil {
				_, _ = stream.Write(largeMessage)
			}
		}()
	}
	<-session.CloseChan()
}

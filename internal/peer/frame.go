package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

// lengthBytes is the size of the length prefix of a message.
const lengthBytes = 4

var errTooLarge = errors.New("message exceeds the limit")

// writeMessage writes message with its length prefix in one call.
func writeMessage(w io.Writer, message proto.Message, limit int) error {
	size := proto.Size(message)
	if size > limit {
		return fmt.Errorf("%w: %d of %d bytes", errTooLarge, size, limit)
	}
	frame := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// readMessage reads one message written by writeMessage.
func readMessage(r io.Reader, message proto.Message, limit int) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(limit) {
		return fmt.Errorf("%w: %d of %d bytes", errTooLarge, size, limit)
	}
	data, err := readGrowing(r, int(size))
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, message)
}

// firstReadBytes is the size of the first buffer for a message.
const firstReadBytes = 8 << 10

// readGrowing reads a number of bytes into a buffer that grows with what has arrived, so that a
// message that is only announced takes no memory.
func readGrowing(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, min(size, firstReadBytes))
	for filled := 0; ; {
		n, err := io.ReadFull(r, data[filled:])
		if filled += n; err != nil {
			return nil, err
		}
		if filled == size {
			return data, nil
		}
		larger := make([]byte, min(size, 2*len(data)))
		copy(larger, data)
		data = larger
	}
}

// maxHandshakeBytes bounds a handshake message.
const maxHandshakeBytes = 1 << 10

// handshake exchanges instance ids and incarnations with the peer, as a Request
// without a body in each direction, and returns those of the peer. The dialer
// sends first and the other side responds, which confirms to the dialer that
// its messages arrive.
func (n *Node) handshake(conn net.Conn, dialer bool) (string, int64, error) {
	if err := conn.SetDeadline(time.Now().Add(n.limits.DialTimeout)); err != nil {
		return "", 0, err
	}
	var remote peerpb.Request
	receive := func() error { return readMessage(conn, &remote, maxHandshakeBytes) }
	send := func() error {
		local := &peerpb.Request{From: n.options.Instance, Incarnation: n.options.Incarnation}
		return writeMessage(conn, local, maxHandshakeBytes)
	}
	steps := []func() error{receive, send}
	if dialer {
		steps = []func() error{send, receive}
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return "", 0, err
		}
	}
	if remote.GetFrom() == "" {
		return "", 0, errors.New("the other side names no instance")
	}
	return remote.GetFrom(), remote.GetIncarnation(), conn.SetDeadline(time.Time{})
}

// yamuxLogger forwards the messages of yamux to the log of this process.
type yamuxLogger struct{ logger *zap.Logger }

// Print implements yamux.Logger.
func (l yamuxLogger) Print(v ...any) { l.logger.Debug("yamux", zap.String("detail", fmt.Sprint(v...))) }

// Printf implements yamux.Logger.
func (l yamuxLogger) Printf(format string, v ...any) {
	l.logger.Debug("yamux", zap.String("detail", fmt.Sprintf(format, v...)))
}

// Println implements yamux.Logger.
func (l yamuxLogger) Println(v ...any) { l.Print(v...) }

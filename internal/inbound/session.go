package inbound

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"
)

// The header of a frame of yamux: version, type, flags, stream and length. Only frames of data are
// followed by as many bytes as their length says.
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameFlagsAt     = 2
	frameStreamAt    = 4
	frameLengthAt    = 8
	frameTypeData    = 0
	frameTypeWindow  = 1
	// frameOpens is the flag of the first frame of a stream.
	frameOpens = 1
)

const (
	// roomTimeout bounds the pause of a session that has no room; after it the session ends. It is above
	// the time after which stalled sessions are evicted.
	roomTimeout = 3 * stalledAfter / 2
	roomPoll    = 20 * time.Millisecond
)

// messageCopies counts the copies of a message that arrives: in the session and in its buffer.
const messageCopies = 2

// lateAfter is the time after which bytes for streams that have ended are no longer held by yamux.
const lateAfter = 10 * time.Second

// Session bounds what the messages of one session between instances hold, from the moment that they
// are read from the connection. Yamux itself holds up to its window for each stream, and the streams
// of a session are many. A session without room is not read from for a while, and then ends; an
// evicted one ends at once.
type Session struct {
	net.Conn
	pool *Pool
	// unfinished holds the bytes of messages that are not complete, beyond sessionBytes; finished
	// those of messages that are being handled.
	unfinished, finished *holder

	// Only Read uses these: the header of the next frame and its length so far, and the bytes of
	// data that follow the last one.
	header   [frameHeaderBytes]byte
	headerAt int
	data     uint32

	mu sync.Mutex // guards the rest
	// streams holds the bytes of each open stream.
	streams map[uint32]*streamBytes
	// late holds the bytes that arrived for streams that had ended, the last one at lateAt.
	late                           int64
	lateAt                         time.Time
	unfinishedBytes, finishedBytes int64
	// beyond is set while the pool holds unfinished bytes.
	beyond bool
	ended  bool
}

type streamBytes struct {
	bytes    int64
	finished bool
}

// NewSession returns the connection of a session whose messages hold bytes of the pool.
func (p *Pool) NewSession(conn net.Conn) *Session {
	s := &Session{Conn: conn, pool: p, streams: make(map[uint32]*streamBytes)}
	interrupt := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }
	s.unfinished, s.finished = newHolder(interrupt), newHolder(interrupt)
	s.finished.complete = true
	return s
}

// Read implements net.Conn.
func (s *Session) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if s.data > 0 {
			taken := min(uint32(len(rest)), s.data)
			s.data -= taken
			rest = rest[taken:]
			continue
		}
		copied := copy(s.header[s.headerAt:], rest)
		s.headerAt += copied
		if rest = rest[copied:]; s.headerAt < frameHeaderBytes {
			break
		}
		s.headerAt = 0
		if reserveErr := s.begin(); reserveErr != nil {
			return 0, reserveErr
		}
	}
	s.pool.advance(s.unfinished, n)
	return n, err
}

// begin notes the frame of a header.
func (s *Session) begin() error {
	kind, stream := s.header[frameTypeAt], binary.BigEndian.Uint32(s.header[frameStreamAt:])
	if kind != frameTypeData && kind != frameTypeWindow {
		return nil
	}
	if binary.BigEndian.Uint16(s.header[frameFlagsAt:])&frameOpens != 0 {
		s.Open(stream)
	}
	if kind != frameTypeData {
		return nil
	}
	s.data = binary.BigEndian.Uint32(s.header[frameLengthAt:])
	err := s.arrives(stream, messageCopies*int64(s.data))
	for waited := time.Duration(0); errors.Is(err, ErrNoRoom) && !errors.Is(err, errEvicted) && waited < roomTimeout; waited += roomPoll {
		time.Sleep(roomPoll)
		err = s.retry()
	}
	return err
}

// retry reserves again what there was no room for.
func (s *Session) retry() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserve()
}

// arrives counts the bytes of a frame.
func (s *Session) arrives(stream uint32, bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late > 0 && time.Since(s.lateAt) >= lateAfter {
		s.unfinishedBytes -= s.late
		s.late = 0
	}
	if counted := s.streams[stream]; counted == nil {
		s.late += bytes
		s.lateAt = time.Now()
	} else {
		counted.bytes += bytes
		if counted.finished {
			s.finishedBytes += bytes
			s.pool.take(s.finished, s.finishedBytes)
			return nil
		}
	}
	s.unfinishedBytes += bytes
	return s.reserve()
}

// reserve reserves what unfinished messages hold. The caller holds mu.
func (s *Session) reserve() error {
	bytes := s.unfinishedBytes - sessionBytes
	switch {
	case s.ended:
		return net.ErrClosed
	case bytes > 0:
		s.beyond = true
		return s.pool.reserve(s.unfinished, bytes)
	case s.beyond:
		s.beyond = false
		s.pool.restart(s.unfinished)
	}
	return nil
}

// Open notes that a stream was opened, by either side.
func (s *Session) Open(stream uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[stream] == nil {
		s.streams[stream] = &streamBytes{}
	}
}

// Finish notes that the message on a stream is complete.
func (s *Session) Finish(stream uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := s.streams[stream]
	if s.ended || counted == nil || counted.finished {
		return
	}
	counted.finished = true
	s.unfinishedBytes -= counted.bytes
	s.finishedBytes += counted.bytes
	_ = s.reserve() // it shrinks
	s.pool.take(s.finished, s.finishedBytes)
}

// Release notes that the message on a stream is no longer held.
func (s *Session) Release(stream uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := s.streams[stream]
	if s.ended || counted == nil {
		return
	}
	delete(s.streams, stream)
	if counted.finished {
		s.finishedBytes -= counted.bytes
		s.pool.take(s.finished, s.finishedBytes)
		return
	}
	s.unfinishedBytes -= counted.bytes
	_ = s.reserve() // it shrinks
}

// Close implements net.Conn.
func (s *Session) Close() error {
	s.mu.Lock()
	s.ended = true
	s.pool.free(s.unfinished)
	s.pool.free(s.finished)
	s.mu.Unlock()
	return s.Conn.Close()
}

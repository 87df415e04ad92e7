package inbound

import "time"

const (
	mb = 1 << 20
	// connectionBytes is what one connection may hold: its goroutine, the server's buffers,
	// headers, the receive queue and a small body.
	connectionBytes = 64 << 10
	// connectionShare and bodyShare are the parts of the memory for connections and for bodies,
	// as divisors. Messages of peers have a share of their own, as large as that of bodies.
	connectionShare = 4
	bodyShare       = 8
	// OperatorConnections bounds the connections of an address for readiness or metrics.
	OperatorConnections = 64
	// OtherDescriptors is the number of descriptors for files, the runtime, the store, readiness
	// and metrics.
	OtherDescriptors = 200 + 2*OperatorConnections
	// maxPeerConnections applies if the descriptors do not bound them further.
	maxPeerConnections = 1024
)

const (
	// smallBodyBytes is the part of a body that its connection covers.
	smallBodyBytes = 8 << 10
	// CallerReceiveBytes is the size of the receive queue that is requested for a connection of a
	// caller.
	CallerReceiveBytes = 16 << 10
	// PeerReceiveBytes is the same for peers, which exchange large messages over long distances.
	PeerReceiveBytes = 64 << 10
	// sessionBytes is what unfinished messages of a session hold without room in the pool.
	sessionBytes = 64 << 10
	// idleSessionAfter is the time without progress after which a session between instances is closed
	// in favor of a new connection.
	idleSessionAfter = 10 * time.Second
	// progressBytes is what has to arrive or be sent to count as progress, so that a client that
	// sends a byte at a time does not count as one that makes progress.
	progressBytes = 512
	// stalledAfter is the time without progress after which a body is evicted if room is needed.
	stalledAfter = time.Second
	// slowAfter is the age from which a body is evicted if it arrives at less than slowRate bytes
	// per second and room is needed.
	slowAfter = 3 * time.Second
	slowRate  = 16 << 10
	// StallTimeout is the time without progress after which a body is not waited for and a
	// response is given up; drainTimeout is the same during a shutdown.
	StallTimeout = 6 * time.Second
	drainTimeout = 500 * time.Millisecond
	// lingerTimeout is how long the rest of a refused body is read and discarded. A connection
	// closed with unread bytes is reset, which can drop the response on its way.
	lingerTimeout = 500 * time.Millisecond
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
)

// LargeBodies returns how many bodies of callers may hold more than the part that their connections
// cover. The other connections are left for small requests.
func (l Limits) LargeBodies() int { return max(1, l.Connections/2) }

// Limits bounds what clients can make a process hold.
type Limits struct {
	// Connections bounds the open connections of callers, PeerConnections those of peers.
	Connections, PeerConnections int
	// BodyBytes bounds what bodies of callers hold beyond the part that their connections
	// cover, PeerBytes what messages of peers hold. One body or message alone always fits.
	BodyBytes, PeerBytes int64
}

// Derive returns the limits for a process with an amount of memory.
func Derive(memoryMB int64) Limits {
	memory := memoryMB * mb
	return Limits{
		Connections: max(1, int(memory/connectionShare/connectionBytes)), PeerConnections: maxPeerConnections,
		BodyBytes: memory / bodyShare, PeerBytes: memory / bodyShare,
	}
}

// Within returns the limits with connections of callers and of peers within a number of
// descriptors, half of them each.
func (l Limits) Within(descriptors int) Limits {
	l.Connections = max(1, min(l.Connections, descriptors/2))
	l.PeerConnections = max(1, descriptors/2)
	return l
}

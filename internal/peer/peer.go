// Package peer carries calls between entry instances: protobuf messages over
// yamux streams on one TCP connection for each pair of instances.
package peer

import (
	"context"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

// Caller calls other instances. Implementations are safe for concurrent use.
type Caller interface {
	// Call sends request to the instance of the given id and waits for its
	// response within ctx. An error of the remote side comes back as an error
	// of its kind. KindConflict or KindNotFound are the remote's own;
	// KindNoPlacer, KindStopping and the like too. A call that did not reach
	// the instance has KindNotReady; one whose response was lost has
	// KindResultUnknown.
	Call(ctx context.Context, instance string, request *peerpb.Request) (*peerpb.Response, error)
}

// Handler answers calls of other instances. It is called concurrently.
type Handler interface {
	// Handle returns the response to request. An error becomes an error
	// response of its kind.
	Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error)
}

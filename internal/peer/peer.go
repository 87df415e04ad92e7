// Package peer implements calls between entry instances: protobuf messages over
// yamux streams on one TCP connection for each pair of instances.
package peer

import (
	"context"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

// Caller calls other instances. Implementations are safe for concurrent use.
type Caller interface {
	// Call sends request to the instance with the given id and waits for its
	// response within ctx. An error of the remote handler is returned as an
	// error of the same kind, for example KindConflict, KindNotFound,
	// KindNoPlacer or KindStopping. A call that did not reach the instance
	// fails with KindNotReady, one whose response was lost with
	// KindResultUnknown.
	Call(ctx context.Context, instance string, request *peerpb.Request) (*peerpb.Response, error)
}

// Handler handles calls of other instances. It is called concurrently.
type Handler interface {
	// Handle returns the response to request. An error is sent to the caller as
	// an error response of its kind.
	Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error)
}

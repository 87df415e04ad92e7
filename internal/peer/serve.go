package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

// serveSession accepts the peer's streams until the session ends.
func (n *Node) serveSession(instance string, c *connection) {
	defer n.goroutines.Done()
	defer func() { <-c.conn.done }() // wait until the last bytes are written or dropped
	defer n.forget(instance)
	defer n.untrack(c)
	defer c.terminate()
	for {
		stream, err := c.AcceptStream()
		if err != nil {
			n.logger.Debug("session ended", zap.String("peer", instance), zap.Error(err))
			return
		}
		if n.readerPool.Go(func() { n.readRequest(instance, c, stream) }) != nil {
			n.rejectCall(c, stream)
		}
	}
}

// readRequest reads one request from its stream and passes it to the pool for
// its type, so that long forwarded work never delays state messages.
func (n *Node) readRequest(instance string, c *connection, stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(n.limits.IOTimeout))
	var request peerpb.Request
	if err := readMessage(stream, &request, n.limits.MaxMessageBytes); err != nil {
		n.logger.Debug("request", zap.String("peer", instance), zap.Error(err))
		c.end(stream)
		return
	}
	c.held.Finish(stream.StreamID())
	if request.GetFrom() != instance {
		n.writeResponse(c, stream, errorResponse(api.NewError(api.KindInvalidField, "request of %q on the connection of %q", request.GetFrom(), instance)))
		return
	}
	if n.poolFor(&request).Go(func() { n.handle(c, stream, &request) }) != nil {
		n.rejectCall(c, stream)
	}
}

func (n *Node) poolFor(request *peerpb.Request) pond.Pool {
	switch request.GetBody().(type) {
	case *peerpb.Request_State, *peerpb.Request_Config, *peerpb.Request_Slots:
		return n.controlPool
	default:
		return n.workPool
	}
}

// rejectCall answers a call that will not be handled.
func (n *Node) rejectCall(c *connection, stream *yamux.Stream) {
	n.writeResponse(c, stream, errorResponse(api.NewError(api.KindQueueFull, "too many calls from peers")))
}

// handle runs the handler. The handler's context ends when the node closes, or
// when the caller cancels the call and thereby closes the stream.
func (n *Node) handle(c *connection, stream *yamux.Stream, request *peerpb.Request) {
	if blocksDrain(request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	watcherDone := make(chan struct{})
	_ = stream.SetReadDeadline(time.Time{})
	go func() {
		defer close(watcherDone)
		var buffer [1]byte
		_, _ = stream.Read(buffer[:])
		cancel()
	}()
	response := n.callHandler(ctx, request)
	n.writeResponse(c, stream, response)
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	<-watcherDone
}

// blocksDrain reports whether a shutdown must wait for the call: whether it is
// work, as opposed to a query that may wait long for a change.
func blocksDrain(request *peerpb.Request) bool {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Execute:
		return true
	case *peerpb.Request_Job:
		return body.Job.GetOp() == "submit" || body.Job.GetOp() == "cancel"
	default:
		return false
	}
}

// drainPollInterval is the time between the checks of Drain.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until no work forwarded by peers is being handled, or until ctx
// ends. The handler must refuse new work from before the call of Drain.
func (n *Node) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d calls of peers in flight: %w", n.inFlight.Load(), ctx.Err())
		}
	}
	return nil
}

// callHandler calls the handler and converts its result, or its panic, into a
// response. If the handler was cancelled before it finished, the result is
// unknown.
func (n *Node) callHandler(ctx context.Context, request *peerpb.Request) (response *peerpb.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			n.logger.Error("handler panic", zap.Any("cause", cause), zap.Stack("stack"))
			response = errorResponse(api.NewError(api.KindInternal, "the handler failed"))
		}
	}()
	response, err := n.options.Handler.Handle(ctx, request)
	if err != nil && ctx.Err() != nil && api.KindOf(err) == api.KindInternal {
		err = api.NewError(api.KindResultUnknown, "the handler was ended: %w", err)
	}
	if err != nil {
		return errorResponse(err)
	}
	if response == nil {
		return &peerpb.Response{}
	}
	return response
}

// writeResponse writes the response and closes the stream.
func (n *Node) writeResponse(c *connection, stream *yamux.Stream, response *peerpb.Response) {
	_ = stream.SetWriteDeadline(time.Now().Add(n.limits.IOTimeout))
	if err := writeMessage(stream, response, n.limits.MaxMessageBytes); err != nil {
		n.logger.Debug("response", zap.Error(err))
	}
	c.end(stream)
}

// end closes a stream, whose message is no longer held.
func (c *connection) end(stream *yamux.Stream) {
	_ = stream.Close()
	c.held.Release(stream.StreamID())
}

func errorResponse(err error) *peerpb.Response {
	retryAfter := api.RetryAfterS(err) * float64(time.Second/time.Millisecond)
	return &peerpb.Response{ErrorKind: string(api.KindOf(err)), Message: err.Error(), RetryAfterMs: int64(retryAfter)}
}

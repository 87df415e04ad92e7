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

// serveSession takes the peer's streams until the session ends.
func (n *Node) serveSession(instance string, c *connection) {
	defer n.duties.Done()
	defer func() { <-c.conn.done }() // the last bytes are written, or given up
	defer n.untrack(c)
	defer c.end()
	for {
		stream, err := c.AcceptStream()
		if err != nil {
			n.logger.Debug("session ended", zap.String("peer", instance), zap.Error(err))
			return
		}
		if n.readers.Go(func() { n.read(instance, stream) }) != nil {
			n.refuse(stream)
		}
	}
}

// read takes one request off its stream and hands it to the pool of its kind,
// so that long forwarded work never holds up state messages.
func (n *Node) read(instance string, stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(n.limits.IOTimeout))
	var request peerpb.Request
	if err := readMessage(stream, &request, n.limits.MaxMessageBytes); err != nil {
		n.logger.Debug("request", zap.String("peer", instance), zap.Error(err))
		_ = stream.Close()
		return
	}
	if request.GetFrom() != instance {
		n.answer(stream, errorResponse(api.NewError(api.KindInvalidField, "request of %q on the connection of %q", request.GetFrom(), instance)))
		return
	}
	if n.poolFor(&request).Go(func() { n.handle(stream, &request) }) != nil {
		n.refuse(stream)
	}
}

func (n *Node) poolFor(request *peerpb.Request) pond.Pool {
	switch request.GetBody().(type) {
	case *peerpb.Request_State, *peerpb.Request_Config, *peerpb.Request_Slots:
		return n.control
	default:
		return n.work
	}
}

// refuse answers a call that was not handled and will not be.
func (n *Node) refuse(stream *yamux.Stream) {
	n.answer(stream, errorResponse(api.NewError(api.KindQueueFull, "too many calls from peers")))
}

// handle runs the handler. Its context ends when the node closes or the caller
// gives up, which closes the stream.
func (n *Node) handle(stream *yamux.Stream, request *peerpb.Request) {
	if finishes(request) {
		n.underWay.Add(1)
		defer n.underWay.Add(-1)
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	watched := make(chan struct{})
	_ = stream.SetReadDeadline(time.Time{})
	go func() {
		defer close(watched)
		var rest [1]byte
		_, _ = stream.Read(rest[:])
		cancel()
	}()
	response := n.respond(ctx, request)
	n.answer(stream, response)
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	<-watched
}

// finishes reports whether a shutdown has to wait for the call: it is work, and
// not a question that may wait long for news.
func finishes(request *peerpb.Request) bool {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Execute:
		return true
	case *peerpb.Request_Job:
		return body.Job.GetOp() == "submit" || body.Job.GetOp() == "cancel"
	default:
		return false
	}
}

// drainPoll is how often Drain looks.
const drainPoll = 10 * time.Millisecond

// Drain waits until no work that peers forwarded is being handled, or ctx ends.
// The handler must refuse new work by then.
func (n *Node) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.underWay.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d calls of peers under way: %w", n.underWay.Load(), ctx.Err())
		}
	}
	return nil
}

// respond turns the handler's result, or its panic, into a response. What a
// handler that was ended in the middle has done is not known.
func (n *Node) respond(ctx context.Context, request *peerpb.Request) (response *peerpb.Response) {
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

// answer writes the response and closes the stream.
func (n *Node) answer(stream *yamux.Stream, response *peerpb.Response) {
	_ = stream.SetWriteDeadline(time.Now().Add(n.limits.IOTimeout))
	if err := writeMessage(stream, response, n.limits.MaxMessageBytes); err != nil {
		n.logger.Debug("response", zap.Error(err))
	}
	_ = stream.Close()
}

func errorResponse(err error) *peerpb.Response {
	retryAfter := api.RetryAfterS(err) * float64(time.Second/time.Millisecond)
	return &peerpb.Response{ErrorKind: string(api.KindOf(err)), Message: err.Error(), RetryAfterMs: int64(retryAfter)}
}

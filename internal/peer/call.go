package peer

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
)

// Call implements Caller.
func (n *Node) Call(ctx context.Context, instance string, request *peerpb.Request) (*peerpb.Response, error) {
	response, err := n.call(ctx, instance, request)
	countCall(err)
	return response, err
}

// countCall counts a call by the kind of its error, which is empty on success.
func countCall(err error) {
	kind := api.Kind("")
	if err != nil {
		kind = api.KindOf(err)
	}
	metrics.GetOrCreateCounter(`corianderbank_peer_calls_total{error_kind="` + string(kind) + `"}`).Inc()
}

func (n *Node) call(ctx context.Context, instance string, request *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := n.callContext(ctx)
	defer cancel()
	l := n.link(instance)
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return nil, errNotReady(instance, "too many calls under way: %w", ctx.Err())
	}
	message := n.withSender(request)
	if size := proto.Size(message); size > n.limits.MaxMessageBytes {
		return nil, api.NewError(api.KindBodyTooLarge, "peer %s: request of %d bytes", instance, size)
	}
	stream, c, err := n.openStream(ctx, l)
	if err != nil {
		return nil, err
	}
	c.held.Open(stream.StreamID())
	defer c.end(stream)
	response, err := n.exchange(ctx, instance, stream, message)
	if errors.Is(err, yamux.ErrTimeout) {
		n.probeConnection(c)
	}
	return response, err
}

func (n *Node) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.limits.CallTimeout)
}

// withSender returns a copy of request with this instance as its sender.
func (n *Node) withSender(request *peerpb.Request) *peerpb.Request {
	return &peerpb.Request{From: n.options.Instance, Incarnation: n.options.Incarnation, Body: request.GetBody()}
}

// maxOpenAttempts is how often a call tries to open a stream. The second
// attempt follows if the first connection turns out to be closed, when nothing
// has been sent yet.
const maxOpenAttempts = 2

// openStream opens a stream for one call. If it returns an error, nothing of
// the call has been sent.
func (n *Node) openStream(ctx context.Context, l *link) (*yamux.Stream, *connection, error) {
	var lastErr error
	for range maxOpenAttempts {
		c, err := n.acquireConnection(ctx, l)
		if err != nil {
			return nil, nil, err
		}
		stream, err := c.OpenStream()
		if err == nil {
			return stream, c, nil
		}
		lastErr = err
		l.drop(c)
	}
	return nil, nil, errNotReady(l.instance, "no stream: %v", lastErr)
}

// exchange sends the request and waits for the response. Once the first byte is
// sent, a failure leaves the result unknown.
func (n *Node) exchange(
	ctx context.Context, instance string, stream *yamux.Stream, request *peerpb.Request,
) (*peerpb.Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request, n.limits.MaxMessageBytes); err != nil {
		return nil, errResponseLost(instance, err)
	}
	var response peerpb.Response
	if err := readMessage(stream, &response, n.limits.MaxMessageBytes); err != nil {
		return nil, errResponseLost(instance, err)
	}
	if kind := response.GetErrorKind(); kind != "" {
		return nil, remoteError(instance, &response)
	}
	return &response, nil
}

func errResponseLost(instance string, err error) error {
	return api.NewError(api.KindResultUnknown, "peer %s: response lost: %w", instance, err)
}

// remoteError returns the error that the peer's handler returned.
func remoteError(instance string, response *peerpb.Response) error {
	kind := api.AnswerFor(api.Kind(response.GetErrorKind())).Kind
	err := api.NewError(kind, "peer %s: %w", instance, errors.New(response.GetMessage()))
	if after := response.GetRetryAfterMs(); after > 0 {
		err = api.WithRetryAfter(err, time.Duration(after)*time.Millisecond)
	}
	return err
}

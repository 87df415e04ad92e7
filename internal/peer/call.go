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

// countCall counts the calls by the kind of their error, empty for none.
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
	message := n.sign(request)
	if size := proto.Size(message); size > n.limits.MaxMessageBytes {
		return nil, api.NewError(api.KindBodyTooLarge, "peer %s: request of %d bytes", instance, size)
	}
	stream, c, err := n.open(ctx, l)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	response, err := n.exchange(ctx, instance, stream, message)
	if errors.Is(err, yamux.ErrTimeout) {
		n.suspect(c)
	}
	return response, err
}

func (n *Node) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.limits.CallTimeout)
}

// sign returns a copy of request that names this instance.
func (n *Node) sign(request *peerpb.Request) *peerpb.Request {
	return &peerpb.Request{From: n.options.Instance, Incarnation: n.options.Incarnation, Body: request.GetBody()}
}

// openAttempts is how often a call looks for a connection: a second time when
// the first proves closed, which nothing was sent on.
const openAttempts = 2

// open opens a stream for one call. Nothing of the call has left on an error.
func (n *Node) open(ctx context.Context, l *link) (*yamux.Stream, *connection, error) {
	var last error
	for range openAttempts {
		c, err := n.connection(ctx, l)
		if err != nil {
			return nil, nil, err
		}
		stream, err := c.OpenStream()
		if err == nil {
			return stream, c, nil
		}
		last = err
		l.drop(c)
	}
	return nil, nil, errNotReady(l.instance, "no stream: %v", last)
}

// exchange sends the request and waits for the response. From the first byte
// on, a failure leaves the result unknown.
func (n *Node) exchange(
	ctx context.Context, instance string, stream *yamux.Stream, request *peerpb.Request,
) (*peerpb.Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request, n.limits.MaxMessageBytes); err != nil {
		return nil, errLost(instance, err)
	}
	var response peerpb.Response
	if err := readMessage(stream, &response, n.limits.MaxMessageBytes); err != nil {
		return nil, errLost(instance, err)
	}
	if kind := response.GetErrorKind(); kind != "" {
		return nil, remoteError(instance, &response)
	}
	return &response, nil
}

func errLost(instance string, err error) error {
	return api.NewError(api.KindResultUnknown, "peer %s: response lost: %w", instance, err)
}

// remoteError rebuilds the error that the peer's handler returned.
func remoteError(instance string, response *peerpb.Response) error {
	kind := api.AnswerFor(api.Kind(response.GetErrorKind())).Kind
	err := api.NewError(kind, "peer %s: %w", instance, errors.New(response.GetMessage()))
	if after := response.GetRetryAfterMs(); after > 0 {
		err = api.WithRetryAfter(err, time.Duration(after)*time.Millisecond)
	}
	return err
}

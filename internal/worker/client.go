// Package worker implements the client of the workers of an availability zone.
package worker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
)

// Client calls workers by their address. Implementations are safe for
// concurrent use. An error has the kind that the worker returned, KindNotReady
// if the call definitely did not reach the worker, or KindResultUnknown if the
// answer was lost or has no kind, so that the call may have taken effect.
type Client interface {
	Reserve(ctx context.Context, addr string, call api.Reserve) error
	Start(ctx context.Context, addr string, call api.Start) error
	Release(ctx context.Context, addr string, call api.Release) error
	Stop(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error)
	Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error)
	Renew(ctx context.Context, addr string, call api.Renew) (api.WorkerReport, error)
}

// callTimeout limits a call that has no time limit of its own. It is short because
// workers answer from memory, and urgent work must start soon even if one of them
// does not respond.
const callTimeout = 2 * time.Second

// maxConnectionsPerWorker limits the connections to one worker.
const maxConnectionsPerWorker = 4

// HTTP is a Client that sends JSON over HTTP.
type HTTP struct {
	client *resty.Client
}

// NewHTTP returns a client that follows no redirects.
func NewHTTP() *HTTP {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnectionsPerWorker,
		MaxIdleConnsPerHost: maxConnectionsPerWorker,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
	}
	return &HTTP{client: resty.NewWithClient(&http.Client{Transport: transport}).SetRedirectPolicy(resty.NoRedirectPolicy())}
}

// Reserve implements Client.
func (c *HTTP) Reserve(ctx context.Context, addr string, call api.Reserve) error {
	return c.post(ctx, addr, "/v1/reserve", callTimeout, call, nil)
}

// Start implements Client.
func (c *HTTP) Start(ctx context.Context, addr string, call api.Start) error {
	return c.post(ctx, addr, "/v1/start", callTimeout, call, nil)
}

// Release implements Client.
func (c *HTTP) Release(ctx context.Context, addr string, call api.Release) error {
	return c.post(ctx, addr, "/v1/release", callTimeout, call, nil)
}

// Stop implements Client.
func (c *HTTP) Stop(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	var answer api.StopAnswer
	err := c.post(ctx, addr, "/v1/stop", stopTimeout(call), call, &answer)
	return answer, err
}

// Checkpoint implements Client.
func (c *HTTP) Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	var answer api.StopAnswer
	err := c.post(ctx, addr, "/v1/checkpoint", stopTimeout(call), call, &answer)
	return answer, err
}

// Renew implements Client.
func (c *HTTP) Renew(ctx context.Context, addr string, call api.Renew) (api.WorkerReport, error) {
	var report api.WorkerReport
	err := c.post(ctx, addr, "/v1/renew", callTimeout, call, &report)
	return report, err
}

func stopTimeout(call api.Stop) time.Duration {
	return time.Duration(call.WithinMS)*time.Millisecond + callTimeout
}

func (c *HTTP) post(ctx context.Context, addr, path string, timeout time.Duration, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var failure api.ErrorBody
	request := c.client.R().SetContext(ctx).SetBody(body).SetError(&failure)
	if result != nil {
		request.SetResult(result)
	}
	response, err := request.Post("http://" + addr + path)
	if err != nil {
		return transportError(addr, err)
	}
	if !response.IsError() {
		return nil
	}
	if failure.Kind == "" {
		return api.NewError(api.KindResultUnknown, "worker %s: status %d", addr, response.StatusCode())
	}
	return api.NewError(failure.Kind, "worker %s: %s", addr, failure.Message)
}

// NotExecuted reports whether err shows that the worker definitely did not carry out
// the call: the worker refused it, or the call was never sent.
func NotExecuted(err error) bool {
	switch api.KindOf(err) {
	case api.KindNotReady, api.KindStaleEpoch, api.KindNoCapacity, api.KindConflict, api.KindNotFound, api.KindInvalidField:
		return true
	}
	return false
}

// transportError distinguishes a call that was never sent, because the dial
// failed, from one whose answer was lost.
func transportError(addr string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return api.NewError(api.KindNotReady, "worker %s: %v", addr, err)
	}
	return api.NewError(api.KindResultUnknown, "worker %s: %v", addr, err)
}

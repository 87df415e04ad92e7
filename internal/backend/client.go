// Package backend sends requests to backend servers. It accepts only whole
// answers, that is complete ones that carry the id of the request sent.
package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// dialTimeout bounds a connection attempt, including one to another
// availability zone.
const dialTimeout = time.Second

// maxAnswerBytes bounds the size of a backend server's answer.
const maxAnswerBytes = 8 << 20

// Observer receives the state that a backend server reports with each answer:
// its id, its incarnation and whether it is leaving.
type Observer func(id string, incarnation int64, leaving bool)

// Client calls backend servers over HTTP. It is safe for concurrent use.
type Client struct {
	client  *resty.Client
	observe Observer
}

// NewClient returns a client that opens at most the given number of connections
// to each server. It does not follow redirects, because a redirected request
// could run twice.
func NewClient(connections int, observe Observer) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	client := resty.NewWithClient(&http.Client{Transport: transport}).SetResponseBodyLimit(maxAnswerBytes).
		SetRedirectPolicy(resty.NoRedirectPolicy())
	return &Client{client: client, observe: observe}
}

// Execute implements request.Backend.
func (c *Client) Execute(ctx context.Context, server model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	response, err := c.client.R().SetContext(ctx).SetHeader(api.HeaderRequestID, call.ID).SetBody(call).
		Post("http://" + server.Addr + "/v1/execute")
	if err != nil {
		return api.ExecuteAnswer{}, transportError(ctx, server, err)
	}
	c.observe(server.ID, server.Incarnation, response.Header().Get(api.HeaderLeaving) == "true")
	var answer api.ExecuteAnswer
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return answer, api.NewError(api.KindAnswerNotWhole, "backend server %s: %v", server.ID, err)
	}
	if answer.ID != call.ID || response.Header().Get(api.HeaderRequestID) != call.ID {
		return answer, api.NewError(api.KindAnswerNotWhole, "backend server %s answered request %q", server.ID, answer.ID)
	}
	return answer, answerError(server, response.StatusCode(), answer)
}

func answerError(server model.BackendServer, status int, answer api.ExecuteAnswer) error {
	switch {
	case answer.NotRun:
		return api.NewError(api.KindNoBackendServer, "backend server %s did not run it: %s", server.ID, answer.Message)
	case answer.Failed || status != http.StatusOK:
		return api.NewError(api.KindBackendFailed, "backend server %s: status %d: %s", server.ID, status, answer.Message)
	}
	return nil
}

// transportError distinguishes a call that was never sent, because the dial
// failed, from one that may have reached the server.
func transportError(ctx context.Context, server model.BackendServer, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return api.NewError(api.KindNotReady, "backend server %s: %v", server.ID, err)
	}
	if ctx.Err() != nil {
		return api.NewError(api.KindBackendTimeout, "backend server %s: %v", server.ID, err)
	}
	return api.NewError(api.KindAnswerNotWhole, "backend server %s: %v", server.ID, err)
}

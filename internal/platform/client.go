package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
)

// The bounds of the connections to the platform.
const (
	// callTimeout bounds one attempt; the store answers within milliseconds.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// maxConnections bounds the connections of one instance to the platform.
	maxConnections = 16
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 32 << 20
)

// HTTP speaks the platform's protocol over HTTP, one attempt a call. It is safe
// for concurrent use.
type HTTP struct {
	client    *resty.Client
	reachable atomic.Bool
}

var (
	_ Tables         = (*HTTP)(nil)
	_ Objects        = (*HTTP)(nil)
	_ InstanceLister = (*HTTP)(nil)
)

// NewHTTP returns an adapter to the platform at addr, an IP number and port.
func NewHTTP(addr string) *HTTP {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
	}
	client := resty.New().SetBaseURL("http://" + addr).SetTransport(transport)
	client.SetTimeout(callTimeout).SetResponseBodyLimit(maxAnswerBytes)
	adapter := &HTTP{client: client}
	adapter.reachable.Store(true)
	return adapter
}

// Reachable reports whether the last call was answered by the platform.
func (h *HTTP) Reachable() bool { return h.reachable.Load() }

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.GetClient().CloseIdleConnections() }

// Commit implements Tables with one attempt. An attempt that may have reached
// the store and was not answered is CommitUnknown.
func (h *HTTP) Commit(ctx context.Context, _ Purpose, tx api.Tx) CommitResult {
	var answer api.TxAnswer
	sent, err := h.post(ctx, "/v1/tables/commit", tx, &answer)
	if err == nil {
		return resultOf(answer)
	}
	if !sent || notWritten(err) {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return CommitResult{State: CommitUnknown, Err: err}
}

func resultOf(answer api.TxAnswer) CommitResult {
	if answer.Done {
		return CommitResult{State: CommitDone, Now: answer.Now}
	}
	return CommitResult{State: CommitNotDone, Conflicts: answer.Conflicts, Now: answer.Now}
}

// notWritten reports whether the platform itself said that it wrote nothing.
func notWritten(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.definite
}

// Read implements Tables.
func (h *HTTP) Read(ctx context.Context, _ Purpose, refs ...api.Ref) (api.Rows, error) {
	var rows api.Rows
	_, err := h.post(ctx, "/v1/tables/read", api.ReadQuery{Refs: refs}, &rows)
	if err == nil && len(rows.Rows) != len(refs) {
		err = api.NewError(api.KindStoreUnavailable, "read of %d rows answered with %d", len(refs), len(rows.Rows))
	}
	return rows, err
}

// Scan implements Tables.
func (h *HTTP) Scan(ctx context.Context, _ Purpose, query api.ScanQuery) (api.Rows, error) {
	var rows api.Rows
	_, err := h.post(ctx, "/v1/tables/scan", query, &rows)
	return rows, err
}

// Put implements Objects.
func (h *HTTP) Put(ctx context.Context, name string, data []byte) error {
	_, _, err := h.call(ctx, http.MethodPut, objectPath(name), "application/octet-stream", data)
	return err
}

// Get implements Objects.
func (h *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	_, body, err := h.call(ctx, http.MethodGet, objectPath(name), "", nil)
	return body, err
}

// List implements InstanceLister.
func (h *HTTP) List(ctx context.Context) (api.InstanceList, error) {
	var list api.InstanceList
	_, body, err := h.call(ctx, http.MethodGet, "/v1/instances", "", nil)
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, api.NewError(api.KindStoreUnavailable, "instance list: %v", err)
	}
	return list, nil
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

// post sends query as JSON and decodes the answer. sent says whether a byte may
// have left.
func (h *HTTP) post(ctx context.Context, path string, query, answer any) (sent bool, err error) {
	data, err := json.Marshal(query)
	if err != nil {
		return false, api.NewError(api.KindInternal, "encode %s: %v", path, err)
	}
	sent, body, err := h.call(ctx, http.MethodPost, path, "application/json", data)
	if err != nil {
		return sent, err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return sent, api.NewError(api.KindStoreUnavailable, "%s: answer is not whole: %v", path, err)
	}
	return sent, nil
}

// call makes one HTTP call and returns the body of a success.
func (h *HTTP) call(ctx context.Context, method, path, contentType string, data []byte) (bool, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := h.client.R().SetContext(httptrace.WithClientTrace(ctx, trace))
	if data != nil {
		request.SetHeader("Content-Type", contentType).SetBody(data)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		h.noteFailure(ctx)
		return connected.Load(), nil, api.NewError(api.KindStoreUnavailable, "%s %s: %v", method, path, err)
	}
	if response.IsSuccess() {
		h.reachable.Store(true)
		return true, response.Body(), nil
	}
	refused := refusalOf(response.StatusCode(), response.Body())
	h.reachable.Store(api.KindOf(refused) != api.KindStoreUnavailable)
	return true, nil, refused
}

// noteFailure marks the platform unreachable, unless the caller gave up itself.
func (h *HTTP) noteFailure(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		h.reachable.Store(false)
	}
}

// refusedError is an answer of the platform that is not a success.
type refusedError struct {
	status   int
	definite bool
	message  string
}

// Error implements error.
func (e *refusedError) Error() string {
	return http.StatusText(e.status) + ": " + e.message
}

// refusalOf turns a refusal into an error of a kind. It is definite, that is
// nothing was written, if the platform refused the call itself (4xx) or named
// a kind. Any other answer may come from something in between.
func refusalOf(status int, body []byte) error {
	var parsed api.ErrorBody
	named := json.Unmarshal(body, &parsed) == nil && parsed.Kind != ""
	definite := named || (status >= http.StatusBadRequest && status < http.StatusInternalServerError)
	refused := &refusedError{status: status, definite: definite, message: parsed.Message}
	switch {
	case status == http.StatusNotFound:
		return withKind(api.KindNotFound, refused)
	case status == http.StatusConflict:
		return withKind(api.KindConflict, refused)
	case definite && status < http.StatusInternalServerError:
		return withKind(api.KindInternal, refused)
	default:
		return withKind(api.KindStoreUnavailable, refused)
	}
}

func withKind(kind api.Kind, cause error) error {
	return api.NewError(kind, "platform: %w", cause)
}

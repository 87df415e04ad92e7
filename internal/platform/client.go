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

// Limits of calls and connections to the platform.
const (
	// callTimeout limits one attempt. The store normally answers within
	// milliseconds.
	callTimeout = 2 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// maxConnections limits the connections of one instance to the platform.
	maxConnections = 16
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 32 << 20
)

// HTTP implements Tables, Objects and InstanceLister over the platform's HTTP
// protocol. Each call makes one attempt. It is safe for concurrent use.
type HTTP struct {
	client    *resty.Client
	reachable atomic.Bool
}

var (
	_ Tables         = (*HTTP)(nil)
	_ Objects        = (*HTTP)(nil)
	_ InstanceLister = (*HTTP)(nil)
)

// NewHTTP returns a client of the platform at addr, an IP address and port.
func NewHTTP(addr string) *HTTP {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
	}
	client := resty.New().SetBaseURL("http://" + addr).SetTransport(transport)
	client.SetTimeout(callTimeout).SetResponseBodyLimit(maxResponseBytes)
	adapter := &HTTP{client: client}
	adapter.reachable.Store(true)
	return adapter
}

// Reachable reports whether the platform answered the last call with anything but
// KindStoreUnavailable. Calls without a response that the caller canceled are not
// counted.
func (h *HTTP) Reachable() bool { return h.reachable.Load() }

// Close closes idle connections.
func (h *HTTP) Close() { h.client.GetClient().CloseIdleConnections() }

// Commit implements Tables with one attempt. The result is CommitUnknown if the
// attempt may have reached the store and no definite answer arrived.
func (h *HTTP) Commit(ctx context.Context, _ Purpose, tx api.Tx) CommitResult {
	var answer api.TxAnswer
	sent, err := h.post(ctx, "/v1/tables/commit", tx, &answer)
	if err == nil {
		return commitResult(answer)
	}
	if !sent || notWritten(err) {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return CommitResult{State: CommitUnknown, Err: err}
}

func commitResult(answer api.TxAnswer) CommitResult {
	if answer.Done {
		return CommitResult{State: CommitDone, Now: answer.Now}
	}
	return CommitResult{State: CommitNotDone, Conflicts: answer.Conflicts, Now: answer.Now}
}

// notWritten reports whether the platform's response implies that nothing was
// written.
func notWritten(err error) bool {
	var refused *responseError
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

// post sends query as JSON and decodes the response into answer. sent reports
// whether any byte of the request may have been sent.
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

// call makes one HTTP request and returns the body of a successful response. The
// bool result reports whether any byte of the request may have been sent.
func (h *HTTP) call(ctx context.Context, method, path, contentType string, data []byte) (bool, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := h.client.R().SetContext(httptrace.WithClientTrace(ctx, trace))
	if data != nil {
		request.SetHeader("Content-Type", contentType).SetBody(data)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		h.recordFailure(ctx)
		return connected.Load(), nil, api.NewError(api.KindStoreUnavailable, "%s %s: %v", method, path, err)
	}
	if response.IsSuccess() {
		h.reachable.Store(true)
		return true, response.Body(), nil
	}
	refused := errorOfResponse(response.StatusCode(), response.Body())
	h.reachable.Store(api.KindOf(refused) != api.KindStoreUnavailable)
	return true, nil, refused
}

// recordFailure marks the platform unreachable unless the caller canceled ctx.
func (h *HTTP) recordFailure(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		h.reachable.Store(false)
	}
}

// responseError is a response of the platform with a non-success status.
type responseError struct {
	status   int
	definite bool
	message  string
}

// Error implements error.
func (e *responseError) Error() string {
	return http.StatusText(e.status) + ": " + e.message
}

// errorOfResponse converts a non-success response to an error with a kind. The
// error is definite, meaning that nothing was written, if the status is 4xx or
// the body has an error kind. Any other response may come from an intermediary.
func errorOfResponse(status int, body []byte) error {
	var parsed api.ErrorBody
	named := json.Unmarshal(body, &parsed) == nil && parsed.Kind != ""
	definite := named || (status >= http.StatusBadRequest && status < http.StatusInternalServerError)
	refused := &responseError{status: status, definite: definite, message: parsed.Message}
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

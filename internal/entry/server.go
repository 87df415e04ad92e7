// Package entry implements the HTTP API for callers and operators.
package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/inbound"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// Requests answers callers' requests; package request implements it.
type Requests interface {
	Execute(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer
}

// Jobs handles callers' job calls; package jobs implements it.
type Jobs interface {
	Submit(ctx context.Context, job api.JobSubmission) (api.JobAnswer, error)
	Get(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error)
	Cancel(ctx context.Context, id string) (api.JobAnswer, error)
	List(ctx context.Context, account string, limit int) ([]api.JobAnswer, error)
}

// Fleet answers operators' queries that concern all instances.
type Fleet interface {
	Status(ctx context.Context) api.Status
	Explain(ctx context.Context, id string) api.Explanation
}

// Options configures a Server. All fields except Metrics and Inbound are required.
type Options struct {
	Settings *settings.Settings
	Requests Requests
	Jobs     Jobs
	Fleet    Fleet
	Config   *config.Manager
	Logger   *zap.Logger
	// Ready returns nil while the instance accepts callers' work, otherwise the
	// reason why it does not.
	Ready func() error
	// Metrics, if set, writes the metrics of components that have their own
	// metric sets.
	Metrics func(w io.Writer)
	// Inbound, if set, bounds what callers and operators can make the process hold; otherwise the
	// bounds follow from the memory in the settings.
	Inbound inbound.Limits
}

// Server serves the HTTP API. It is safe for concurrent use.
type Server struct {
	opts     Options
	http     *http.Server
	inFlight atomic.Int64
	answers  *metrics.Set
	callers  *inbound.Group
	bodies   *inbound.Pool
	heap     *inbound.Heap
	// publishing has an entry while a configuration is checked and published, which takes a
	// multiple of its size.
	publishing chan struct{}
}

// Timeouts of the HTTP server.
const (
	idleTimeout     = 2 * time.Minute
	operatorTimeout = 10 * time.Second
)

// New returns a server that handles calls once Serve is called.
func New(opts Options) *Server {
	if opts.Inbound == (inbound.Limits{}) {
		opts.Inbound = inbound.Derive(opts.Settings.Limits.MemoryMB)
	}
	s := &Server{
		opts: opts, answers: metrics.NewSet(), publishing: make(chan struct{}, 1),
		callers: inbound.NewGroup("callers", opts.Inbound.Connections, opts.Logger),
		bodies:  inbound.NewPool("callers", opts.Inbound.BodyBytes, opts.Inbound.LargeBodies(), opts.Logger),
		heap:    inbound.NewHeap(opts.Settings.Limits.MemoryMB, opts.Logger),
	}
	s.answers.NewGauge("corianderbank_requests_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	s.http = inbound.NewServer(s.closeWhenStopping(s.routes()), idleTimeout)
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", s.postRequest)
	mux.HandleFunc("POST /v1/jobs", s.postJob)
	mux.HandleFunc("GET /v1/jobs", s.listJobs)
	mux.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	mux.HandleFunc("POST /v1/config", s.applyConfig)
	mux.HandleFunc("GET /v1/config", s.showConfig)
	mux.HandleFunc("GET /v1/config/history", s.configHistory)
	mux.HandleFunc("GET /v1/config/status", s.configStatus)
	mux.HandleFunc("GET /v1/explain/{id}", s.explain)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("/", unknownResource(mux))
	return mux
}

// closeWhenStopping closes each connection after its answer while the instance
// shuts down. Callers then open their next connection to another instance, and
// no connection is idle when Shutdown closes idle ones, which could lose a
// request already sent on it.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if api.IsKind(s.opts.Ready(), api.KindStopping) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve handles calls on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(s.callers.Wrap(listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits for the calls in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.callers.Drain()
	return s.http.Shutdown(ctx)
}

// InFlight returns the number of callers' requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.opts.Ready(); err != nil {
		writeError(w, err)
		return
	}
	s.healthz(w, nil)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.answers.WritePrometheus(w)
	if s.opts.Metrics != nil {
		s.opts.Metrics(w)
	}
	metrics.WritePrometheus(w, true)
}

// decode reads a JSON body of bounded size into target. It rejects unknown fields and trailing
// data. What is made of the body takes a number of copies of it; the caller releases them when they
// are no longer held, whatever the error.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, target any, copies int64) (release func(), err error) {
	limit := s.opts.Settings.Limits.MaxBodyBytes
	body, err := s.bodies.ReadBody(w, r, limit)
	if err != nil {
		return func() {}, bodyError(err, limit)
	}
	size := int64(0)
	err = body.Decode(r.Context(), func(data []byte) error {
		size = int64(len(data))
		return decodeStrictly(data, target)
	})
	if err == nil {
		err = body.Replace(copies * size)
	}
	if err != nil {
		err = bodyError(err, limit)
	}
	return body.Release, err
}

func decodeStrictly(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

var errTrailingData = errors.New("data after the end of the body")

// unknownFieldPrefix starts the error of encoding/json for an unknown field;
// that error has no type of its own.
const unknownFieldPrefix = "json: unknown field"

func bodyError(err error, limit int64) error {
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return api.NewError(api.KindBodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, inbound.ErrNoRoom):
		return api.NewError(api.KindOverloaded, "%w", err)
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		return api.NewError(api.KindInvalidField, "%v", err)
	}
	return api.NewError(api.KindMalformedBody, "%v", err)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error_kind":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, err error) {
	setRetryAfter(w, api.RetryAfterS(err))
	writeJSON(w, api.AnswerFor(api.KindOf(err)).Status, api.BodyOf(err))
}

// setRetryAfter sets the Retry-After header in whole seconds, rounded up.
func setRetryAfter(w http.ResponseWriter, seconds float64) {
	if seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
	}
}

// statusOf returns the HTTP status of an answer: 200 for done, 202 for accepted,
// otherwise the status of its error kind.
func statusOf(outcome api.Outcome, kind api.Kind) int {
	switch {
	case kind != "":
		return api.AnswerFor(kind).Status
	case outcome == api.OutcomeAccepted:
		return http.StatusAccepted
	}
	return http.StatusOK
}

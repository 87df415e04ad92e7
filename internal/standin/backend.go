package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// The size of a backend server, as required by the specification.
const (
	DefaultSlots          = 8
	DefaultMaxConnections = 60
)

// BackendFaults is the body of POST /v1/faults on a backend server. It replaces
// all faults. A negative count applies to every answer.
type BackendFaults struct {
	// SlowMS is added to the duration of every execution, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// Truncate is the number of answers that are cut off in the middle.
	Truncate int `json:"truncate"`
	// SwapAnswers is the number of callers that get the answer to another request.
	SwapAnswers int `json:"swap_answers"`
	// Fail is the number of executions that fail.
	Fail int `json:"fail"`
	// Leave makes the backend server report that it is leaving.
	Leave bool `json:"leave"`
}

// WorkPayload is the request and job payload that the stand-ins interpret.
type WorkPayload struct {
	// Key identifies the work, so that checks can count its runs.
	Key string `json:"key"`
	// WorkMS is the execution time on a backend server, in milliseconds.
	WorkMS int64 `json:"work_ms,omitempty"`
	// RunMS is the run time of the tasks on a worker, in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
	// Fail makes the work fail.
	Fail bool `json:"fail,omitempty"`
}

// WorkResult is the payload of an answer of a backend server.
type WorkResult struct {
	Key string `json:"key"`
	// Digest is the SHA-256 of the request's payload, in hexadecimal.
	Digest string `json:"digest"`
	// BackendServer is the id of the backend server that executed the request.
	BackendServer string `json:"backend_server"`
}

// PayloadDigest returns the digest that a backend server returns for payload.
func PayloadDigest(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// Execution is one execution of a request, as returned by GET /v1/executions.
type Execution struct {
	ID        string    `json:"id"`
	Account   string    `json:"account"`
	Key       string    `json:"key"`
	StartedAt time.Time `json:"started_at"`
	// LeavingForMS is the time for which the backend server had been leaving
	// when the request arrived, in milliseconds; zero if it was not leaving.
	LeavingForMS int64 `json:"leaving_for_ms"`
	// Finished reports whether the execution completed.
	Finished bool `json:"finished"`
}

// Backend simulates a backend server. It is safe for concurrent use.
type Backend struct {
	id          string
	incarnation int64
	slots       chan struct{}
	onLeave     func(leaving bool)

	mu         sync.Mutex // guards the fields below
	faults     BackendFaults
	leavingAt  time.Time
	executions []Execution
	// previousAnswer is the answer to the previous request, for SwapAnswers.
	previousAnswer *api.ExecuteAnswer
}

// NewBackend returns a backend server with the given number of slots. onLeave is
// called after each SetFaults and Leave with whether the backend server is
// leaving; it may be nil.
func NewBackend(id string, incarnation int64, slots int, onLeave func(leaving bool)) *Backend {
	if onLeave == nil {
		onLeave = func(bool) {}
	}
	return &Backend{id: id, incarnation: incarnation, slots: make(chan struct{}, slots), onLeave: onLeave}
}

// Handler returns the backend server's HTTP interface.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/execute", b.handleExecute)
	mux.HandleFunc("GET /v1/health", b.handleHealth)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Executions()) })
	mux.HandleFunc("POST /v1/faults", b.handleFaults)
	return mux
}

// Executions returns all executions so far, in order of arrival.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution{}, b.executions...)
}

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	b.faults = faults
	b.setLeavingLocked(faults.Leave)
	b.mu.Unlock()
	b.onLeave(faults.Leave)
}

// Leave makes the backend server report that it is leaving.
func (b *Backend) Leave() {
	b.mu.Lock()
	b.setLeavingLocked(true)
	b.mu.Unlock()
	b.onLeave(true)
}

func (b *Backend) setLeavingLocked(leaving bool) {
	switch {
	case !leaving:
		b.leavingAt = time.Time{}
	case b.leavingAt.IsZero():
		b.leavingAt = time.Now()
	}
}

func (b *Backend) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	if readJSON(w, r, &faults) {
		b.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	}
}

func (b *Backend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	leaving := b.setLeavingHeader(w)
	writeJSON(w, http.StatusOK, api.BackendHealth{
		ID: b.id, Incarnation: b.incarnation, Leaving: leaving, InFlight: len(b.slots), Slots: cap(b.slots),
	})
}

// setLeavingHeader sets api.HeaderLeaving if the backend server is leaving, and
// reports whether it is.
func (b *Backend) setLeavingHeader(w http.ResponseWriter) bool {
	b.mu.Lock()
	leaving := !b.leavingAt.IsZero()
	b.mu.Unlock()
	if leaving {
		w.Header().Set(api.HeaderLeaving, "true")
	}
	return leaving
}

func (b *Backend) handleExecute(w http.ResponseWriter, r *http.Request) {
	var request api.Execute
	if !readJSON(w, r, &request) {
		return
	}
	b.setLeavingHeader(w)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set(api.HeaderRequestID, request.ID)
		writeJSON(w, http.StatusTooManyRequests, api.ExecuteAnswer{ID: request.ID, NotRun: true, Message: "all slots are busy"})
		return
	}
	var work WorkPayload
	_ = json.Unmarshal(request.Payload, &work) // any payload is accepted; only the fields of WorkPayload are interpreted
	index, faults := b.beginExecution(request, work)
	// The work continues after the caller disconnects, so that dispatching the
	// request again executes it a second time.
	time.Sleep(milliseconds(work.WorkMS + faults.slowMS))
	b.finishExecution(index)
	b.writeAnswer(w, request, work, faults)
}

// answerFaults are the faults that apply to one answer.
type answerFaults struct {
	slowMS         int64
	fail, truncate bool
}

func (b *Backend) beginExecution(request api.Execute, work WorkPayload) (int, answerFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	execution := Execution{ID: request.ID, Account: request.Account, Key: work.Key, StartedAt: time.Now()}
	if !b.leavingAt.IsZero() {
		execution.LeavingForMS = max(time.Since(b.leavingAt).Milliseconds(), 1)
	}
	b.executions = append(b.executions, execution)
	faults := answerFaults{slowMS: b.faults.SlowMS, fail: work.Fail || consume(&b.faults.Fail), truncate: consume(&b.faults.Truncate)}
	return len(b.executions) - 1, faults
}

// consume decrements a positive count of faults and reports whether the fault
// applies. A negative count always applies and is not decremented.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func (b *Backend) finishExecution(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[index].Finished = true
}

func (b *Backend) writeAnswer(w http.ResponseWriter, request api.Execute, work WorkPayload, faults answerFaults) {
	answer := api.ExecuteAnswer{ID: request.ID, Failed: faults.fail}
	if faults.fail {
		answer.Message = "the work failed"
	} else {
		answer.Payload = mustJSON(WorkResult{Key: work.Key, Digest: PayloadDigest(request.Payload), BackendServer: b.id})
	}
	answer = b.swapAnswer(answer)
	data := mustJSON(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderRequestID, answer.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !faults.truncate {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	dropConnection()
}

// swapAnswer records the answer and returns it, or the previous answer if
// SwapAnswers applies.
func (b *Backend) swapAnswer(answer api.ExecuteAnswer) api.ExecuteAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.previousAnswer
	b.previousAnswer = &answer
	if previous != nil && consume(&b.faults.SwapAnswers) {
		return *previous
	}
	return answer
}

// mustJSON encodes value, whose encoding must not fail.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// LimitConnections returns a listener that closes new connections immediately
// while limit connections are open.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, openConns: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	openConns chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.openConns <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.openConns })}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

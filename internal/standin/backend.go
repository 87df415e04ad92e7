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

// The size of a backend server, as the brief gives it.
const (
	DefaultSlots          = 8
	DefaultMaxConnections = 60
)

// BackendFaults is the body of POST /v1/faults on a backend server. The whole
// set is replaced. A negative count means every answer.
type BackendFaults struct {
	// SlowMS is added to the time of every execution.
	SlowMS int64 `json:"slow_ms"`
	// Truncate is how many answers break off in the middle.
	Truncate int `json:"truncate"`
	// SwapAnswers is how many callers get the answer to another request.
	SwapAnswers int `json:"swap_answers"`
	// Fail is how many executions fail.
	Fail int `json:"fail"`
	// Leave makes the backend server say that it is leaving.
	Leave bool `json:"leave"`
}

// WorkPayload is the payload that the stand-ins understand.
type WorkPayload struct {
	// Key names the piece of work, so that a check can count its runs.
	Key string `json:"key"`
	// WorkMS is how long a backend server takes, in milliseconds.
	WorkMS int64 `json:"work_ms,omitempty"`
	// RunMS is how long a worker's tasks take, in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
	// Fail makes the work fail.
	Fail bool `json:"fail,omitempty"`
}

// WorkResult is the payload of a backend server's answer.
type WorkResult struct {
	Key string `json:"key"`
	// Digest is the SHA-256 of the request's payload, in hexadecimal.
	Digest string `json:"digest"`
	// BackendServer is the id of the backend server that ran the request.
	BackendServer string `json:"backend_server"`
}

// PayloadDigest returns the digest that a backend server answers with.
func PayloadDigest(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// Execution is one run of a request, as GET /v1/executions shows it.
type Execution struct {
	ID        string    `json:"id"`
	Account   string    `json:"account"`
	Key       string    `json:"key"`
	StartedAt time.Time `json:"started_at"`
	// LeavingForMS is how long the backend server had been leaving when the
	// request arrived, in milliseconds; zero if it was not.
	LeavingForMS int64 `json:"leaving_for_ms"`
	// Finished is whether the work came to its end.
	Finished bool `json:"finished"`
}

// Backend is a stand-in for a backend server. It is safe for concurrent use.
type Backend struct {
	id          string
	incarnation int64
	slots       chan struct{}
	// onLeave is told when the faults change whether the server is leaving.
	onLeave func(leaving bool)

	mu         sync.Mutex // guards the fields below
	faults     BackendFaults
	leavingAt  time.Time
	executions []Execution
	// last is the answer to the request before, for SwapAnswers.
	last *api.ExecuteAnswer
}

// NewBackend returns a backend server with the given number of slots. onLeave
// may be nil.
func NewBackend(id string, incarnation int64, slots int, onLeave func(leaving bool)) *Backend {
	if onLeave == nil {
		onLeave = func(bool) {}
	}
	return &Backend{id: id, incarnation: incarnation, slots: make(chan struct{}, slots), onLeave: onLeave}
}

// Handler returns the backend server's HTTP interface.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/execute", b.execute)
	mux.HandleFunc("GET /v1/health", b.health)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Executions()) })
	mux.HandleFunc("POST /v1/faults", b.setFaults)
	return mux
}

// Executions returns what the backend server ran, in order of arrival.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution{}, b.executions...)
}

// SetFaults replaces the faults that the backend server plays.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	b.faults = faults
	b.setLeavingLocked(faults.Leave)
	b.mu.Unlock()
	b.onLeave(faults.Leave)
}

// Leave makes the backend server say that it is leaving.
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

func (b *Backend) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	if readJSON(w, r, &faults) {
		b.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	}
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	leaving := b.markLeaving(w)
	writeJSON(w, http.StatusOK, api.BackendHealth{
		ID: b.id, Incarnation: b.incarnation, Leaving: leaving, InFlight: len(b.slots), Slots: cap(b.slots),
	})
}

// markLeaving sets the header on the answer if the backend server is leaving.
func (b *Backend) markLeaving(w http.ResponseWriter) bool {
	b.mu.Lock()
	leaving := !b.leavingAt.IsZero()
	b.mu.Unlock()
	if leaving {
		w.Header().Set(api.HeaderLeaving, "true")
	}
	return leaving
}

func (b *Backend) execute(w http.ResponseWriter, r *http.Request) {
	var request api.Execute
	if !readJSON(w, r, &request) {
		return
	}
	b.markLeaving(w)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set(api.HeaderRequestID, request.ID)
		writeJSON(w, http.StatusTooManyRequests, api.ExecuteAnswer{ID: request.ID, NotRun: true, Message: "all slots are busy"})
		return
	}
	var work WorkPayload
	_ = json.Unmarshal(request.Payload, &work) // any payload is served; only these fields have a meaning
	index, plan := b.begin(request, work)
	// The work goes on when its caller has gone: that is what makes a second
	// dispatch a second run.
	time.Sleep(milliseconds(work.WorkMS + plan.slowMS))
	b.finish(index)
	b.answer(w, request, work, plan)
}

// answerPlan is what the faults have in store for one answer.
type answerPlan struct {
	slowMS         int64
	fail, truncate bool
}

func (b *Backend) begin(request api.Execute, work WorkPayload) (int, answerPlan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	execution := Execution{ID: request.ID, Account: request.Account, Key: work.Key, StartedAt: time.Now()}
	if !b.leavingAt.IsZero() {
		execution.LeavingForMS = max(time.Since(b.leavingAt).Milliseconds(), 1)
	}
	b.executions = append(b.executions, execution)
	plan := answerPlan{slowMS: b.faults.SlowMS, fail: work.Fail || use(&b.faults.Fail), truncate: use(&b.faults.Truncate)}
	return len(b.executions) - 1, plan
}

// use takes one off a count of faults, and reports whether there was one left.
func use(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func (b *Backend) finish(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[index].Finished = true
}

func (b *Backend) answer(w http.ResponseWriter, request api.Execute, work WorkPayload, plan answerPlan) {
	answer := api.ExecuteAnswer{ID: request.ID, Failed: plan.fail}
	if plan.fail {
		answer.Message = "the work failed"
	} else {
		answer.Payload = mustJSON(WorkResult{Key: work.Key, Digest: PayloadDigest(request.Payload), BackendServer: b.id})
	}
	answer = b.swapped(answer)
	data := mustJSON(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderRequestID, answer.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !plan.truncate {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	dropConnection()
}

// swapped remembers the answer, and returns the one before it in its place if
// the faults say so.
func (b *Backend) swapped(answer api.ExecuteAnswer) api.ExecuteAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.last
	b.last = &answer
	if before != nil && use(&b.faults.SwapAnswers) {
		return *before
	}
	return answer
}

// mustJSON encodes a value of this package, which cannot fail.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// LimitConnections returns a listener that closes connections beyond limit as
// soon as they are accepted.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, open: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	open chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
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

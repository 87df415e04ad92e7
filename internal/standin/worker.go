package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// maxReleasedAttempts bounds the released attempts that a worker remembers.
const maxReleasedAttempts = 100_000

// failAfter is how long tasks run before they fail on a sick worker.
const failAfter = 50 * time.Millisecond

// throttledSpeed is the speed of throttled tasks, as a share of the full one.
const throttledSpeed = 0.5

// WorkerFaults is the body of POST /v1/faults on a worker. The whole set is
// replaced.
type WorkerFaults struct {
	// FailAll makes every task fail soon after its start.
	FailAll bool `json:"fail_all"`
	// RefuseCheckpoint makes every checkpoint fail.
	RefuseCheckpoint bool `json:"refuse_checkpoint"`
	// SlowMS delays every call.
	SlowMS int64 `json:"slow_ms"`
	// Leave makes the worker say that it is leaving.
	Leave bool `json:"leave"`
}

// TaskStart is one start of a gang's tasks, as GET /v1/starts shows it.
type TaskStart struct {
	api.GangRef
	Worker       string        `json:"worker"`
	Account      string        `json:"account"`
	Accelerators int           `json:"accelerators"`
	Tasks        int           `json:"tasks"`
	StartedAt    time.Time     `json:"started_at"`
	EndedAt      time.Time     `json:"ended_at,omitzero"`
	State        api.TaskState `json:"state"`
	// Checkpoint is what the start resumed from.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// WorkerConfig describes one worker.
type WorkerConfig struct {
	ID           string
	Zone         string
	Rack         string
	Incarnation  int64
	Accelerators int
}

// attempt names one attempt of a gang.
type attempt struct {
	gang   string
	number int
}

func attemptOf(ref api.GangRef) attempt { return attempt{ref.Gang, ref.Attempt} }

// reservation is what a worker knows of one attempt. Times are the worker's.
type reservation struct {
	report api.ReservationReport
	// until is the end of the reservation, or of the lease of running tasks.
	until time.Time
	// updatedAt is the time up to which progress and RanS are counted.
	updatedAt time.Time
	run       time.Duration
	progress  time.Duration
	fails     bool
	start     int // index into starts, while it has been started
}

// Worker is a stand-in for a worker. It is safe for concurrent use.
type Worker struct {
	config      WorkerConfig
	checkpoints Checkpoints
	now         func() time.Time
	// onLeave is told when the faults change whether the worker is leaving.
	onLeave func(leaving bool)

	mu           sync.Mutex // guards the fields below
	faults       WorkerFaults
	leaving      bool
	highest      int64
	reservations map[attempt]*reservation
	released     map[attempt]bool
	releaseOrder []attempt
	starts       []TaskStart
	written      int // checkpoints so far, which makes their names unique
}

// NewWorker returns a worker that keeps checkpoints in the given store. onLeave
// may be nil.
func NewWorker(config WorkerConfig, checkpoints Checkpoints, onLeave func(leaving bool)) *Worker {
	if onLeave == nil {
		onLeave = func(bool) {}
	}
	return &Worker{
		config: config, checkpoints: checkpoints, now: time.Now, onLeave: onLeave,
		reservations: make(map[attempt]*reservation), released: make(map[attempt]bool),
	}
}

// Handler returns the worker's HTTP interface.
func (k *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, next http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			pause(r, k.slowness())
			next(w, r)
		})
	}
	handle("POST /v1/reserve", k.handleReserve)
	handle("POST /v1/start", k.handleStart)
	handle("POST /v1/renew", k.handleRenew)
	handle("POST /v1/release", k.handleRelease)
	handle("POST /v1/stop", k.handleStop)
	handle("POST /v1/checkpoint", k.handleCheckpoint)
	handle("POST /v1/throttle", k.handleThrottle)
	handle("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, k.Report()) })
	mux.HandleFunc("GET /v1/starts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, k.Starts()) })
	mux.HandleFunc("POST /v1/faults", k.handleFaults)
	return mux
}

// SetFaults replaces the faults that the worker plays.
func (k *Worker) SetFaults(faults WorkerFaults) {
	k.mu.Lock()
	k.faults = faults
	k.leaving = faults.Leave
	k.mu.Unlock()
	k.onLeave(faults.Leave)
}

// Leave makes the worker say that it is leaving.
func (k *Worker) Leave() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.onLeave(true)
}

// Report returns the worker's own view.
func (k *Worker) Report() api.WorkerReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	return k.reportLocked()
}

// Starts returns every start so far, in order.
func (k *Worker) Starts() []TaskStart {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	return append([]TaskStart{}, k.starts...)
}

func (k *Worker) reportLocked() api.WorkerReport {
	report := api.WorkerReport{
		ID: k.config.ID, AvailabilityZone: k.config.Zone, Rack: k.config.Rack, Incarnation: k.config.Incarnation,
		Accelerators: k.config.Accelerators, Leaving: k.leaving, HighestEpoch: k.highest,
		Reservations: []api.ReservationReport{}, UsageAsOf: k.now(),
	}
	for _, held := range k.reservations {
		report.Reservations = append(report.Reservations, held.report)
	}
	sort.Slice(report.Reservations, func(i, j int) bool {
		a, b := report.Reservations[i], report.Reservations[j]
		return a.Gang < b.Gang || a.Gang == b.Gang && a.Attempt < b.Attempt
	})
	return report
}

// advance brings every reservation up to the present: reservations that were
// not started lapse, running tasks end or lapse. The caller holds mu.
func (k *Worker) advance() {
	now := k.now()
	for name, held := range k.reservations {
		switch held.report.State {
		case api.TaskReserved:
			if !now.Before(held.until) {
				k.forget(name)
			}
		case api.TaskRunning:
			k.advanceRunning(held, now)
		}
	}
}

func (k *Worker) advanceRunning(held *reservation, now time.Time) {
	end := held.updatedAt.Add(time.Duration(float64(held.run-held.progress) / held.speed()))
	switch {
	case !end.After(now) && !end.After(held.until):
		state := api.TaskDone
		if held.fails {
			state = api.TaskFailed
			held.report.Message = "the task failed on " + k.config.ID
		}
		k.end(held, state, end)
	case !now.Before(held.until):
		k.end(held, api.TaskLapsed, held.until)
	default:
		held.ranUntil(now)
	}
}

func (r *reservation) speed() float64 {
	if r.report.Throttled {
		return throttledSpeed
	}
	return 1
}

// ranUntil counts the run up to at.
func (r *reservation) ranUntil(at time.Time) {
	ran := max(at.Sub(r.updatedAt), 0)
	r.progress += time.Duration(float64(ran) * r.speed())
	r.report.RanS += ran.Seconds()
	r.updatedAt = at
}

// end ends running tasks. They stay reported until they are released.
func (k *Worker) end(held *reservation, state api.TaskState, at time.Time) {
	held.ranUntil(at)
	held.report.State = state
	k.starts[held.start].State = state
	k.starts[held.start].EndedAt = at
}

// forget drops an attempt for good: it never starts again.
func (k *Worker) forget(name attempt) {
	delete(k.reservations, name)
	if k.released[name] {
		return
	}
	k.released[name] = true
	k.releaseOrder = append(k.releaseOrder, name)
	if len(k.releaseOrder) > maxReleasedAttempts {
		delete(k.released, k.releaseOrder[0])
		k.releaseOrder = k.releaseOrder[1:]
	}
}

func (k *Worker) used() int {
	used := 0
	for _, held := range k.reservations {
		if held.report.State == api.TaskReserved || held.report.State == api.TaskRunning {
			used += held.report.Accelerators
		}
	}
	return used
}

// enter is the first step of every call of a placer: it refuses an epoch below
// the highest one seen. The caller holds mu.
func (k *Worker) enter(epoch int64) error {
	if epoch < k.highest {
		return api.NewError(api.KindStaleEpoch, "epoch %d is below %d", epoch, k.highest)
	}
	k.highest = epoch
	k.advance()
	return nil
}

// Reserve holds accelerators for one attempt until they are started, released,
// or the reservation lapses.
func (k *Worker) Reserve(request api.Reserve) (api.ReservationReport, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enter(request.Epoch); err != nil {
		return api.ReservationReport{}, err
	}
	name := attemptOf(request.GangRef)
	if k.released[name] {
		return api.ReservationReport{}, api.NewError(api.KindConflict, "attempt %d of %s was released", request.Attempt, request.Gang)
	}
	if request.Accelerators <= 0 || request.Tasks <= 0 || request.TTLMS <= 0 {
		return api.ReservationReport{}, api.NewError(api.KindInvalidField, "accelerators, tasks and ttl_ms must be positive")
	}
	until := k.now().Add(milliseconds(request.TTLMS))
	if held, ok := k.reservations[name]; ok {
		return held.repeat(request, until)
	}
	if k.leaving || k.config.Accelerators-k.used() < request.Accelerators {
		return api.ReservationReport{}, api.NewError(api.KindNoCapacity, "%d of %d accelerators are used", k.used(), k.config.Accelerators)
	}
	report := api.ReservationReport{
		GangRef: request.GangRef, Account: request.Account, Accelerators: request.Accelerators,
		Tasks: request.Tasks, State: api.TaskReserved,
	}
	k.reservations[name] = &reservation{report: report, until: until}
	return report, nil
}

func (r *reservation) repeat(request api.Reserve, until time.Time) (api.ReservationReport, error) {
	if r.report.Accelerators != request.Accelerators || r.report.Tasks != request.Tasks {
		return r.report, api.NewError(api.KindConflict, "the attempt is reserved with another size")
	}
	if r.report.State == api.TaskReserved {
		r.until = until
	}
	r.report.Epoch = request.Epoch
	return r.report, nil
}

// Start commits a reservation. Repeating it is harmless.
func (k *Worker) Start(ctx context.Context, request api.Start) (api.ReservationReport, error) {
	var progress Progress
	if request.Checkpoint != "" {
		var err error
		if progress, err = k.checkpoints.Load(ctx, request.Checkpoint); err != nil {
			return api.ReservationReport{}, err
		}
	}
	var work WorkPayload
	_ = json.Unmarshal(request.Payload, &work) // any payload is run; only these fields have a meaning
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enter(request.Epoch); err != nil {
		return api.ReservationReport{}, err
	}
	held, ok := k.reservations[attemptOf(request.GangRef)]
	if !ok {
		return api.ReservationReport{}, api.NewError(api.KindConflict, "attempt %d of %s is not reserved", request.Attempt, request.Gang)
	}
	if held.report.State == api.TaskReserved {
		k.begin(held, request, work, milliseconds(progress.ProgressMS))
	}
	return held.report, nil
}

func (k *Worker) begin(held *reservation, request api.Start, work WorkPayload, progress time.Duration) {
	now := k.now()
	held.report.State = api.TaskRunning
	held.report.Epoch = request.Epoch
	held.until = now.Add(milliseconds(request.LeaseMS))
	held.updatedAt = now
	held.run = milliseconds(work.RunMS)
	held.progress = min(progress, held.run)
	held.fails = work.Fail
	if k.faults.FailAll {
		held.run, held.fails = held.progress+failAfter, true
	}
	held.start = len(k.starts)
	k.starts = append(k.starts, TaskStart{
		GangRef: held.report.GangRef, Worker: k.config.ID, Account: held.report.Account, Accelerators: held.report.Accelerators,
		Tasks: held.report.Tasks, StartedAt: now, State: api.TaskRunning, Checkpoint: request.Checkpoint,
	})
}

// Renew extends the leases of the listed gangs that run.
func (k *Worker) Renew(request api.Renew) (api.WorkerReport, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enter(request.Epoch); err != nil {
		return api.WorkerReport{}, err
	}
	until := k.now().Add(milliseconds(request.LeaseMS))
	for _, ref := range request.Gangs {
		held, ok := k.reservations[attemptOf(ref)]
		if ok && held.report.State == api.TaskRunning {
			held.until = until
			held.report.Epoch = request.Epoch
		}
	}
	return k.reportLocked(), nil
}

// Release gives up a reservation or acknowledges the end of its tasks. Tasks
// that still run are stopped. The attempt never starts again.
func (k *Worker) Release(request api.Release) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enter(request.Epoch); err != nil {
		return err
	}
	name := attemptOf(request.GangRef)
	if held, ok := k.reservations[name]; ok && held.report.State == api.TaskRunning {
		k.end(held, api.TaskStopped, k.now())
	}
	k.forget(name)
	return nil
}

// Stop ends the tasks at once. A reservation that was not started is dropped.
func (k *Worker) Stop(request api.Stop) (api.StopAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, err := k.find(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	switch held.report.State {
	case api.TaskReserved:
		k.forget(attemptOf(request.GangRef))
	case api.TaskRunning:
		k.end(held, api.TaskStopped, k.now())
	}
	return api.StopAnswer{Checkpoint: held.report.Checkpoint}, nil
}

// Throttle slows the tasks down.
func (k *Worker) Throttle(request api.Stop) (api.StopAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, err := k.find(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	held.report.Throttled = true
	return api.StopAnswer{Checkpoint: held.report.Checkpoint}, nil
}

// Checkpoint writes the progress of running tasks to the object store and then
// stops them. When it fails, they go on running.
func (k *Worker) Checkpoint(ctx context.Context, request api.Stop) (api.StopAnswer, error) {
	name, progress, err := k.beginCheckpoint(request)
	if err != nil || name == "" {
		return api.StopAnswer{}, err
	}
	if err := k.checkpoints.Save(ctx, name, progress); err != nil {
		return api.StopAnswer{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held, err := k.find(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	held.report.Checkpoint = name
	if held.report.State == api.TaskRunning {
		k.end(held, api.TaskStopped, k.now())
	}
	return api.StopAnswer{Checkpoint: name}, nil
}

// beginCheckpoint returns the name and content of the checkpoint to write, or
// no name if the tasks do not run.
func (k *Worker) beginCheckpoint(request api.Stop) (string, Progress, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, err := k.find(request)
	if err != nil {
		return "", Progress{}, err
	}
	if k.faults.RefuseCheckpoint {
		return "", Progress{}, api.NewError(api.KindConflict, "%s takes no checkpoint", k.config.ID)
	}
	if held.report.State != api.TaskRunning {
		return "", Progress{}, nil
	}
	k.written++
	name := fmt.Sprintf("checkpoints/%s/%d/%s-%d-%d", request.Gang, request.Attempt, k.config.ID, k.config.Incarnation, k.written)
	return name, Progress{ProgressMS: held.progress.Milliseconds()}, nil
}

// find returns the reservation that a call is about. The caller holds mu.
func (k *Worker) find(request api.Stop) (*reservation, error) {
	if err := k.enter(request.Epoch); err != nil {
		return nil, err
	}
	held, ok := k.reservations[attemptOf(request.GangRef)]
	if !ok {
		return nil, api.NewError(api.KindNotFound, "attempt %d of %s is not here", request.Attempt, request.Gang)
	}
	return held, nil
}

func (k *Worker) slowness() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return milliseconds(k.faults.SlowMS)
}

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

// maxReleasedAttempts bounds the number of released attempts that a worker
// keeps. The oldest is dropped first.
const maxReleasedAttempts = 100_000

// failDelay is the run time of tasks that fail because of FailAll.
const failDelay = 50 * time.Millisecond

// throttledSpeed is the speed of throttled tasks, as a fraction of full speed.
const throttledSpeed = 0.5

// WorkerFaults is the body of POST /v1/faults on a worker. It replaces all
// faults.
type WorkerFaults struct {
	// FailAll makes every task fail failDelay after its start.
	FailAll bool `json:"fail_all"`
	// RefuseCheckpoint makes every checkpoint fail.
	RefuseCheckpoint bool `json:"refuse_checkpoint"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// Leave makes the worker report that it is leaving.
	Leave bool `json:"leave"`
}

// TaskStart records one start of tasks of a gang, as returned by GET /v1/starts.
type TaskStart struct {
	api.GangRef
	Worker       string        `json:"worker"`
	Account      string        `json:"account"`
	Accelerators int           `json:"accelerators"`
	Tasks        int           `json:"tasks"`
	StartedAt    time.Time     `json:"started_at"`
	EndedAt      time.Time     `json:"ended_at,omitzero"`
	State        api.TaskState `json:"state"`
	// Checkpoint is the name of the checkpoint that the tasks resumed from.
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

// attemptKey identifies one attempt of a gang.
type attemptKey struct {
	gang   string
	number int
}

func attemptKeyOf(ref api.GangRef) attemptKey { return attemptKey{ref.Gang, ref.Attempt} }

// reservation is the state of one attempt on a worker. Times are read from the
// worker's clock.
type reservation struct {
	report api.ReservationReport
	// expiresAt is the time at which the reservation, or the lease of running
	// tasks, expires.
	expiresAt time.Time
	// updatedAt is the time up to which progress and report.RanS are counted.
	updatedAt  time.Time
	runTime    time.Duration
	progress   time.Duration
	willFail   bool
	startIndex int // index into Worker.starts, valid once started
}

// Worker simulates a worker. It is safe for concurrent use.
type Worker struct {
	config      WorkerConfig
	checkpoints CheckpointStore
	now         func() time.Time
	onLeave     func(leaving bool)

	mu                 sync.Mutex // guards the fields below
	faults             WorkerFaults
	leaving            bool
	highestEpoch       int64
	reservations       map[attemptKey]*reservation
	released           map[attemptKey]bool
	releaseOrder       []attemptKey
	starts             []TaskStart
	checkpointsWritten int // part of checkpoint names, which makes them unique
}

// NewWorker returns a worker that stores its checkpoints in checkpoints. onLeave
// is called after each SetFaults and Leave with whether the worker is leaving;
// it may be nil.
func NewWorker(config WorkerConfig, checkpoints CheckpointStore, onLeave func(leaving bool)) *Worker {
	if onLeave == nil {
		onLeave = func(bool) {}
	}
	return &Worker{
		config: config, checkpoints: checkpoints, now: time.Now, onLeave: onLeave,
		reservations: make(map[attemptKey]*reservation), released: make(map[attemptKey]bool),
	}
}

// Handler returns the worker's HTTP interface.
func (k *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, next http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			sleep(r, k.callDelay())
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

// SetFaults replaces the injected faults.
func (k *Worker) SetFaults(faults WorkerFaults) {
	k.mu.Lock()
	k.faults = faults
	k.leaving = faults.Leave
	k.mu.Unlock()
	k.onLeave(faults.Leave)
}

// Leave makes the worker report that it is leaving.
func (k *Worker) Leave() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.onLeave(true)
}

// Report returns the current state of the worker and its reservations.
func (k *Worker) Report() api.WorkerReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advanceAll()
	return k.reportLocked()
}

// Starts returns all starts so far, in order.
func (k *Worker) Starts() []TaskStart {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advanceAll()
	return append([]TaskStart{}, k.starts...)
}

func (k *Worker) reportLocked() api.WorkerReport {
	report := api.WorkerReport{
		ID: k.config.ID, AvailabilityZone: k.config.Zone, Rack: k.config.Rack, Incarnation: k.config.Incarnation,
		Accelerators: k.config.Accelerators, Leaving: k.leaving, HighestEpoch: k.highestEpoch,
		Reservations: []api.ReservationReport{}, UsageAsOf: k.now(),
	}
	for _, res := range k.reservations {
		report.Reservations = append(report.Reservations, res.report)
	}
	sort.Slice(report.Reservations, func(i, j int) bool {
		a, b := report.Reservations[i], report.Reservations[j]
		return a.Gang < b.Gang || a.Gang == b.Gang && a.Attempt < b.Attempt
	})
	return report
}

// advanceAll updates every reservation to the current time: it drops expired
// reservations that were not started and ends tasks that completed or whose
// lease expired. The caller holds mu.
func (k *Worker) advanceAll() {
	now := k.now()
	for key, res := range k.reservations {
		switch res.report.State {
		case api.TaskReserved:
			if !now.Before(res.expiresAt) {
				k.closeAttempt(key)
			}
		case api.TaskRunning:
			k.advanceRunning(res, now)
		}
	}
}

func (k *Worker) advanceRunning(res *reservation, now time.Time) {
	end := res.updatedAt.Add(time.Duration(float64(res.runTime-res.progress) / res.speed()))
	switch {
	case !end.After(now) && !end.After(res.expiresAt):
		state := api.TaskDone
		if res.willFail {
			state = api.TaskFailed
			res.report.Message = "the task failed on " + k.config.ID
		}
		k.endTasks(res, state, end)
	case !now.Before(res.expiresAt):
		k.endTasks(res, api.TaskLapsed, res.expiresAt)
	default:
		res.advanceTo(now)
	}
}

func (r *reservation) speed() float64 {
	if r.report.Throttled {
		return throttledSpeed
	}
	return 1
}

// advanceTo adds the run time between updatedAt and at to progress and RanS.
func (r *reservation) advanceTo(at time.Time) {
	ran := max(at.Sub(r.updatedAt), 0)
	r.progress += time.Duration(float64(ran) * r.speed())
	r.report.RanS += ran.Seconds()
	r.updatedAt = at
}

// endTasks ends running tasks at the time at. They are reported until they are
// released.
func (k *Worker) endTasks(res *reservation, state api.TaskState, at time.Time) {
	res.advanceTo(at)
	res.report.State = state
	k.starts[res.startIndex].State = state
	k.starts[res.startIndex].EndedAt = at
}

// closeAttempt drops the reservation of an attempt and prevents the attempt from
// being reserved or started again.
func (k *Worker) closeAttempt(key attemptKey) {
	delete(k.reservations, key)
	if k.released[key] {
		return
	}
	k.released[key] = true
	k.releaseOrder = append(k.releaseOrder, key)
	if len(k.releaseOrder) > maxReleasedAttempts {
		delete(k.released, k.releaseOrder[0])
		k.releaseOrder = k.releaseOrder[1:]
	}
}

func (k *Worker) usedAccelerators() int {
	used := 0
	for _, res := range k.reservations {
		if res.report.State == api.TaskReserved || res.report.State == api.TaskRunning {
			used += res.report.Accelerators
		}
	}
	return used
}

// beginCall is the first step of every call with an epoch. It rejects an epoch
// below the highest one seen and updates the reservations to the current time.
// The caller holds mu.
func (k *Worker) beginCall(epoch int64) error {
	if epoch < k.highestEpoch {
		return api.NewError(api.KindStaleEpoch, "epoch %d is below %d", epoch, k.highestEpoch)
	}
	k.highestEpoch = epoch
	k.advanceAll()
	return nil
}

// Reserve reserves accelerators for one attempt until its tasks are started, it
// is released, or the reservation expires. Repeating it extends a reservation
// that is not started.
func (k *Worker) Reserve(request api.Reserve) (api.ReservationReport, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCall(request.Epoch); err != nil {
		return api.ReservationReport{}, err
	}
	key := attemptKeyOf(request.GangRef)
	if k.released[key] {
		return api.ReservationReport{}, api.NewError(api.KindConflict, "attempt %d of %s was released", request.Attempt, request.Gang)
	}
	if request.Accelerators <= 0 || request.Tasks <= 0 || request.TTLMS <= 0 {
		return api.ReservationReport{}, api.NewError(api.KindInvalidField, "accelerators, tasks and ttl_ms must be positive")
	}
	expiresAt := k.now().Add(milliseconds(request.TTLMS))
	if res, ok := k.reservations[key]; ok {
		return res.repeatReserve(request, expiresAt)
	}
	if k.leaving || k.config.Accelerators-k.usedAccelerators() < request.Accelerators {
		return api.ReservationReport{}, api.NewError(api.KindNoCapacity, "%d of %d accelerators are used", k.usedAccelerators(), k.config.Accelerators)
	}
	report := api.ReservationReport{
		GangRef: request.GangRef, Account: request.Account, Accelerators: request.Accelerators,
		Tasks: request.Tasks, State: api.TaskReserved,
	}
	k.reservations[key] = &reservation{report: report, expiresAt: expiresAt}
	return report, nil
}

func (r *reservation) repeatReserve(request api.Reserve, expiresAt time.Time) (api.ReservationReport, error) {
	if r.report.Accelerators != request.Accelerators || r.report.Tasks != request.Tasks {
		return r.report, api.NewError(api.KindConflict, "the attempt is reserved with another size")
	}
	if r.report.State == api.TaskReserved {
		r.expiresAt = expiresAt
	}
	r.report.Epoch = request.Epoch
	return r.report, nil
}

// Start starts the tasks of a reservation. Repeating it has no effect.
func (k *Worker) Start(ctx context.Context, request api.Start) (api.ReservationReport, error) {
	var progress Progress
	if request.Checkpoint != "" {
		var err error
		if progress, err = k.checkpoints.Load(ctx, request.Checkpoint); err != nil {
			return api.ReservationReport{}, err
		}
	}
	var work WorkPayload
	_ = json.Unmarshal(request.Payload, &work) // any payload is accepted; only the fields of WorkPayload are interpreted
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCall(request.Epoch); err != nil {
		return api.ReservationReport{}, err
	}
	res, ok := k.reservations[attemptKeyOf(request.GangRef)]
	if !ok {
		return api.ReservationReport{}, api.NewError(api.KindConflict, "attempt %d of %s is not reserved", request.Attempt, request.Gang)
	}
	if res.report.State == api.TaskReserved {
		k.startTasks(res, request, work, milliseconds(progress.ProgressMS))
	}
	return res.report, nil
}

func (k *Worker) startTasks(res *reservation, request api.Start, work WorkPayload, progress time.Duration) {
	now := k.now()
	res.report.State = api.TaskRunning
	res.report.Epoch = request.Epoch
	res.expiresAt = now.Add(milliseconds(request.LeaseMS))
	res.updatedAt = now
	res.runTime = milliseconds(work.RunMS)
	res.progress = min(progress, res.runTime)
	res.willFail = work.Fail
	if k.faults.FailAll {
		res.runTime, res.willFail = res.progress+failDelay, true
	}
	res.startIndex = len(k.starts)
	k.starts = append(k.starts, TaskStart{
		GangRef: res.report.GangRef, Worker: k.config.ID, Account: res.report.Account, Accelerators: res.report.Accelerators,
		Tasks: res.report.Tasks, StartedAt: now, State: api.TaskRunning, Checkpoint: request.Checkpoint,
	})
}

// Renew extends the leases of those listed gangs that are running here.
func (k *Worker) Renew(request api.Renew) (api.WorkerReport, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCall(request.Epoch); err != nil {
		return api.WorkerReport{}, err
	}
	expiresAt := k.now().Add(milliseconds(request.LeaseMS))
	for _, ref := range request.Gangs {
		res, ok := k.reservations[attemptKeyOf(ref)]
		if ok && res.report.State == api.TaskRunning {
			res.expiresAt = expiresAt
			res.report.Epoch = request.Epoch
		}
	}
	return k.reportLocked(), nil
}

// Release cancels a reservation or acknowledges the completion of its tasks. It
// stops tasks that are still running. The attempt cannot be started again.
func (k *Worker) Release(request api.Release) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCall(request.Epoch); err != nil {
		return err
	}
	key := attemptKeyOf(request.GangRef)
	if res, ok := k.reservations[key]; ok && res.report.State == api.TaskRunning {
		k.endTasks(res, api.TaskStopped, k.now())
	}
	k.closeAttempt(key)
	return nil
}

// Stop stops the tasks immediately. It drops a reservation that was not started.
func (k *Worker) Stop(request api.Stop) (api.StopAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	res, err := k.findReservation(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	switch res.report.State {
	case api.TaskReserved:
		k.closeAttempt(attemptKeyOf(request.GangRef))
	case api.TaskRunning:
		k.endTasks(res, api.TaskStopped, k.now())
	}
	return api.StopAnswer{Checkpoint: res.report.Checkpoint}, nil
}

// Throttle reduces the speed of the tasks to throttledSpeed.
func (k *Worker) Throttle(request api.Stop) (api.StopAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	res, err := k.findReservation(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	res.report.Throttled = true
	return api.StopAnswer{Checkpoint: res.report.Checkpoint}, nil
}

// Checkpoint stores the progress of running tasks and then stops them. If it
// fails, the tasks continue to run.
func (k *Worker) Checkpoint(ctx context.Context, request api.Stop) (api.StopAnswer, error) {
	name, progress, err := k.prepareCheckpoint(request)
	if err != nil || name == "" {
		return api.StopAnswer{}, err
	}
	if err := k.checkpoints.Save(ctx, name, progress); err != nil {
		return api.StopAnswer{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	res, err := k.findReservation(request)
	if err != nil {
		return api.StopAnswer{}, err
	}
	res.report.Checkpoint = name
	if res.report.State == api.TaskRunning {
		k.endTasks(res, api.TaskStopped, k.now())
	}
	return api.StopAnswer{Checkpoint: name}, nil
}

// prepareCheckpoint returns the name and content of the checkpoint to write, or
// an empty name if the tasks are not running.
func (k *Worker) prepareCheckpoint(request api.Stop) (string, Progress, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	res, err := k.findReservation(request)
	if err != nil {
		return "", Progress{}, err
	}
	if k.faults.RefuseCheckpoint {
		return "", Progress{}, api.NewError(api.KindConflict, "%s takes no checkpoint", k.config.ID)
	}
	if res.report.State != api.TaskRunning {
		return "", Progress{}, nil
	}
	k.checkpointsWritten++
	name := fmt.Sprintf("checkpoints/%s/%d/%s-%d-%d", request.Gang, request.Attempt, k.config.ID, k.config.Incarnation, k.checkpointsWritten)
	return name, Progress{ProgressMS: res.progress.Milliseconds()}, nil
}

// findReservation calls beginCall and returns the reservation that request refers
// to. The caller holds mu.
func (k *Worker) findReservation(request api.Stop) (*reservation, error) {
	if err := k.beginCall(request.Epoch); err != nil {
		return nil, err
	}
	res, ok := k.reservations[attemptKeyOf(request.GangRef)]
	if !ok {
		return nil, api.NewError(api.KindNotFound, "attempt %d of %s is not here", request.Attempt, request.Gang)
	}
	return res, nil
}

func (k *Worker) callDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return milliseconds(k.faults.SlowMS)
}

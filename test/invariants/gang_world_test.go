package invariants

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// The intervals and timeouts of the simulation, as in a deployment.
const (
	gangZone        = "nl-west-a"
	gangPlacerLease = 4 * time.Second
	gangWorkerLease = 15 * time.Second
	gangCallTimeout = 2 * time.Second
	// gangPlaceInterval is not a multiple or a fraction of the other intervals:
	// timers of a placer that fire at the same time run in an arbitrary order.
	gangPlaceInterval = 200*time.Millisecond + 7*time.Microsecond
)

// gangWorld is one availability zone in virtual time: real placers over fake
// tables, stand-in workers, and a network with injected faults.
type gangWorld struct {
	platform *fake.Platform
	store    jobstore.Store
	document *config.Document

	mu          sync.Mutex
	workers     map[string]*standin.Worker
	racks       map[string]string
	workerIDs   []string
	retired     []*standin.Worker // replaced incarnations, kept for their records
	placers     map[string]*gangPlacer
	checkpoints map[string]standin.Progress
	draws       *keyedDraws
	// partitioned holds the pairs of instance and worker between which calls
	// are lost.
	partitioned map[[2]string]bool
	// checkpointTime is the duration of a checkpoint.
	checkpointTime time.Duration
	// callDelays is the additional delay of every call to a worker.
	callDelays map[string]time.Duration
	// lossPercent is the percentage of calls to workers that lose the call or
	// its answer.
	lossPercent    int
	planted        plantedFault
	recorders      []*decision.Recorder
	submittedJobs  int
	startedPlacers int
}

// plantedFault is a fault in the product that a check must detect.
type plantedFault int

const (
	plantedNone plantedFault = iota
	// plantedHiddenLoss hides that a worker lost its part of a gang.
	plantedHiddenLoss
	// plantedNoStops refuses every stop, so that borrowed accelerators are not
	// reclaimed.
	plantedNoStops
	// plantedFalseRefusal reports every failed start as refused, also one that
	// took effect and whose answer was lost.
	plantedFalseRefusal
)

// gangPlacer is the placer of one instance.
type gangPlacer struct {
	placer *placer.Placer
	cancel context.CancelFunc
	done   chan struct{}
	// thaw is set while the instance is frozen: its calls to workers and the
	// store wait until it is closed.
	thaw chan struct{}
}

func newGangWorld(seed uint64, racks, perRack int) *gangWorld {
	w := &gangWorld{
		platform: fake.New(), workers: make(map[string]*standin.Worker), racks: make(map[string]string),
		placers: make(map[string]*gangPlacer), checkpoints: make(map[string]standin.Progress),
		draws: newKeyedDraws(seed), partitioned: make(map[[2]string]bool), callDelays: make(map[string]time.Duration),
	}
	w.store = jobstore.New(w.platform)
	for r := range racks {
		for k := range perRack {
			id := fmt.Sprintf("w-%d-%d", r, k)
			w.workerIDs = append(w.workerIDs, id)
			w.racks[id] = fmt.Sprintf("rack-%d", r)
			w.workers[id] = w.newWorker(id, 1)
		}
	}
	w.document = &config.Document{
		Accounts: []model.ClientAccount{
			{Name: "acme", Guarantees: map[string][]model.GuaranteedShape{gangZone: {{Shape: api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}, Count: 1}}}},
			{Name: "orbit"},
		},
		Rules: []rules.Rule{{Name: "all"}},
	}
	return w
}

func (w *gangWorld) newWorker(id string, incarnation int64) *standin.Worker {
	return standin.NewWorker(standin.WorkerConfig{ID: id, Zone: gangZone, Rack: w.racks[id], Incarnation: incarnation, Accelerators: 8}, gangCheckpoints{w}, nil)
}

// gangCheckpoints keeps checkpoints in memory.
type gangCheckpoints struct{ *gangWorld }

func (c gangCheckpoints) Save(ctx context.Context, name string, progress standin.Progress) error {
	if c.checkpointTime > 0 {
		select {
		case <-time.After(c.checkpointTime):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkpoints[name] = progress
	return nil
}

func (c gangCheckpoints) Load(_ context.Context, name string) (standin.Progress, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkpoints[name], nil
}

// Current implements config.Source.
func (w *gangWorld) Current() *config.Snapshot {
	return &config.Snapshot{Version: 1, Document: w.document, Rules: rules.NewSet(w.document.Rules)}
}

// Instances implements membership.View.
func (w *gangWorld) Instances() []model.Instance { return nil }

// BackendServers implements membership.View.
func (w *gangWorld) BackendServers(string) []model.BackendServer { return nil }

// Workers implements membership.View. The address of a worker is its id.
func (w *gangWorld) Workers(string) []model.Worker {
	list := make([]model.Worker, 0, len(w.workerIDs))
	for _, id := range w.workerIDs {
		list = append(list, model.Worker{ID: id, Addr: id, Zone: gangZone, Incarnation: 1, Health: model.WorkerSuspect})
	}
	return list
}

// startPlacer runs a placer on an instance until it is killed. It does nothing
// if the instance has one.
func (w *gangWorld) startPlacer(instance string) {
	w.mu.Lock()
	running := w.placers[instance] != nil
	w.mu.Unlock()
	if !running {
		w.runPlacer(instance)
	}
}

func (w *gangWorld) runPlacer(instance string) {
	process := w.nextHolder(instance)
	tables := &freezableTables{Platform: w.platform, world: w, instance: instance, process: process}
	ctx, cancel := context.WithCancel(context.Background())
	running := &gangPlacer{cancel: cancel, done: make(chan struct{})}
	running.placer = placer.New(placer.Options{
		Zone: gangZone, Instance: instance, Holder: process, Config: w, Fleet: w, Jobs: jobstore.New(tables),
		Leases: lease.New(tables, gangPlacerLease), Workers: gangNetwork{w, instance, process},
		RunTimes: estimate.NewHistory(), Health: quarantine.NewTracker(),
		Recorder: w.newRecorder(instance), Logger: zap.NewNop(),
		PlacerLease: gangPlacerLease, WorkerLease: gangWorkerLease, Interval: gangPlaceInterval,
		MaxJobs: 1000, MayPlace: func() bool { return true },
	})
	if !w.registerPlacer(instance, running) {
		cancel()
		return
	}
	go func() {
		running.placer.Run(ctx)
		close(running.done)
	}()
}

// registerPlacer records the placer of the instance. It returns false if the
// instance has one: two restarts may end at the same time.
func (w *gangWorld) registerPlacer(instance string, running *gangPlacer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.placers[instance] != nil {
		return false
	}
	w.placers[instance] = running
	return true
}

func (w *gangWorld) newRecorder(instance string) *decision.Recorder {
	w.mu.Lock()
	defer w.mu.Unlock()
	recorder := decision.NewRecorder(zap.NewNop(), instance, 1000)
	w.recorders = append(w.recorders, recorder)
	return recorder
}

// trace returns every decision on a job, one per line.
func (w *gangWorld) trace(id string) string {
	var all []api.Decision
	for _, recorder := range w.recorders {
		all = append(all, recorder.Explain(id)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	var out strings.Builder
	for _, d := range all {
		fmt.Fprintf(&out, "  %s %s %s %s: %s\n", d.At.Format("04:05.000"), d.Instance, d.Step, d.Choice, d.Reason)
	}
	return out.String()
}

// killPlacer ends the placer of an instance without a graceful shutdown.
func (w *gangWorld) killPlacer(instance string) {
	w.thawPlacer(instance)
	w.mu.Lock()
	running := w.placers[instance]
	delete(w.placers, instance)
	w.mu.Unlock()
	if running != nil {
		running.cancel()
		<-running.done
	}
}

// freezePlacer blocks the calls of an instance, as if its process were paused.
func (w *gangWorld) freezePlacer(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running := w.placers[instance]; running != nil && running.thaw == nil {
		running.thaw = make(chan struct{})
	}
}

func (w *gangWorld) thawPlacer(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running := w.placers[instance]; running != nil && running.thaw != nil {
		close(running.thaw)
		running.thaw = nil
	}
}

// awaitThaw blocks a call of a frozen instance. After the thaw the call
// continues as if nothing had happened, so the fencing must reject it.
func (w *gangWorld) awaitThaw(instance string) {
	w.mu.Lock()
	running := w.placers[instance]
	var thaw chan struct{}
	if running != nil {
		thaw = running.thaw
	}
	w.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// replaceWorker kills a worker with all its tasks, and starts a new incarnation
// of it without tasks.
func (w *gangWorld) replaceWorker(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.workers[id]
	for _, r := range old.Report().Reservations {
		_ = old.Release(api.Release{GangRef: api.GangRef{Epoch: 1 << 40, Gang: r.Gang, Attempt: r.Attempt}})
	}
	w.retired = append(w.retired, old)
	w.workers[id] = w.newWorker(id, old.Report().Incarnation+1)
}

func (w *gangWorld) worker(id string) *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id]
}

// submit submits a job to the active placer. It returns "" unless the job was
// accepted for certain.
func (w *gangWorld) submit(job api.JobSubmission) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.mu.Lock()
	var active *placer.Placer
	for _, instance := range slices.Sorted(maps.Keys(w.placers)) {
		if running := w.placers[instance]; running.placer.Epoch() > 0 && running.thaw == nil {
			active = running.placer
		}
	}
	w.mu.Unlock()
	if active == nil {
		return ""
	}
	verdict := rules.NewSet(w.document.Rules).Decide(rules.Situation{Work: rules.WorkJob})
	answer, err := active.Submit(ctx, placer.Submission{ID: w.nextID(), Job: job, Verdict: verdict})
	if err != nil {
		return ""
	}
	return answer.ID
}

func (w *gangWorld) nextHolder(instance string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedPlacers++
	return fmt.Sprintf("%s/%d", instance, w.startedPlacers)
}

func (w *gangWorld) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.submittedJobs++
	return fmt.Sprintf("j-%03d~%s", w.submittedJobs, gangZone)
}

// starts returns every start of a task in the history.
func (w *gangWorld) starts() []standin.TaskStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []standin.TaskStart
	for _, old := range w.retired {
		all = append(all, old.Starts()...)
	}
	for _, id := range w.workerIDs {
		all = append(all, w.workers[id].Starts()...)
	}
	return all
}

// stopAll ends every placer.
func (w *gangWorld) stopAll() {
	w.mu.Lock()
	var names []string
	for instance := range w.placers {
		names = append(names, instance)
	}
	w.mu.Unlock()
	for _, instance := range names {
		w.killPlacer(instance)
	}
	synctest.Wait()
}

// gangPayload returns the payload of a job as stand-in workers expect it.
func gangPayload(run time.Duration, fail bool) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"fail":%v}`, run.Milliseconds(), fail))
}

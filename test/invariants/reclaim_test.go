package invariants

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// urgentStart is the longest time until urgent work starts (the target).
const urgentStart = 7200 * time.Millisecond

// takeover is the longest time until another instance places after the placer
// died: two leases.
const takeover = 2 * gangPlacerLease

// reclaimCase is one row of the fault table.
type reclaimCase struct {
	// checkpointable and idempotent describe the borrowers.
	checkpointable, idempotent bool
	// tasks is the size of each borrowing gang, of 8 accelerators a task.
	tasks int
	// storeOut takes the store away once the borrowers are accepted.
	storeOut bool
	// fault is played when all borrowers run, before the claim.
	fault func(w *gangWorld)
	// during is played 300 ms after the claim.
	during func(w *gangWorld)
	// within bounds the time from the claim to the start.
	within time.Duration
}

func refuseCheckpoints(w *gangWorld) {
	for _, id := range w.order {
		w.workers[id].SetFaults(standin.WorkerFaults{RefuseCheckpoint: true})
	}
}

func slowWorker(w *gangWorld) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow[w.order[0]] = 500 * time.Millisecond
}

func killActive(w *gangWorld) {
	for _, instance := range []string{"i-1", "i-2"} {
		if running := w.placers[instance]; running != nil && running.placer.Epoch() > 0 {
			w.killPlacer(instance)
			return
		}
	}
}

var reclaimCases = map[string]reclaimCase{
	"small borrowers that checkpoint":              {checkpointable: true, idempotent: true, tasks: 1, within: urgentStart},
	"small borrowers that are only idempotent":     {idempotent: true, tasks: 1, within: urgentStart},
	"gangs that span racks":                        {checkpointable: true, idempotent: true, tasks: 4, within: urgentStart},
	"one gang holds everything":                    {checkpointable: true, idempotent: true, tasks: 8, within: urgentStart},
	"borrowers that are not idempotent":            {checkpointable: true, tasks: 1, within: urgentStart},
	"checkpoints are refused":                      {checkpointable: true, idempotent: true, tasks: 2, fault: refuseCheckpoints, within: urgentStart},
	"checkpoints are refused and a worker is slow": {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { refuseCheckpoints(w); slowWorker(w) }, within: urgentStart},
	"checkpoints take 3 s":                         {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = 3 * time.Second }, within: urgentStart},
	"checkpoints take longer than they may":        {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = time.Minute }, within: urgentStart},
	"slow checkpoints and a slow worker":           {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = time.Minute; slowWorker(w) }, within: urgentStart},
	"the placer died before the claim":             {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { killActive(w); time.Sleep(takeover) }, within: urgentStart},
	"the store was out at the start and the placer died": {
		checkpointable: true, idempotent: true, tasks: 2, storeOut: true,
		fault: func(w *gangWorld) {
			killActive(w)
			w.platform.SetFault(nil)
			time.Sleep(takeover)
		},
		within: urgentStart,
	},
	"a worker is slow":              {checkpointable: true, idempotent: true, tasks: 2, fault: slowWorker, within: urgentStart},
	"the placer dies in the middle": {checkpointable: true, idempotent: true, tasks: 2, during: killActive, within: takeover + urgentStart},
	"a worker dies in the middle":   {checkpointable: true, idempotent: true, tasks: 1, during: func(w *gangWorld) { w.replaceWorker(w.order[0]) }, within: urgentStart + gangWorkerLease},
}

// TestGuaranteedShapeIsReclaimed fills a zone with borrowers and claims the
// guaranteed shape of another account.
func TestGuaranteedShapeIsReclaimed(t *testing.T) {
	for name, test := range reclaimCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range soakSeeds(3) {
				took, fault := playReclaim(t, seed, test, plantedNone)
				assert.Assert(t, fault == "", "seed %d: %s", seed, fault)
				t.Logf("seed %d: started after %s", seed, took)
				assert.Assert(t, took <= test.within, "seed %d: started after %s, not within %s", seed, took, test.within)
			}
		})
	}
}

// TestReclaimCheckCatchesAPlantedFault shows that a product whose borrowers do
// not stop is seen.
func TestReclaimCheckCatchesAPlantedFault(t *testing.T) {
	test := reclaimCase{checkpointable: false, idempotent: true, tasks: 1, within: urgentStart}
	took, fault := playReclaim(t, 0, test, plantedGenerous)
	assert.Assert(t, fault != "" || took > test.within, "took %s", took)
}

func playReclaim(t *testing.T, seed uint64, test reclaimCase, planted plantedFault) (took time.Duration, fault string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newGangWorld(seed, 2, 4)
		w.planted = planted
		w.startPlacer("i-1")
		w.startPlacer("i-2")
		time.Sleep(3 * time.Second)
		if fault = w.fillWithBorrowers(test); fault == "" {
			took, fault = w.claim(test)
		}
		w.stopAll()
	})
	return took, fault
}

// fillWithBorrowers starts gangs of orbit, which has no guarantee, on every
// accelerator.
func (w *gangWorld) fillWithBorrowers(test reclaimCase) string {
	gangs := len(w.order) / test.tasks
	for i := range gangs {
		id := w.submit(api.JobSubmission{
			Account: "orbit", Kind: "blend", Shape: api.Shape{Tasks: test.tasks, AcceleratorsPerTask: 8},
			Idempotent: test.idempotent, Checkpointable: test.checkpointable, DeclaredRunS: 3600,
			IdempotencyKey: fmt.Sprintf("borrower-%d", i), Payload: gangPayload(time.Hour, false),
		})
		if id == "" {
			return "a borrower was not accepted"
		}
	}
	if test.storeOut {
		w.platform.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	}
	time.Sleep(5 * time.Second)
	if busy := w.busyWorkers(); busy != len(w.order) {
		return fmt.Sprintf("borrowers run on %d of %d workers", busy, len(w.order))
	}
	if test.fault != nil {
		test.fault(w)
	}
	return ""
}

func (w *gangWorld) busyWorkers() int {
	busy := 0
	for _, id := range w.order {
		for _, r := range w.worker(id).Report().Reservations {
			if r.State == api.TaskRunning {
				busy++
			}
		}
	}
	return busy
}

// claim submits the guaranteed shape of acme and waits for it to run whole.
func (w *gangWorld) claim(test reclaimCase) (time.Duration, string) {
	shape := api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
	id := w.submit(api.JobSubmission{
		Account: "acme", Kind: "certificate", Shape: shape, Urgent: true, Idempotent: true,
		DeclaredRunS: 600, IdempotencyKey: "claim", Payload: gangPayload(10*time.Minute, false),
	})
	if id == "" {
		return 0, "the claim was not accepted"
	}
	claimed := time.Now()
	if test.during != nil {
		time.Sleep(300 * time.Millisecond)
		test.during(w)
	}
	for time.Since(claimed) < 2*test.within {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if w.runningTasks(id) == shape.Tasks {
			return time.Since(claimed), ""
		}
	}
	return time.Since(claimed), "the claim does not run:\n" + w.trace(id)
}

func (w *gangWorld) runningTasks(gang string) int {
	tasks := 0
	for _, id := range w.order {
		for _, r := range w.worker(id).Report().Reservations {
			if r.Gang == gang && r.State == api.TaskRunning {
				tasks += r.Tasks
			}
		}
	}
	return tasks
}

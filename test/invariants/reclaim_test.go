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

// urgentStartBound is the target for the time until urgent work starts.
const urgentStartBound = 7200 * time.Millisecond

// takeoverBound is the longest time until another instance places jobs after
// the placer died: two leases.
const takeoverBound = 2 * gangPlacerLease

// reclaimCase is a set of borrowers and faults.
type reclaimCase struct {
	// checkpointable and idempotent are set in the jobs of the borrowers.
	checkpointable, idempotent bool
	// tasks is the number of tasks of each borrowing gang; a task uses 8
	// accelerators.
	tasks int
	// storeOutage starts a store outage once the borrowers are accepted. fault
	// must end it.
	storeOutage bool
	// fault is injected when all borrowers run, before the claim.
	fault func(w *gangWorld)
	// during is injected 300 ms after the claim.
	during func(w *gangWorld)
	// bound is the longest time from the claim to the start.
	bound time.Duration
}

func refuseCheckpoints(w *gangWorld) {
	for _, id := range w.workerIDs {
		w.workers[id].SetFaults(standin.WorkerFaults{RefuseCheckpoint: true})
	}
}

func slowDownWorker(w *gangWorld) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callDelays[w.workerIDs[0]] = 500 * time.Millisecond
}

func killActivePlacer(w *gangWorld) {
	for _, instance := range []string{"i-1", "i-2"} {
		if running := w.placers[instance]; running != nil && running.placer.Epoch() > 0 {
			w.killPlacer(instance)
			return
		}
	}
}

var reclaimCases = map[string]reclaimCase{
	"small borrowers that checkpoint":              {checkpointable: true, idempotent: true, tasks: 1, bound: urgentStartBound},
	"small borrowers that are only idempotent":     {idempotent: true, tasks: 1, bound: urgentStartBound},
	"gangs that span racks":                        {checkpointable: true, idempotent: true, tasks: 4, bound: urgentStartBound},
	"one gang holds everything":                    {checkpointable: true, idempotent: true, tasks: 8, bound: urgentStartBound},
	"borrowers that are not idempotent":            {checkpointable: true, tasks: 1, bound: urgentStartBound},
	"checkpoints are refused":                      {checkpointable: true, idempotent: true, tasks: 2, fault: refuseCheckpoints, bound: urgentStartBound},
	"checkpoints are refused and a worker is slow": {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { refuseCheckpoints(w); slowDownWorker(w) }, bound: urgentStartBound},
	"checkpoints take 3 s":                         {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = 3 * time.Second }, bound: urgentStartBound},
	"checkpoints exceed their time limit":          {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = time.Minute }, bound: urgentStartBound},
	"slow checkpoints and a slow worker":           {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { w.checkpointTime = time.Minute; slowDownWorker(w) }, bound: urgentStartBound},
	"the placer died before the claim":             {checkpointable: true, idempotent: true, tasks: 2, fault: func(w *gangWorld) { killActivePlacer(w); time.Sleep(takeoverBound) }, bound: urgentStartBound},
	"the store was down at the start and the placer died": {
		checkpointable: true, idempotent: true, tasks: 2, storeOutage: true,
		fault: func(w *gangWorld) {
			killActivePlacer(w)
			w.platform.SetFault(nil)
			time.Sleep(takeoverBound)
		},
		bound: urgentStartBound,
	},
	"a worker is slow":                   {checkpointable: true, idempotent: true, tasks: 2, fault: slowDownWorker, bound: urgentStartBound},
	"the placer dies during the reclaim": {checkpointable: true, idempotent: true, tasks: 2, during: killActivePlacer, bound: takeoverBound + urgentStartBound},
	"a worker dies during the reclaim":   {checkpointable: true, idempotent: true, tasks: 1, during: func(w *gangWorld) { w.replaceWorker(w.workerIDs[0]) }, bound: urgentStartBound + gangWorkerLease},
}

// TestGuaranteedShapeIsReclaimed fills a zone with borrowers and submits the
// guaranteed shape of another account, which must start within the bound of the
// case.
func TestGuaranteedShapeIsReclaimed(t *testing.T) {
	for name, test := range reclaimCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range soakSeeds(3) {
				took, violation := simulateReclaim(t, seed, test, plantedNone)
				assert.Assert(t, violation == "", "seed %d: %s", seed, violation)
				t.Logf("seed %d: started after %s", seed, took)
				assert.Assert(t, took <= test.bound, "seed %d: started after %s, not within %s", seed, took, test.bound)
			}
		})
	}
}

// TestReclaimCheckCatchesAPlantedFault verifies that the check above detects
// borrowers that are not stopped.
func TestReclaimCheckCatchesAPlantedFault(t *testing.T) {
	test := reclaimCase{checkpointable: false, idempotent: true, tasks: 1, bound: urgentStartBound}
	took, violation := simulateReclaim(t, 0, test, plantedNoStops)
	assert.Assert(t, violation != "" || took > test.bound, "took %s", took)
}

func simulateReclaim(t *testing.T, seed uint64, test reclaimCase, planted plantedFault) (took time.Duration, violation string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newGangWorld(seed, 2, 4)
		w.planted = planted
		w.startPlacer("i-1")
		w.startPlacer("i-2")
		time.Sleep(3 * time.Second)
		if violation = w.fillWithBorrowers(test); violation == "" {
			took, violation = w.claimGuaranteedShape(test)
		}
		w.stopAll()
	})
	return took, violation
}

// fillWithBorrowers starts gangs of orbit, which has no guarantee, on every
// accelerator.
func (w *gangWorld) fillWithBorrowers(test reclaimCase) string {
	gangs := len(w.workerIDs) / test.tasks
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
	if test.storeOutage {
		w.platform.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	}
	time.Sleep(5 * time.Second)
	if busy := w.busyWorkers(); busy != len(w.workerIDs) {
		return fmt.Sprintf("borrowers run on %d of %d workers", busy, len(w.workerIDs))
	}
	if test.fault != nil {
		test.fault(w)
	}
	return ""
}

// busyWorkers counts the running reservations. Each of them fills one worker.
func (w *gangWorld) busyWorkers() int {
	busy := 0
	for _, id := range w.workerIDs {
		for _, r := range w.worker(id).Report().Reservations {
			if r.State == api.TaskRunning {
				busy++
			}
		}
	}
	return busy
}

// claimGuaranteedShape submits the guaranteed shape of acme and waits until all
// its tasks run.
func (w *gangWorld) claimGuaranteedShape(test reclaimCase) (time.Duration, string) {
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
	for time.Since(claimed) < 2*test.bound {
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
	for _, id := range w.workerIDs {
		for _, r := range w.worker(id).Report().Reservations {
			if r.Gang == gang && r.State == api.TaskRunning {
				tasks += r.Tasks
			}
		}
	}
	return tasks
}

package invariants

import (
	"context"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// partialLimit is the longest time that a gang may run with a part missing: an
// unresponsive worker is considered lost after its lease, and the others are
// stopped within a call or their tasks expire after a lease without renewal.
const partialLimit = 2*gangWorkerLease + 2*gangCallTimeout + time.Second

// gangAttempt identifies one attempt of a gang.
type gangAttempt struct {
	gang    string
	attempt int
}

// gangMonitor detects gangs that run with a part missing, and workers that use
// more accelerators than they have.
type gangMonitor struct {
	world        *gangWorld
	shapes       map[string]api.Shape
	partialSince map[gangAttempt]time.Time
	violations   []string
}

func newGangMonitor(w *gangWorld) *gangMonitor {
	return &gangMonitor{world: w, shapes: make(map[string]api.Shape), partialSince: make(map[gangAttempt]time.Time)}
}

// sample checks the reports of all workers at one instant.
func (m *gangMonitor) sample(now time.Time) {
	running := make(map[gangAttempt]int)
	present := make(map[gangAttempt]int)
	for _, id := range m.world.workerIDs {
		used := 0
		for _, r := range m.world.worker(id).Report().Reservations {
			key := gangAttempt{r.Gang, r.Attempt}
			switch r.State {
			case api.TaskRunning:
				running[key] += r.Tasks
				present[key] += r.Tasks
				used += r.Accelerators
			case api.TaskReserved:
				present[key] += r.Tasks
				used += r.Accelerators
			case api.TaskDone, api.TaskFailed:
				present[key] += r.Tasks
			}
		}
		if used > 8 {
			m.violations = append(m.violations, fmt.Sprintf("worker %s uses %d of 8 accelerators", id, used))
		}
	}
	m.checkPartial(running, present, now)
}

func (m *gangMonitor) checkPartial(running, present map[gangAttempt]int, now time.Time) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	for key := range m.partialSince {
		if running[key] == 0 || present[key] >= m.shapes[key.gang].Tasks {
			delete(m.partialSince, key)
		}
	}
	for key := range running {
		shape, known := m.shapes[key.gang]
		if !known || present[key] >= shape.Tasks {
			continue
		}
		since, seen := m.partialSince[key]
		if !seen {
			m.partialSince[key] = now
		} else if now.Sub(since) > partialLimit {
			m.violations = append(m.violations, fmt.Sprintf("gang %s attempt %d runs %d of %d tasks for %s", key.gang, key.attempt, running[key], shape.Tasks, now.Sub(since)))
		}
	}
}

// checkStarts checks the history of starts against the final records.
func (w *gangWorld) checkStarts(starts []standin.TaskStart, records map[string]jobstore.Record) []string {
	var violations []string
	attempts := make(map[string]map[int][]standin.TaskStart)
	for _, s := range starts {
		if attempts[s.Gang] == nil {
			attempts[s.Gang] = make(map[int][]standin.TaskStart)
		}
		attempts[s.Gang][s.Attempt] = append(attempts[s.Gang][s.Attempt], s)
	}
	for id, record := range records {
		for _, violation := range checkJob(id, record, attempts[id]) {
			violations = append(violations, violation+"\n"+w.trace(id))
		}
	}
	return violations
}

func checkJob(id string, record jobstore.Record, attempts map[int][]standin.TaskStart) []string {
	var violations []string
	submission := record.Submission
	if !submission.Idempotent && len(attempts) > 1 && !resumed(attempts) {
		violations = append(violations, fmt.Sprintf("job %s is not idempotent and ran %d times", id, len(attempts)))
	}
	if record.Outcome == api.OutcomeNotRun && len(attempts) > 0 {
		violations = append(violations, fmt.Sprintf("job %s ended as not_run but %d attempts started", id, len(attempts)))
	}
	whole := wholeAttempts(attempts, submission.Shape.Tasks)
	// The completions of a worker that dies are lost, so an idempotent job may
	// run to completion more than once.
	enough := whole == 1 || submission.Idempotent && whole > 1
	if record.Outcome == api.OutcomeDone && record.ErrorKind == "" && !enough {
		violations = append(violations, fmt.Sprintf("job %s is done with %d complete attempts", id, whole))
	}
	return violations
}

// resumed reports whether at most one attempt started without a checkpoint.
func resumed(attempts map[int][]standin.TaskStart) bool {
	fresh := 0
	for _, starts := range attempts {
		if starts[0].Checkpoint == "" {
			fresh++
		}
	}
	return fresh <= 1
}

// wholeAttempts counts the attempts in which every task succeeded.
func wholeAttempts(attempts map[int][]standin.TaskStart, tasks int) int {
	whole := 0
	for _, starts := range attempts {
		done := 0
		for _, s := range starts {
			if s.State == api.TaskDone {
				done += s.Tasks
			}
		}
		if done == tasks {
			whole++
		}
	}
	return whole
}

// gangRecords reads the final record of every job from the tables.
func gangRecords(w *gangWorld, ids []string) (map[string]jobstore.Record, error) {
	records := make(map[string]jobstore.Record)
	for _, id := range ids {
		record, err := w.store.Get(context.Background(), id)
		if err != nil {
			return nil, err
		}
		records[id] = record
	}
	return records, nil
}

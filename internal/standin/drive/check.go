package drive

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// Tolerance says what a run that is disturbed on purpose may show.
type Tolerance struct {
	// MissingAnswers are right where an instance was killed or frozen.
	MissingAnswers bool
	// StoppedParts are right where a placer or worker was disturbed: parts of a
	// gang that were started and then stopped or lapsed, without an end.
	StoppedParts bool
}

// Check compares the answers with the records and returns every fault found,
// one line each.
func Check(answers []Answer, records Records, tolerance Tolerance) []string {
	c := &checker{
		tolerance: tolerance,
		byKey:     make(map[string][]standin.Execution),
		byID:      make(map[string]int),
		byGang:    make(map[string]map[int][]standin.TaskStart),
	}
	c.index(records)
	for i := range answers {
		c.answer(&answers[i])
	}
	for name, deliveries := range byName(answers) {
		c.piece(name, deliveries)
	}
	sort.Strings(c.faults)
	return c.faults
}

type checker struct {
	tolerance Tolerance
	byKey     map[string][]standin.Execution
	byID      map[string]int
	byGang    map[string]map[int][]standin.TaskStart
	faults    []string
}

func (c *checker) fault(name, format string, args ...any) {
	c.faults = append(c.faults, name+": "+fmt.Sprintf(format, args...))
}

func (c *checker) index(records Records) {
	for _, execution := range records.Executions {
		c.byKey[execution.Key] = append(c.byKey[execution.Key], execution)
		c.byID[execution.ID]++
	}
	for _, start := range records.Starts {
		if c.byGang[start.Gang] == nil {
			c.byGang[start.Gang] = make(map[int][]standin.TaskStart)
		}
		c.byGang[start.Gang][start.Attempt] = append(c.byGang[start.Gang][start.Attempt], start)
	}
}

func byName(answers []Answer) map[string][]Answer {
	names := make(map[string][]Answer)
	for _, answer := range answers {
		names[answer.Name] = append(names[answer.Name], answer)
	}
	return names
}

// answer checks one delivery by itself.
func (c *checker) answer(a *Answer) {
	switch {
	case a.Missing != "" && c.tolerance.MissingAnswers:
	case a.Missing != "":
		c.fault(a.Name, "answer is missing: %s", a.Missing)
	case a.Request != nil:
		c.requestAnswer(a)
	case a.Job != nil:
		c.jobAnswer(a)
	}
}

func (c *checker) requestAnswer(a *Answer) {
	got := a.Request
	c.outcome(a, got.ID, got.Outcome, got.ErrorKind, got.RetryAfterS)
	switch got.Outcome {
	case api.OutcomeDone:
		c.whole(a)
	case api.OutcomeNotRun:
		if c.byID[got.ID] > 0 {
			c.fault(a.Name, "said not_run, but ran as %s", got.ID)
		}
	}
}

// outcome checks what every answer must have.
func (c *checker) outcome(a *Answer, id string, outcome api.Outcome, kind api.Kind, retryAfterS float64) {
	if id == "" && outcome != api.OutcomeNotRun {
		c.fault(a.Name, "answer has no id")
	}
	if !a.piece.expects(outcome) {
		c.fault(a.Name, "outcome %q (%s) is not the expected one", outcome, kind)
	}
	if a.piece.item.ExpectKind != "" && kind != a.piece.item.ExpectKind {
		c.fault(a.Name, "error kind %q in place of %q", kind, a.piece.item.ExpectKind)
	}
	if outcome == api.OutcomeNotRun && api.AnswerFor(kind).RetryAfterS > 0 && retryAfterS <= 0 {
		c.fault(a.Name, "refusal (%s) without a time to come back", kind)
	}
}

// whole checks that the answer's payload is the whole answer to this request.
func (c *checker) whole(a *Answer) {
	var result standin.WorkResult
	if err := json.Unmarshal(a.Request.Payload, &result); err != nil {
		c.fault(a.Name, "answer is not whole: %v", err)
		return
	}
	if result.Key != a.Name || result.Digest != standin.PayloadDigest(a.Sent) {
		c.fault(a.Name, "answer belongs to %q", result.Key)
	}
}

func (c *checker) jobAnswer(a *Answer) {
	got := a.Job
	c.outcome(a, got.ID, got.Outcome, got.ErrorKind, got.RetryAfterS)
	attempts := c.byGang[got.ID]
	switch got.Outcome {
	case api.OutcomeNotRun:
		if len(attempts) > 0 {
			c.fault(a.Name, "said not_run, but was started")
		}
	case api.OutcomeDone:
		c.gang(a, attempts)
	}
}

// gang checks that a job that is done ran whole, in one rack if it asked so.
func (c *checker) gang(a *Answer, attempts map[int][]standin.TaskStart) {
	if len(attempts) == 0 {
		c.fault(a.Name, "said done, but was never started")
	}
	job := a.piece.item.Job
	if len(attempts) > 1 && !job.Idempotent && !job.Checkpointable {
		c.fault(a.Name, "started in %d attempts, but is not idempotent", len(attempts))
	}
	for number, starts := range attempts {
		tasks, accelerators, stopped := 0, 0, true
		for _, start := range starts {
			tasks += start.Tasks
			accelerators += start.Accelerators
			stopped = stopped && (start.State == api.TaskStopped || start.State == api.TaskLapsed)
		}
		whole := tasks == job.Shape.Tasks && accelerators == job.Shape.Accelerators()
		if !whole && !(stopped && c.tolerance.StoppedParts) {
			c.fault(a.Name, "attempt %d ran %d of %d tasks", number, tasks, job.Shape.Tasks)
		}
	}
}

// piece checks all deliveries of one piece of work together.
func (c *checker) piece(name string, deliveries []Answer) {
	if deliveries[0].piece.item.Request == nil {
		c.sameJob(name, deliveries)
		return
	}
	ran := len(c.byKey[name])
	done := 0
	for _, delivery := range deliveries {
		if delivery.Request != nil && delivery.Request.Outcome == api.OutcomeDone {
			done++
		}
	}
	if done > 0 && ran == 0 {
		c.fault(name, "said done, but never ran")
	}
	allowed := len(deliveries)
	if deliveries[0].piece.item.Keyed {
		allowed = 1
	}
	if !deliveries[0].piece.item.Request.Idempotent && ran > allowed {
		c.fault(name, "ran %d times, at most %d allowed", ran, allowed)
	}
}

// sameJob checks that deliveries with one idempotency key became one job.
func (c *checker) sameJob(name string, deliveries []Answer) {
	if !deliveries[0].piece.item.Keyed {
		return
	}
	ids := make(map[string]bool)
	for _, delivery := range deliveries {
		if delivery.Job != nil && delivery.Job.Outcome != api.OutcomeNotRun {
			ids[delivery.Job.ID] = true
		}
	}
	if len(ids) > 1 {
		c.fault(name, "one idempotency key became %d jobs", len(ids))
	}
}

package drive

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// Tolerance lists the deviations that are allowed in a run with injected faults.
type Tolerance struct {
	// MissingAnswers allows missing answers, for runs in which an instance was
	// killed or suspended.
	MissingAnswers bool
	// IncompleteGangs allows attempts in which only a part of the gang was started
	// and all started tasks were stopped or expired, for runs in which a placer or
	// worker was disturbed.
	IncompleteGangs bool
}

// Check compares the answers with the records and returns all problems found,
// one line each, sorted.
func Check(answers []Answer, records Records, tolerance Tolerance) []string {
	c := &checker{
		tolerance:       tolerance,
		executionsByKey: make(map[string][]standin.Execution),
		executionCounts: make(map[string]int),
		startsByGang:    make(map[string]map[int][]standin.TaskStart),
	}
	c.index(records)
	for i := range answers {
		c.checkAnswer(&answers[i])
	}
	for name, deliveries := range groupByName(answers) {
		c.checkDeliveries(name, deliveries)
	}
	sort.Strings(c.problems)
	return c.problems
}

type checker struct {
	tolerance       Tolerance
	executionsByKey map[string][]standin.Execution
	executionCounts map[string]int
	startsByGang    map[string]map[int][]standin.TaskStart
	problems        []string
}

func (c *checker) addProblem(name, format string, args ...any) {
	c.problems = append(c.problems, name+": "+fmt.Sprintf(format, args...))
}

func (c *checker) index(records Records) {
	for _, execution := range records.Executions {
		c.executionsByKey[execution.Key] = append(c.executionsByKey[execution.Key], execution)
		c.executionCounts[execution.ID]++
	}
	for _, start := range records.Starts {
		if c.startsByGang[start.Gang] == nil {
			c.startsByGang[start.Gang] = make(map[int][]standin.TaskStart)
		}
		c.startsByGang[start.Gang][start.Attempt] = append(c.startsByGang[start.Gang][start.Attempt], start)
	}
}

func groupByName(answers []Answer) map[string][]Answer {
	groups := make(map[string][]Answer)
	for _, answer := range answers {
		groups[answer.Name] = append(groups[answer.Name], answer)
	}
	return groups
}

// checkAnswer checks the answer of a single delivery.
func (c *checker) checkAnswer(a *Answer) {
	switch {
	case a.MissingReason != "" && c.tolerance.MissingAnswers:
	case a.MissingReason != "":
		c.addProblem(a.Name, "answer is missing: %s", a.MissingReason)
	case a.Request != nil:
		c.checkRequestAnswer(a)
	case a.Job != nil:
		c.checkJobAnswer(a)
	}
}

func (c *checker) checkRequestAnswer(a *Answer) {
	got := a.Request
	c.checkOutcome(a, got.ID, got.Outcome, got.ErrorKind, got.RetryAfterS)
	switch got.Outcome {
	case api.OutcomeDone:
		c.checkPayload(a)
	case api.OutcomeNotRun:
		if c.executionCounts[got.ID] > 0 {
			c.addProblem(a.Name, "reported as not_run, but ran as %s", got.ID)
		}
	}
}

// checkOutcome checks the fields that requests and jobs have in common.
func (c *checker) checkOutcome(a *Answer, id string, outcome api.Outcome, kind api.Kind, retryAfterS float64) {
	if id == "" && outcome != api.OutcomeNotRun {
		c.addProblem(a.Name, "answer has no id")
	}
	if !a.unit.allowsOutcome(outcome) {
		c.addProblem(a.Name, "unexpected outcome %q (%s)", outcome, kind)
	}
	if a.unit.item.ExpectKind != "" && kind != a.unit.item.ExpectKind {
		c.addProblem(a.Name, "error kind %q, expected %q", kind, a.unit.item.ExpectKind)
	}
	if outcome == api.OutcomeNotRun && api.AnswerFor(kind).RetryAfterS > 0 && retryAfterS <= 0 {
		c.addProblem(a.Name, "refusal (%s) without a retry time", kind)
	}
}

// checkPayload checks that the payload is the complete answer to this request.
func (c *checker) checkPayload(a *Answer) {
	var result standin.WorkResult
	if err := json.Unmarshal(a.Request.Payload, &result); err != nil {
		c.addProblem(a.Name, "answer payload is incomplete: %v", err)
		return
	}
	if result.Key != a.Name || result.Digest != standin.PayloadDigest(a.SentPayload) {
		c.addProblem(a.Name, "answer belongs to %q", result.Key)
	}
}

func (c *checker) checkJobAnswer(a *Answer) {
	got := a.Job
	c.checkOutcome(a, got.ID, got.Outcome, got.ErrorKind, got.RetryAfterS)
	attempts := c.startsByGang[got.ID]
	switch got.Outcome {
	case api.OutcomeNotRun:
		if len(attempts) > 0 {
			c.addProblem(a.Name, "reported as not_run, but was started")
		}
	case api.OutcomeDone:
		c.checkGang(a, attempts)
	}
}

// checkGang checks that each attempt of a completed job started the whole gang,
// and that a job that is neither idempotent nor checkpointable had one attempt
// only.
func (c *checker) checkGang(a *Answer, attempts map[int][]standin.TaskStart) {
	if len(attempts) == 0 {
		c.addProblem(a.Name, "reported as done, but was never started")
	}
	job := a.unit.item.Job
	if len(attempts) > 1 && !job.Idempotent && !job.Checkpointable {
		c.addProblem(a.Name, "started in %d attempts, but is not idempotent", len(attempts))
	}
	for number, starts := range attempts {
		tasks, accelerators, stopped := 0, 0, true
		for _, start := range starts {
			tasks += start.Tasks
			accelerators += start.Accelerators
			stopped = stopped && (start.State == api.TaskStopped || start.State == api.TaskLapsed)
		}
		complete := tasks == job.Shape.Tasks && accelerators == job.Shape.Accelerators()
		if !complete && !(stopped && c.tolerance.IncompleteGangs) {
			c.addProblem(a.Name, "attempt %d ran %d of %d tasks", number, tasks, job.Shape.Tasks)
		}
	}
}

// checkDeliveries checks all deliveries of one request or job together.
func (c *checker) checkDeliveries(name string, deliveries []Answer) {
	if deliveries[0].unit.item.Request == nil {
		c.checkSameJob(name, deliveries)
		return
	}
	runs := len(c.executionsByKey[name])
	done := 0
	for _, delivery := range deliveries {
		if delivery.Request != nil && delivery.Request.Outcome == api.OutcomeDone {
			done++
		}
	}
	if done > 0 && runs == 0 {
		c.addProblem(name, "reported as done, but never ran")
	}
	maxRuns := len(deliveries)
	if deliveries[0].unit.item.Keyed {
		maxRuns = 1
	}
	if !deliveries[0].unit.item.Request.Idempotent && runs > maxRuns {
		c.addProblem(name, "ran %d times, at most %d allowed", runs, maxRuns)
	}
}

// checkSameJob checks that deliveries with one idempotency key created one job.
func (c *checker) checkSameJob(name string, deliveries []Answer) {
	if !deliveries[0].unit.item.Keyed {
		return
	}
	ids := make(map[string]bool)
	for _, delivery := range deliveries {
		if delivery.Job != nil && delivery.Job.Outcome != api.OutcomeNotRun {
			ids[delivery.Job.ID] = true
		}
	}
	if len(ids) > 1 {
		c.addProblem(name, "one idempotency key created %d jobs", len(ids))
	}
}

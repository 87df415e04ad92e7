package drive

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

var sentPayload = json.RawMessage(`{"key":"p"}`)

func resultPayload(key string) json.RawMessage {
	data, _ := json.Marshal(standin.WorkResult{Key: key, Digest: standin.PayloadDigest(sentPayload)})
	return data
}

func requestDelivery(item Item, answer api.RequestAnswer) Answer {
	item.Request = &api.RequestSubmission{}
	return Answer{Name: "p", SentPayload: sentPayload, Request: &answer, unit: workUnit{name: "p", item: item}}
}

func jobDelivery(item Item, answer api.JobAnswer) Answer {
	item.Job = &api.JobSubmission{Shape: api.Shape{Tasks: 2, AcceleratorsPerTask: 4}}
	return Answer{Name: "p", Job: &answer, unit: workUnit{name: "p", item: item}}
}

func newTaskStart(attempt, tasks int) standin.TaskStart {
	return standin.TaskStart{GangRef: api.GangRef{Gang: "j", Attempt: attempt}, Tasks: tasks, Accelerators: 4 * tasks}
}

func TestCheckFindsPlantedFaults(t *testing.T) {
	doneAnswer := api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone, Payload: resultPayload("p")}
	execution := standin.Execution{ID: "r", Key: "p", Finished: true}
	notRunAnswer := api.RequestAnswer{ID: "r", Outcome: api.OutcomeNotRun, ErrorKind: api.KindQueueFull, RetryAfterS: 1}
	doneJob := api.JobAnswer{ID: "j", Outcome: api.OutcomeDone}
	refusedItem := Item{Expect: []api.Outcome{api.OutcomeNotRun}}
	cases := map[string]struct {
		answers []Answer
		records Records
		problem string
	}{
		"a complete answer to a request that ran once": {
			[]Answer{requestDelivery(Item{}, doneAnswer)}, Records{Executions: []standin.Execution{execution}}, "",
		},
		"a missing answer": {[]Answer{{Name: "p", MissingReason: "EOF", unit: workUnit{item: Item{Request: &api.RequestSubmission{}}}}}, Records{}, "missing"},
		"an answer to another request": {
			[]Answer{requestDelivery(Item{}, api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone, Payload: resultPayload("q")})},
			Records{Executions: []standin.Execution{execution}},
			"belongs to",
		},
		"an answer without a payload": {
			[]Answer{requestDelivery(Item{}, api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone})},
			Records{Executions: []standin.Execution{execution}},
			"payload is incomplete",
		},
		"a keyed request that ran twice": {
			[]Answer{requestDelivery(Item{Keyed: true}, doneAnswer), requestDelivery(Item{Keyed: true}, doneAnswer)},
			Records{Executions: []standin.Execution{execution, execution}},
			"ran 2 times",
		},
		"a refused request that ran": {
			[]Answer{requestDelivery(refusedItem, notRunAnswer)}, Records{Executions: []standin.Execution{execution}}, "reported as not_run, but ran",
		},
		"a refusal without a retry time": {
			[]Answer{requestDelivery(refusedItem, api.RequestAnswer{ID: "r", Outcome: api.OutcomeNotRun, ErrorKind: api.KindQueueFull})},
			Records{},
			"without a retry time",
		},
		"an answer to a request that never ran": {[]Answer{requestDelivery(Item{}, doneAnswer)}, Records{}, "never ran"},
		"an unexpected outcome":                 {[]Answer{requestDelivery(Item{}, notRunAnswer)}, Records{}, "unexpected outcome"},
		"a complete gang": {
			[]Answer{jobDelivery(Item{}, doneJob)}, Records{Starts: []standin.TaskStart{newTaskStart(1, 1), newTaskStart(1, 1)}}, "",
		},
		"a partly started gang": {[]Answer{jobDelivery(Item{}, doneJob)}, Records{Starts: []standin.TaskStart{newTaskStart(1, 1)}}, "ran 1 of 2 tasks"},
		"a second attempt of a job that is not idempotent": {
			[]Answer{jobDelivery(Item{}, doneJob)}, Records{Starts: []standin.TaskStart{newTaskStart(1, 2), newTaskStart(2, 2)}}, "2 attempts",
		},
		"one idempotency key that created two jobs": {
			[]Answer{jobDelivery(Item{Keyed: true}, doneJob), jobDelivery(Item{Keyed: true}, api.JobAnswer{ID: "k", Outcome: api.OutcomeDone})},
			Records{Starts: []standin.TaskStart{newTaskStart(1, 2)}},
			"created 2 jobs",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found := strings.Join(Check(tc.answers, tc.records, Tolerance{}), "\n")
			if tc.problem == "" {
				assert.Equal(t, found, "")
				return
			}
			assert.Assert(t, strings.Contains(found, tc.problem), "found %q", found)
		})
	}
}

func TestDemoInputIsValid(t *testing.T) {
	input, err := Load("../../../examples/demo.json")
	assert.NilError(t, err)
	units, err := input.expand()
	assert.NilError(t, err)
	assert.Assert(t, len(units) > 50)
}

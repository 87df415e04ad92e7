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
	return Answer{Name: "p", Sent: sentPayload, Request: &answer, piece: piece{name: "p", item: item}}
}

func jobDelivery(item Item, answer api.JobAnswer) Answer {
	item.Job = &api.JobSubmission{Shape: api.Shape{Tasks: 2, AcceleratorsPerTask: 4}}
	return Answer{Name: "p", Job: &answer, piece: piece{name: "p", item: item}}
}

func taskStart(attempt, tasks int) standin.TaskStart {
	return standin.TaskStart{GangRef: api.GangRef{Gang: "j", Attempt: attempt}, Tasks: tasks, Accelerators: 4 * tasks}
}

func TestCheckFindsPlantedFaults(t *testing.T) {
	done := api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone, Payload: resultPayload("p")}
	ran := standin.Execution{ID: "r", Key: "p", Finished: true}
	notRun := api.RequestAnswer{ID: "r", Outcome: api.OutcomeNotRun, ErrorKind: api.KindQueueFull, RetryAfterS: 1}
	jobDone := api.JobAnswer{ID: "j", Outcome: api.OutcomeDone}
	refusals := Item{Expect: []api.Outcome{api.OutcomeNotRun}}
	cases := map[string]struct {
		answers []Answer
		records Records
		fault   string
	}{
		"a whole answer that ran once is no fault": {
			[]Answer{requestDelivery(Item{}, done)}, Records{Executions: []standin.Execution{ran}}, "",
		},
		"a missing answer": {[]Answer{{Name: "p", Missing: "EOF", piece: piece{item: Item{Request: &api.RequestSubmission{}}}}}, Records{}, "missing"},
		"an answer that belongs to other work": {
			[]Answer{requestDelivery(Item{}, api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone, Payload: resultPayload("q")})},
			Records{Executions: []standin.Execution{ran}},
			"belongs to",
		},
		"an answer without a payload": {
			[]Answer{requestDelivery(Item{}, api.RequestAnswer{ID: "r", Outcome: api.OutcomeDone})},
			Records{Executions: []standin.Execution{ran}},
			"not whole",
		},
		"a keyed request that ran twice": {
			[]Answer{requestDelivery(Item{Keyed: true}, done), requestDelivery(Item{Keyed: true}, done)},
			Records{Executions: []standin.Execution{ran, ran}},
			"ran 2 times",
		},
		"a refused request that ran": {
			[]Answer{requestDelivery(refusals, notRun)}, Records{Executions: []standin.Execution{ran}}, "said not_run, but ran",
		},
		"a refusal without a time to come back": {
			[]Answer{requestDelivery(refusals, api.RequestAnswer{ID: "r", Outcome: api.OutcomeNotRun, ErrorKind: api.KindQueueFull})},
			Records{},
			"time to come back",
		},
		"an answer to what never ran": {[]Answer{requestDelivery(Item{}, done)}, Records{}, "never ran"},
		"an unexpected outcome":       {[]Answer{requestDelivery(Item{}, notRun)}, Records{}, "not the expected one"},
		"a whole gang is no fault": {
			[]Answer{jobDelivery(Item{}, jobDone)}, Records{Starts: []standin.TaskStart{taskStart(1, 1), taskStart(1, 1)}}, "",
		},
		"a gang in part": {[]Answer{jobDelivery(Item{}, jobDone)}, Records{Starts: []standin.TaskStart{taskStart(1, 1)}}, "ran 1 of 2 tasks"},
		"a second attempt of a job that is not idempotent": {
			[]Answer{jobDelivery(Item{}, jobDone)}, Records{Starts: []standin.TaskStart{taskStart(1, 2), taskStart(2, 2)}}, "2 attempts",
		},
		"one key that became two jobs": {
			[]Answer{jobDelivery(Item{Keyed: true}, jobDone), jobDelivery(Item{Keyed: true}, api.JobAnswer{ID: "k", Outcome: api.OutcomeDone})},
			Records{Starts: []standin.TaskStart{taskStart(1, 2)}},
			"became 2 jobs",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found := strings.Join(Check(tc.answers, tc.records, Tolerance{}), "\n")
			if tc.fault == "" {
				assert.Equal(t, found, "")
				return
			}
			assert.Assert(t, strings.Contains(found, tc.fault), "found %q", found)
		})
	}
}

func TestDemoInputIsSound(t *testing.T) {
	input, err := Load("../../../examples/demo.json")
	assert.NilError(t, err)
	pieces, err := input.pieces()
	assert.NilError(t, err)
	assert.Assert(t, len(pieces) > 50)
}

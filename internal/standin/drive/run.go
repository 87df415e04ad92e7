package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// Fleet lists the addresses of the processes that a run uses.
type Fleet struct {
	Entries  []string
	Backends []string
	Workers  []string
}

// Answer is the result of one delivery.
type Answer struct {
	Name string `json:"name"`
	// MissingReason is the reason why there is no answer; empty if there is one.
	MissingReason string             `json:"missing,omitempty"`
	Status        int                `json:"status"`
	Duration      time.Duration      `json:"took"`
	Request       *api.RequestAnswer `json:"request,omitempty"`
	Job           *api.JobAnswer     `json:"job,omitempty"`
	unit          workUnit           `json:"-"`
	SentPayload   json.RawMessage    `json:"-"`
}

// Records are the executions and task starts that the backend servers and
// workers recorded.
type Records struct {
	Executions []standin.Execution
	Starts     []standin.TaskStart
}

// jobWait bounds the time that one call waits for a job to end.
const jobWait = 2 * time.Second

// retryDelay is the delay before a job is queried at the next entry instance.
const retryDelay = 200 * time.Millisecond

// callTimeoutMargin is the time allowed for a call in addition to the time that it
// may wait at the server.
const callTimeoutMargin = 10 * time.Second

// Run sends all work of input and returns one answer for each delivery, in the
// order of the input. It returns when all work has ended or ctx is done.
func Run(ctx context.Context, fleet Fleet, input Input) ([]Answer, error) {
	units, err := input.expand()
	if err != nil {
		return nil, err
	}
	run := &runner{fleet: fleet, client: resty.New(), startedAt: time.Now()}
	defer run.client.GetClient().CloseIdleConnections()
	var answers []*Answer
	var deliveries sync.WaitGroup
	for _, unit := range units {
		for range unit.deliveries {
			answer := &Answer{Name: unit.name, unit: unit, SentPayload: unit.payload}
			entry := fleet.Entries[len(answers)%len(fleet.Entries)]
			answers = append(answers, answer)
			deliveries.Go(func() { run.deliver(ctx, entry, answer) })
		}
	}
	deliveries.Wait()
	result := make([]Answer, len(answers))
	for i, answer := range answers {
		result[i] = *answer
	}
	return result, nil
}

type runner struct {
	fleet     Fleet
	client    *resty.Client
	startedAt time.Time
}

func (r *runner) deliver(ctx context.Context, entry string, answer *Answer) {
	timer := time.NewTimer(time.Until(r.startedAt.Add(answer.unit.arrivalOffset)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		answer.MissingReason = "not sent: " + ctx.Err().Error()
		return
	}
	started := time.Now()
	if answer.unit.item.Request != nil {
		r.deliverRequest(ctx, entry, answer)
	} else {
		r.deliverJob(ctx, entry, answer)
	}
	answer.Duration = time.Since(started)
}

func (r *runner) deliverRequest(ctx context.Context, entry string, answer *Answer) {
	request := answer.unit.buildRequest()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond+callTimeoutMargin)
	defer cancel()
	var got api.RequestAnswer
	if r.call(ctx, "POST", entry, "/v1/requests", request, &got, answer) {
		answer.Request = &got
	}
}

func (r *runner) deliverJob(ctx context.Context, entry string, answer *Answer) {
	submission := answer.unit.buildJob(r.startedAt.Add(answer.unit.arrivalOffset))
	var got api.JobAnswer
	if !r.call(ctx, "POST", entry, "/v1/jobs", submission, &got, answer) {
		return
	}
	if got.Outcome == api.OutcomeAccepted && !r.awaitJob(ctx, &got, answer) {
		return
	}
	answer.Job = &got
}

// awaitJob queries a job at the entry instances in turn until it has ended. After
// a query without an outcome it waits for retryDelay, because an instance may not
// have the job or may not respond. It reports whether the job ended before ctx
// was done.
func (r *runner) awaitJob(ctx context.Context, got *api.JobAnswer, answer *Answer) bool {
	path := fmt.Sprintf("/v1/jobs/%s?wait_ms=%d", got.ID, jobWait.Milliseconds())
	for i := 0; ctx.Err() == nil; i++ {
		var next api.JobAnswer
		entry := r.fleet.Entries[i%len(r.fleet.Entries)]
		pollCtx, cancel := context.WithTimeout(ctx, jobWait+callTimeoutMargin)
		answered := r.call(pollCtx, "GET", entry, path, nil, &next, answer)
		cancel()
		if answered && next.Outcome != "" {
			*got = next
			answer.MissingReason = ""
		}
		if got.Outcome != api.OutcomeAccepted {
			return true
		}
		if !answered || next.Outcome == "" {
			time.Sleep(retryDelay)
		}
	}
	answer.MissingReason = "job " + got.ID + " did not end: " + ctx.Err().Error()
	return false
}

// call makes one HTTP call and decodes the response body, regardless of its
// status. It reports whether that succeeded, and otherwise sets
// answer.MissingReason.
func (r *runner) call(ctx context.Context, method, entry, path string, body, result any, answer *Answer) bool {
	request := r.client.R().SetContext(ctx)
	if body != nil {
		request.SetHeader("Content-Type", "application/json").SetBody(body)
	}
	response, err := request.Execute(method, "http://"+entry+path)
	if err != nil {
		answer.MissingReason = err.Error()
		return false
	}
	answer.Status = response.StatusCode()
	if err := json.Unmarshal(response.Body(), result); err != nil {
		answer.MissingReason = "not whole: " + err.Error()
		return false
	}
	return true
}

// Collect reads the records of all backend servers and workers of fleet.
func Collect(ctx context.Context, fleet Fleet) (Records, error) {
	client := resty.New().SetTimeout(callTimeoutMargin)
	defer client.GetClient().CloseIdleConnections()
	var records Records
	for _, addr := range fleet.Backends {
		var executions []standin.Execution
		if err := getJSON(ctx, client, addr, "/v1/executions", &executions); err != nil {
			return records, err
		}
		records.Executions = append(records.Executions, executions...)
	}
	for _, addr := range fleet.Workers {
		var starts []standin.TaskStart
		if err := getJSON(ctx, client, addr, "/v1/starts", &starts); err != nil {
			return records, err
		}
		records.Starts = append(records.Starts, starts...)
	}
	return records, nil
}

func getJSON(ctx context.Context, client *resty.Client, addr, path string, result any) error {
	response, err := client.R().SetContext(ctx).Get("http://" + addr + path)
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body(), result)
}

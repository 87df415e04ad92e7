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

// Fleet lists the addresses that a run speaks to.
type Fleet struct {
	Entries  []string
	Backends []string
	Workers  []string
}

// Answer is what became of one delivery.
type Answer struct {
	Name string `json:"name"`
	// Missing says why there is no answer; empty if there is one.
	Missing string             `json:"missing,omitempty"`
	Status  int                `json:"status"`
	Took    time.Duration      `json:"took"`
	Request *api.RequestAnswer `json:"request,omitempty"`
	Job     *api.JobAnswer     `json:"job,omitempty"`
	piece   piece              `json:"-"`
	Sent    json.RawMessage    `json:"-"`
}

// Records are what backend servers and workers say they ran.
type Records struct {
	Executions []standin.Execution
	Starts     []standin.TaskStart
}

// jobWait is how long one call waits for a job's end.
const jobWait = 2 * time.Second

// retryPause is the time before the next entry instance is asked for a job.
const retryPause = 200 * time.Millisecond

// callMargin is added to a call's own waiting time.
const callMargin = 10 * time.Second

// Run sends every piece of work and returns one answer for each delivery, in
// the order of the input. It ends when all work has ended, or with ctx.
func Run(ctx context.Context, fleet Fleet, input Input) ([]Answer, error) {
	pieces, err := input.pieces()
	if err != nil {
		return nil, err
	}
	run := &runner{fleet: fleet, client: resty.New(), begin: time.Now()}
	defer run.client.GetClient().CloseIdleConnections()
	var answers []*Answer
	var wait sync.WaitGroup
	for _, p := range pieces {
		for range p.deliveries {
			answer := &Answer{Name: p.name, piece: p, Sent: p.payload}
			entry := fleet.Entries[len(answers)%len(fleet.Entries)]
			answers = append(answers, answer)
			wait.Go(func() { run.deliver(ctx, entry, answer) })
		}
	}
	wait.Wait()
	result := make([]Answer, len(answers))
	for i, answer := range answers {
		result[i] = *answer
	}
	return result, nil
}

type runner struct {
	fleet  Fleet
	client *resty.Client
	begin  time.Time
}

func (r *runner) deliver(ctx context.Context, entry string, answer *Answer) {
	timer := time.NewTimer(time.Until(r.begin.Add(answer.piece.at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		answer.Missing = "not sent: " + ctx.Err().Error()
		return
	}
	started := time.Now()
	if answer.piece.item.Request != nil {
		r.deliverRequest(ctx, entry, answer)
	} else {
		r.deliverJob(ctx, entry, answer)
	}
	answer.Took = time.Since(started)
}

func (r *runner) deliverRequest(ctx context.Context, entry string, answer *Answer) {
	request := answer.piece.request()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond+callMargin)
	defer cancel()
	var got api.RequestAnswer
	if r.call(ctx, "POST", entry, "/v1/requests", request, &got, answer) {
		answer.Request = &got
	}
}

func (r *runner) deliverJob(ctx context.Context, entry string, answer *Answer) {
	submission := answer.piece.job(r.begin.Add(answer.piece.at))
	var got api.JobAnswer
	if !r.call(ctx, "POST", entry, "/v1/jobs", submission, &got, answer) {
		return
	}
	if got.Outcome == api.OutcomeAccepted && !r.follow(ctx, &got, answer) {
		return
	}
	answer.Job = &got
}

// follow asks for a job until it has ended, one entry instance after the other
// when one does not know or does not answer. It reports whether the job ended
// before ctx did.
func (r *runner) follow(ctx context.Context, got *api.JobAnswer, answer *Answer) bool {
	path := fmt.Sprintf("/v1/jobs/%s?wait_ms=%d", got.ID, jobWait.Milliseconds())
	for i := 0; ctx.Err() == nil; i++ {
		var next api.JobAnswer
		entry := r.fleet.Entries[i%len(r.fleet.Entries)]
		callCtx, cancel := context.WithTimeout(ctx, jobWait+callMargin)
		answered := r.call(callCtx, "GET", entry, path, nil, &next, answer)
		cancel()
		if answered && next.Outcome != "" {
			*got = next
			answer.Missing = ""
		}
		if got.Outcome != api.OutcomeAccepted {
			return true
		}
		if !answered || next.Outcome == "" {
			time.Sleep(retryPause)
		}
	}
	answer.Missing = "job " + got.ID + " did not end: " + ctx.Err().Error()
	return false
}

// call makes one call and decodes the answer, whatever its status. It reports
// whether the answer was whole, and records why it was not.
func (r *runner) call(ctx context.Context, method, entry, path string, body, result any, answer *Answer) bool {
	request := r.client.R().SetContext(ctx)
	if body != nil {
		request.SetHeader("Content-Type", "application/json").SetBody(body)
	}
	response, err := request.Execute(method, "http://"+entry+path)
	if err != nil {
		answer.Missing = err.Error()
		return false
	}
	answer.Status = response.StatusCode()
	if err := json.Unmarshal(response.Body(), result); err != nil {
		answer.Missing = "not whole: " + err.Error()
		return false
	}
	return true
}

// Collect reads the records of every backend server and worker of the fleet.
func Collect(ctx context.Context, fleet Fleet) (Records, error) {
	client := resty.New().SetTimeout(callMargin)
	defer client.GetClient().CloseIdleConnections()
	var records Records
	for _, addr := range fleet.Backends {
		var executions []standin.Execution
		if err := get(ctx, client, addr, "/v1/executions", &executions); err != nil {
			return records, err
		}
		records.Executions = append(records.Executions, executions...)
	}
	for _, addr := range fleet.Workers {
		var starts []standin.TaskStart
		if err := get(ctx, client, addr, "/v1/starts", &starts); err != nil {
			return records, err
		}
		records.Starts = append(records.Starts, starts...)
	}
	return records, nil
}

func get(ctx context.Context, client *resty.Client, addr, path string, result any) error {
	response, err := client.R().SetContext(ctx).Get("http://" + addr + path)
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body(), result)
}

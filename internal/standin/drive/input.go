// Package drive submits the work in an input file to entry instances, waits for
// it to complete, and checks the answers against the records of the backend
// servers and workers: every delivery has one complete answer, and no gang runs
// in part.
package drive

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// Input is the content of an input file.
type Input struct {
	Items []Item `json:"items"`
}

// Item describes one or more identical requests or jobs. Exactly one of Request
// and Job is set.
type Item struct {
	// Name is unique in the input. It is used as the key of the payload.
	Name string `json:"name"`
	// AtMS is the time of the first arrival, in milliseconds from the start of
	// the run.
	AtMS int64 `json:"at_ms,omitempty"`
	// Count is the number of requests or jobs, which arrive SpacingMS apart; zero
	// means one.
	Count     int   `json:"count,omitempty"`
	SpacingMS int64 `json:"spacing_ms,omitempty"`
	// Deliveries is the number of times each request or job is sent, to the entry
	// instances in turn; zero means once.
	Deliveries int `json:"deliveries,omitempty"`
	// Keyed uses the name as the idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// DeadlineInS is a job's deadline, in seconds from its arrival.
	DeadlineInS float64 `json:"deadline_in_s,omitempty"`
	// Expect lists the allowed outcomes; empty means only done.
	Expect []api.Outcome `json:"expect,omitempty"`
	// ExpectKind is the expected error kind; empty means that it is not checked.
	ExpectKind api.Kind `json:"expect_kind,omitempty"`
	// Work is the payload. Its key is set from Name.
	Work    standin.WorkPayload    `json:"work"`
	Request *api.RequestSubmission `json:"request,omitempty"`
	Job     *api.JobSubmission     `json:"job,omitempty"`
}

// Load reads and validates an input file.
func Load(file string) (Input, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Input{}, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var input Input
	if err := decoder.Decode(&input); err != nil {
		return Input{}, fmt.Errorf("%s: %w", file, err)
	}
	return input, input.validate()
}

func (in Input) validate() error {
	seen := make(map[string]bool)
	for _, item := range in.Items {
		if item.Name == "" || seen[item.Name] {
			return fmt.Errorf("name %q is empty or duplicate", item.Name)
		}
		seen[item.Name] = true
		if (item.Request == nil) == (item.Job == nil) {
			return fmt.Errorf("%s: exactly one of request and job is required", item.Name)
		}
	}
	return nil
}

// workUnit is one request or job to send.
type workUnit struct {
	name          string
	arrivalOffset time.Duration // from the start of the run
	deliveries    int
	item          Item
	payload       json.RawMessage
}

// expand returns the work units of all items, one for each of an item's Count.
func (in Input) expand() ([]workUnit, error) {
	var units []workUnit
	for _, item := range in.Items {
		count := max(item.Count, 1)
		for i := range count {
			name := item.Name
			if count > 1 {
				name = fmt.Sprintf("%s-%02d", item.Name, i+1)
			}
			work := item.Work
			work.Key = name
			payload, err := json.Marshal(work)
			if err != nil {
				return nil, err
			}
			arrivalOffset := time.Duration(item.AtMS+int64(i)*item.SpacingMS) * time.Millisecond
			units = append(units, workUnit{name: name, arrivalOffset: arrivalOffset, deliveries: max(item.Deliveries, 1), item: item, payload: payload})
		}
	}
	return units, nil
}

func (u workUnit) idempotencyKey() string {
	if u.item.Keyed {
		return u.name
	}
	return ""
}

func (u workUnit) buildRequest() api.RequestSubmission {
	request := *u.item.Request
	request.Payload = u.payload
	request.IdempotencyKey = u.idempotencyKey()
	return request
}

func (u workUnit) buildJob(arrival time.Time) api.JobSubmission {
	job := *u.item.Job
	job.Payload = u.payload
	job.IdempotencyKey = u.idempotencyKey()
	if u.item.DeadlineInS != 0 {
		deadline := arrival.Add(time.Duration(u.item.DeadlineInS * float64(time.Second)))
		job.Deadline = &deadline
	}
	return job
}

// allowsOutcome reports whether outcome is an expected one.
func (u workUnit) allowsOutcome(outcome api.Outcome) bool {
	if len(u.item.Expect) == 0 {
		return outcome == api.OutcomeDone
	}
	for _, expected := range u.item.Expect {
		if outcome == expected {
			return true
		}
	}
	return false
}

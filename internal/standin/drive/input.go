// Package drive sends a file of work through entry instances, follows it to its
// end, and checks the answers against the records of the backend servers and
// workers: no answer missing, doubled or not whole, no gang in part.
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

// Input is a file of work.
type Input struct {
	Items []Item `json:"items"`
}

// Item is one piece of work, or a number of equal ones. Exactly one of Request
// and Job is set.
type Item struct {
	// Name is unique; it becomes the key of the payload.
	Name string `json:"name"`
	// AtMS is the time of the first arrival, in milliseconds from the start.
	AtMS int64 `json:"at_ms,omitempty"`
	// Count makes that many pieces of work, SpacingMS apart; zero means one.
	Count     int   `json:"count,omitempty"`
	SpacingMS int64 `json:"spacing_ms,omitempty"`
	// Deliveries is how often each piece is sent, to one instance after the
	// other; zero means once.
	Deliveries int `json:"deliveries,omitempty"`
	// Keyed gives the piece its name as idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// DeadlineInS is a job's deadline, in seconds from its arrival.
	DeadlineInS float64 `json:"deadline_in_s,omitempty"`
	// Expect lists the outcomes that are right; empty means done only.
	Expect []api.Outcome `json:"expect,omitempty"`
	// ExpectKind is the error kind that is right, if there is to be one.
	ExpectKind api.Kind `json:"expect_kind,omitempty"`
	// Work is the payload; its key is filled in.
	Work    standin.WorkPayload    `json:"work"`
	Request *api.RequestSubmission `json:"request,omitempty"`
	Job     *api.JobSubmission     `json:"job,omitempty"`
}

// Load reads a file of work.
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
	return input, input.check()
}

func (in Input) check() error {
	seen := make(map[string]bool)
	for _, item := range in.Items {
		if item.Name == "" || seen[item.Name] {
			return fmt.Errorf("name %q is empty or given twice", item.Name)
		}
		seen[item.Name] = true
		if (item.Request == nil) == (item.Job == nil) {
			return fmt.Errorf("%s: exactly one of request and job is needed", item.Name)
		}
	}
	return nil
}

// piece is one piece of work to send.
type piece struct {
	name       string
	at         time.Duration
	deliveries int
	item       Item
	payload    json.RawMessage
}

// pieces spells out the counts of the input.
func (in Input) pieces() ([]piece, error) {
	var pieces []piece
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
			at := time.Duration(item.AtMS+int64(i)*item.SpacingMS) * time.Millisecond
			pieces = append(pieces, piece{name: name, at: at, deliveries: max(item.Deliveries, 1), item: item, payload: payload})
		}
	}
	return pieces, nil
}

func (p piece) key() string {
	if p.item.Keyed {
		return p.name
	}
	return ""
}

func (p piece) request() api.RequestSubmission {
	request := *p.item.Request
	request.Payload = p.payload
	request.IdempotencyKey = p.key()
	return request
}

func (p piece) job(arrival time.Time) api.JobSubmission {
	job := *p.item.Job
	job.Payload = p.payload
	job.IdempotencyKey = p.key()
	if p.item.DeadlineInS != 0 {
		deadline := arrival.Add(time.Duration(p.item.DeadlineInS * float64(time.Second)))
		job.Deadline = &deadline
	}
	return job
}

// expects reports whether an outcome is right for the piece.
func (p piece) expects(outcome api.Outcome) bool {
	if len(p.item.Expect) == 0 {
		return outcome == api.OutcomeDone
	}
	for _, expected := range p.item.Expect {
		if outcome == expected {
			return true
		}
	}
	return false
}

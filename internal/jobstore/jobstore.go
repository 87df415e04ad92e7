// Package jobstore keeps the durable part of jobs: that a job was accepted, the
// right to start it, and its final outcome. All of it is rows of the
// platform's tables, changed by compare-and-set.
package jobstore

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// Phase is the durable phase of a job.
type Phase string

// The phases. A job in PhaseStarted may have run.
const (
	PhaseAccepted Phase = "accepted"
	PhaseStarted  Phase = "started"
	PhaseEnded    Phase = "ended"
)

// Record is the durable record of one job.
type Record struct {
	ID         string            `json:"id"`
	Zone       string            `json:"availability_zone"`
	Submission api.JobSubmission `json:"submission"`
	// Rule, Priority, Borrow and MaxWaitMS are the verdict at submission.
	Rule      string `json:"rule"`
	Priority  int    `json:"priority"`
	Borrow    bool   `json:"borrow"`
	MaxWaitMS int64  `json:"max_wait_ms"`
	Phase     Phase  `json:"phase"`
	// Attempt is the number of the last start; Epoch is the epoch of the last writer.
	Attempt int   `json:"attempt"`
	Epoch   int64 `json:"epoch"`
	// Borrowed says that this attempt went beyond its account's guarantee.
	Borrowed bool `json:"borrowed,omitempty"`
	// Checkpoint names the last known checkpoint.
	Checkpoint string  `json:"checkpoint,omitempty"`
	ProgressS  float64 `json:"progress_s,omitempty"`
	// FailedOn lists the workers on which its tasks failed, once for each time.
	FailedOn []string `json:"failed_on,omitempty"`
	// CrashedOn lists the workers that went down under it, once for each time.
	CrashedOn   []string  `json:"crashed_on,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`
	// StartedAt is the time of the last start.
	StartedAt time.Time `json:"started_at,omitzero"`
	EndedAt   time.Time `json:"ended_at,omitzero"`
	// State, Outcome, ErrorKind and Message are final in PhaseEnded.
	State     string      `json:"state,omitempty"`
	Outcome   api.Outcome `json:"outcome,omitempty"`
	ErrorKind api.Kind    `json:"error_kind,omitempty"`
	Message   string      `json:"message,omitempty"`
	// Version is the version of the job's row; it is not part of the row.
	Version int64 `json:"-"`
}

// Store keeps the records. Implementations are safe for concurrent use. Errors
// carry KindConflict if the row has another version, KindStoreUnavailable if
// nothing was written, KindResultUnknown if the write may have taken effect.
type Store interface {
	// Accept inserts a new record, unless its idempotency key names an earlier
	// job of the account; then it returns that one and true.
	Accept(ctx context.Context, record Record) (Record, bool, error)
	// Find returns the job of an account's idempotency key, or KindNotFound. It
	// returns KindKeyReused if that job asks for other work than submission.
	Find(ctx context.Context, submission api.JobSubmission) (Record, error)
	// Update replaces the record if its row still has record.Version, and
	// returns it with the new version.
	Update(ctx context.Context, record Record) (Record, error)
	// Get returns KindNotFound if there is no such job.
	Get(ctx context.Context, id string) (Record, error)
	// Open returns every record of a zone that has not ended.
	Open(ctx context.Context, zone string) ([]Record, error)
	// List returns records of an account, newest first, at most limit; an empty
	// account means all.
	List(ctx context.Context, account string, limit int) ([]Record, error)
}

// Same reports whether two submissions ask for the same work.
func Same(a, b api.JobSubmission) bool { return sameJSON(a, b) }

// Answer is what the record alone tells callers of a job.
func Answer(record Record) api.JobAnswer {
	shape := record.Submission.Shape
	answer := api.JobAnswer{
		ID: record.ID, Outcome: api.OutcomeAccepted, Rule: record.Rule, State: string(record.Phase),
		AvailabilityZone: record.Zone, Attempt: record.Attempt, Account: record.Submission.Account,
		Kind: record.Submission.Kind, Shape: &shape, SubmittedAt: &record.SubmittedAt,
	}
	if record.Phase == PhaseEnded {
		answer.Outcome, answer.ErrorKind, answer.Message = record.Outcome, record.ErrorKind, record.Message
		answer.State = record.State
		answer.EndedAt = &record.EndedAt
		answer.RetryAfterS = api.DefaultRetryAfterS(record.ErrorKind)
	}
	return answer
}

// Package jobstore stores the durable state of jobs: their acceptance, the start
// of an attempt and the final outcome. The state is kept in rows of the
// platform's tables, which are changed by compare-and-set.
package jobstore

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// Phase is the durable phase of a job.
type Phase string

// Phases of a job. A job in PhaseStarted may have run.
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
	// Rule, Priority, Borrow and MaxWaitMS are the verdict of the rules at
	// submission.
	Rule      string `json:"rule"`
	Priority  int    `json:"priority"`
	Borrow    bool   `json:"borrow"`
	MaxWaitMS int64  `json:"max_wait_ms"`
	Phase     Phase  `json:"phase"`
	// Attempt is the number of the last start; Epoch is the epoch of the last writer.
	Attempt int   `json:"attempt"`
	Epoch   int64 `json:"epoch"`
	// Borrowed reports whether this attempt exceeded its account's guarantee.
	Borrowed bool `json:"borrowed,omitempty"`
	// Checkpoint names the last known checkpoint.
	Checkpoint string  `json:"checkpoint,omitempty"`
	ProgressS  float64 `json:"progress_s,omitempty"`
	// FailedOn lists the workers on which tasks of the job failed, one element
	// per failure.
	FailedOn []string `json:"failed_on,omitempty"`
	// CrashedOn lists the workers that crashed while running the job, one element
	// per crash.
	CrashedOn []string `json:"crashed_on,omitempty"`
	// SurvivedS is the longest time, in seconds, for which the job had been reported to run
	// before a worker crashed.
	SurvivedS   float64   `json:"survived_s,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`
	// StartedAt is the time of the last start.
	StartedAt time.Time `json:"started_at,omitzero"`
	EndedAt   time.Time `json:"ended_at,omitzero"`
	// State, Outcome, ErrorKind and Message are set in PhaseEnded and then final.
	State     string      `json:"state,omitempty"`
	Outcome   api.Outcome `json:"outcome,omitempty"`
	ErrorKind api.Kind    `json:"error_kind,omitempty"`
	Message   string      `json:"message,omitempty"`
	// Version is the version of the job's row; it is not stored in the row.
	Version int64 `json:"-"`
}

// Store stores job records. Implementations are safe for concurrent use. Errors
// have KindConflict if the row has another version, KindStoreUnavailable if
// nothing was written, and KindResultUnknown if the write may have taken effect.
type Store interface {
	// Accept inserts a new record and returns it with its version, or with version
	// zero if the version could not be determined. If its idempotency key belongs
	// to an earlier job of the account, it returns that job's record and true
	// instead.
	Accept(ctx context.Context, record Record) (Record, bool, error)
	// FindByKey returns the job with the account's idempotency key, or KindNotFound. It
	// returns KindKeyReused if that job differs from the submission.
	FindByKey(ctx context.Context, submission api.JobSubmission) (Record, error)
	// Update replaces the record if its row still has record.Version, and returns
	// it with the new version, or with version zero if that could not be
	// determined.
	Update(ctx context.Context, record Record) (Record, error)
	// Get returns the record of a job, or KindNotFound if the job does not exist.
	Get(ctx context.Context, id string) (Record, error)
	// ListOpen returns all records of a zone that have not ended.
	ListOpen(ctx context.Context, zone string) ([]Record, error)
	// List returns at most limit records of an account, newest first. An empty
	// account selects all accounts.
	List(ctx context.Context, account string, limit int) ([]Record, error)
}

// SameWork reports whether two submissions request the same work.
func SameWork(a, b api.JobSubmission) bool { return sameJSON(a, b) }

// Answer returns the answer for a job based on its record alone.
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

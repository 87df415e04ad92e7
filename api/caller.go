package api

import (
	"encoding/json"
	"time"
)

// RequestSubmission is the body of POST /v1/requests.
type RequestSubmission struct {
	// Account is the client account to which the request is charged.
	Account string `json:"account"`
	// Kind is the caller's name for this type of work, for example
	// "lot-certificate-check". Rules and estimates refer to it.
	Kind string `json:"kind"`
	// Idempotent declares that the request can safely run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// IdempotencyKey makes repeated submissions count as one request. Optional.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// DeadlineMS is the time for which the caller waits, in milliseconds from
	// arrival. Zero selects the default from the settings.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Payload is passed to the backend server unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// RequestAnswer is the body of every answer to POST /v1/requests.
type RequestAnswer struct {
	// ID is the request's id, assigned by the entry instance.
	ID string `json:"id"`
	// Outcome is done, not_run or unknown.
	Outcome Outcome `json:"outcome"`
	// ErrorKind is set unless the outcome is done.
	ErrorKind Kind `json:"error_kind,omitempty"`
	// Message is a human-readable explanation.
	Message string `json:"message,omitempty"`
	// RetryAfterS is the retry delay in seconds, set on each refusal.
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
	// Rule is the name of the rule that was applied.
	Rule string `json:"rule,omitempty"`
	// BackendServer is the id of the backend server that answered.
	BackendServer string `json:"backend_server,omitempty"`
	// Attempts is the number of dispatches to backend servers.
	Attempts int `json:"attempts,omitempty"`
	// Replayed reports that the answer was recorded for an earlier request with
	// the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
	// Payload is the backend server's answer.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Shape describes the accelerators that a gang needs at the same time.
type Shape struct {
	// Tasks is the number of tasks in the gang, 1 to 512 (MaxGangTasks).
	Tasks int `json:"tasks"`
	// AcceleratorsPerTask is the number of accelerators that each task needs on
	// one worker.
	AcceleratorsPerTask int `json:"accelerators_per_task"`
	// SameRack requires all tasks to run in one rack.
	SameRack bool `json:"same_rack,omitempty"`
}

// Accelerators returns the total number of accelerators over all tasks.
func (s Shape) Accelerators() int { return s.Tasks * s.AcceleratorsPerTask }

// MaxGangTasks is the largest number of tasks in a gang, as given by the
// project's requirements.
const MaxGangTasks = 512

// MaxAcceleratorsPerTask is the largest number of accelerators that one task may
// request on one worker.
const MaxAcceleratorsPerTask = 64

// JobSubmission is the body of POST /v1/jobs.
type JobSubmission struct {
	// Account is the client account to which the job is charged.
	Account string `json:"account"`
	// Kind is the caller's name for this type of work.
	Kind string `json:"kind"`
	// Shape is the gang's shape.
	Shape Shape `json:"shape"`
	// Idempotent declares that the job may be started again after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpointable declares that the job can be stopped and resumed.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// IdempotencyKey makes repeated submissions count as one job. Optional.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Deadline is the time by which the job must have finished. Optional.
	Deadline *time.Time `json:"deadline,omitempty"`
	// DeclaredRunS is the run time expected by the caller, in seconds.
	DeclaredRunS float64 `json:"declared_run_s"`
	// Urgent requests a start within the urgent start target.
	Urgent bool `json:"urgent,omitempty"`
	// AvailabilityZone restricts the job to one availability zone. Optional.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// JobAnswer is the body of every answer about one job.
type JobAnswer struct {
	// ID is the job's id, assigned at submission.
	ID string `json:"id"`
	// Outcome is accepted while the job is in progress, then done, not_run or unknown.
	Outcome Outcome `json:"outcome"`
	// ErrorKind is set unless the outcome is done or accepted.
	ErrorKind Kind `json:"error_kind,omitempty"`
	// Message is a human-readable explanation.
	Message string `json:"message,omitempty"`
	// RetryAfterS is the retry delay in seconds, set on each refusal.
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
	// Rule is the name of the rule that was applied at submission.
	Rule string `json:"rule,omitempty"`
	// State is the job's state in charts/gang.json.
	State string `json:"state,omitempty"`
	// AvailabilityZone is the availability zone whose placer manages the job.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Attempt increases with each reservation of the gang. After a change of
	// placer it continues at the first number of the new epoch:
	// (epoch - 1) * 1000 + 1.
	Attempt int `json:"attempt,omitempty"`
	// Placements lists the workers while the gang is reserved or running.
	Placements []TaskPlacement `json:"placements,omitempty"`
	// Account, Kind and Shape repeat the submission.
	Account string `json:"account,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Shape   *Shape `json:"shape,omitempty"`
	// SubmittedAt, StartedAt and EndedAt are times by the placer's clock.
	SubmittedAt *time.Time `json:"submitted_at,omitempty"`
	StartedAt   *time.Time `json:"started_at,omitempty"`
	EndedAt     *time.Time `json:"ended_at,omitempty"`
	// EstimatedFinish is the current estimate of when a job in progress finishes.
	EstimatedFinish *time.Time `json:"estimated_finish,omitempty"`
}

// TaskPlacement is the part of a gang placed on one worker.
type TaskPlacement struct {
	Worker       string `json:"worker"`
	Tasks        int    `json:"tasks"`
	Accelerators int    `json:"accelerators"`
}

// Decision is one routing or placement decision, as logged and as listed in an
// Explanation.
type Decision struct {
	// At is the time of the decision by the clock of the deciding instance.
	At time.Time `json:"at"`
	// Step names the decision, for example "admit", "route", "place", "reclaim".
	Step string `json:"step"`
	// Subject is the id of the request or job.
	Subject string `json:"subject"`
	// Account is the client account.
	Account string `json:"account"`
	// Rule is the name of the rule that was applied, if any.
	Rule string `json:"rule,omitempty"`
	// Choice is the selected option.
	Choice string `json:"choice"`
	// Reason explains the choice.
	Reason string `json:"reason"`
	// SecondBest is the best alternative, if any.
	SecondBest string `json:"second_best,omitempty"`
	// Instance is the id of the instance that made the decision.
	Instance string `json:"instance,omitempty"`
}

// Explanation is the body of GET /v1/explain/{id}.
type Explanation struct {
	ID        string     `json:"id"`
	Decisions []Decision `json:"decisions"`
}

// JobList is the body of GET /v1/jobs, newest job first.
type JobList struct {
	Jobs []JobAnswer `json:"jobs"`
}

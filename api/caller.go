package api

import (
	"encoding/json"
	"time"
)

// RequestSubmission is the body of POST /v1/requests.
type RequestSubmission struct {
	// Account is the client account that pays for the request.
	Account string `json:"account"`
	// Kind is the caller's name for this sort of work, for example
	// "lot-certificate-check". Rules and estimates go by it.
	Kind string `json:"kind"`
	// Idempotent says that running the request twice does no harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// IdempotencyKey makes several submissions one request. Optional.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// DeadlineMS is the time the caller waits, in milliseconds from arrival.
	// Zero takes the default of the settings.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Payload is handed to the backend server as it is.
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
	// Message is for people.
	Message string `json:"message,omitempty"`
	// RetryAfterS is the time to come back, in seconds, on each refusal.
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
	// Rule is the name of the rule that decided.
	Rule string `json:"rule,omitempty"`
	// BackendServer is the one that answered.
	BackendServer string `json:"backend_server,omitempty"`
	// Attempts is the number of dispatches to backend servers.
	Attempts int `json:"attempts,omitempty"`
	// Replayed says that the answer was recorded for the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
	// Payload is the backend server's answer.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Shape is the accelerators that a gang needs at the same time.
type Shape struct {
	// Tasks is the number of tasks in the gang, 1 to 512 (MaxGangTasks).
	Tasks int `json:"tasks"`
	// AcceleratorsPerTask is needed on one worker for each task.
	AcceleratorsPerTask int `json:"accelerators_per_task"`
	// SameRack demands that all tasks run in one rack.
	SameRack bool `json:"same_rack,omitempty"`
}

// Accelerators returns the total over all tasks.
func (s Shape) Accelerators() int { return s.Tasks * s.AcceleratorsPerTask }

// MaxGangTasks is the largest number of tasks in a gang (the letter's target).
const MaxGangTasks = 512

// MaxAcceleratorsPerTask is the most that one task may ask of one worker.
const MaxAcceleratorsPerTask = 64

// JobSubmission is the body of POST /v1/jobs.
type JobSubmission struct {
	// Account is the client account that pays for the job.
	Account string `json:"account"`
	// Kind is the caller's name for this sort of work.
	Kind string `json:"kind"`
	// Shape is the gang's shape.
	Shape Shape `json:"shape"`
	// Idempotent says that the job may be started again after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpointable says that the job can be stopped and resumed.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// IdempotencyKey makes several submissions one job. Optional.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Deadline is the time by which the job must have finished. Optional.
	Deadline *time.Time `json:"deadline,omitempty"`
	// DeclaredRunS is the run time that the caller expects, in seconds.
	DeclaredRunS float64 `json:"declared_run_s"`
	// Urgent asks for a start within the urgent start target.
	Urgent bool `json:"urgent,omitempty"`
	// AvailabilityZone restricts the job to one zone. Optional.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Payload is handed to the workers as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// JobAnswer is the body of every answer about one job.
type JobAnswer struct {
	// ID is the job's id, assigned at submission.
	ID string `json:"id"`
	// Outcome is accepted while the job is under way, then done, not_run or unknown.
	Outcome Outcome `json:"outcome"`
	// ErrorKind is set unless the outcome is done or accepted.
	ErrorKind Kind `json:"error_kind,omitempty"`
	// Message is for people.
	Message string `json:"message,omitempty"`
	// RetryAfterS is the time to come back, in seconds, on each refusal.
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
	// Rule is the name of the rule that decided at submission.
	Rule string `json:"rule,omitempty"`
	// State is the job's state in charts/gang.json.
	State string `json:"state,omitempty"`
	// AvailabilityZone is the zone whose placer has the job.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Attempt rises with each reservation of the gang. After a change of placers it
	// goes on with the first number of the new epoch: (epoch - 1) * 1000 + 1.
	Attempt int `json:"attempt,omitempty"`
	// Placements lists the workers while the gang is reserved or running.
	Placements []TaskPlacement `json:"placements,omitempty"`
	// Account, Kind and Shape repeat the submission.
	Account string `json:"account,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Shape   *Shape `json:"shape,omitempty"`
	// SubmittedAt, StartedAt and EndedAt are in the placer's time.
	SubmittedAt *time.Time `json:"submitted_at,omitempty"`
	StartedAt   *time.Time `json:"started_at,omitempty"`
	EndedAt     *time.Time `json:"ended_at,omitempty"`
	// EstimatedFinish is the present estimate, for a job under way.
	EstimatedFinish *time.Time `json:"estimated_finish,omitempty"`
}

// TaskPlacement is a number of a gang's tasks on one worker.
type TaskPlacement struct {
	Worker       string `json:"worker"`
	Tasks        int    `json:"tasks"`
	Accelerators int    `json:"accelerators"`
}

// Decision is one routing or placement decision, as logged and explained.
type Decision struct {
	// At is the decider's time.
	At time.Time `json:"at"`
	// Step names the decision, for example "admit", "route", "place", "reclaim".
	Step string `json:"step"`
	// Subject is the id of the request or job.
	Subject string `json:"subject"`
	// Account is the client account.
	Account string `json:"account"`
	// Rule is the rule that decided, if one did.
	Rule string `json:"rule,omitempty"`
	// Choice is what was chosen.
	Choice string `json:"choice"`
	// Reason says why.
	Reason string `json:"reason"`
	// SecondBest is the best alternative, if there was one.
	SecondBest string `json:"second_best,omitempty"`
	// Instance made the decision.
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

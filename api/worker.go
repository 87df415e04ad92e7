package api

import (
	"encoding/json"
	"time"
)

// GangRef names one attempt of a gang towards a worker, under the epoch of the
// placer that speaks. A worker refuses an epoch below the highest it has seen.
type GangRef struct {
	Epoch   int64  `json:"epoch"`
	Gang    string `json:"gang"`
	Attempt int    `json:"attempt"`
}

// Reserve is the body of POST /v1/reserve on a worker. Repeating it is harmless.
type Reserve struct {
	GangRef
	Account      string `json:"account"`
	Accelerators int    `json:"accelerators"`
	Tasks        int    `json:"tasks"`
	// TTLMS is the life of the reservation unless started, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// Start is the body of POST /v1/start: it commits a reservation.
type Start struct {
	GangRef
	// LeaseMS is the life of the running tasks unless renewed.
	LeaseMS int64 `json:"lease_ms"`
	// Checkpoint names the checkpoint to resume from, if any.
	Checkpoint string          `json:"checkpoint,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Renew is the body of POST /v1/renew: it extends the leases of the listed
// gangs. The answer is a WorkerReport.
type Renew struct {
	Epoch   int64     `json:"epoch"`
	LeaseMS int64     `json:"lease_ms"`
	Gangs   []GangRef `json:"gangs"`
}

// Release is the body of POST /v1/release: it gives up a reservation, or
// acknowledges the end of its tasks. A released attempt never starts.
type Release struct {
	GangRef
}

// Stop is the body of POST /v1/stop, /v1/checkpoint and /v1/throttle.
type Stop struct {
	GangRef
	// WithinMS is the time the worker has for it, in milliseconds.
	WithinMS int64 `json:"within_ms"`
}

// StopAnswer is the answer to a stop, checkpoint or throttle.
type StopAnswer struct {
	// Checkpoint names the checkpoint that was written, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a reservation on a worker.
type TaskState string

// The states of a reservation on a worker.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
	// TaskLapsed means the lease ran out and the worker stopped the tasks.
	TaskLapsed TaskState = "lapsed"
)

// ReservationReport is one reservation as the worker sees it. Ended ones stay
// until they are released.
type ReservationReport struct {
	GangRef
	Account      string    `json:"account"`
	Accelerators int       `json:"accelerators"`
	Tasks        int       `json:"tasks"`
	State        TaskState `json:"state"`
	Throttled    bool      `json:"throttled,omitempty"`
	Checkpoint   string    `json:"checkpoint,omitempty"`
	Message      string    `json:"message,omitempty"`
	// RanS is the time the tasks have run, in seconds.
	RanS float64 `json:"ran_s"`
}

// WorkerReport is the answer to GET /v1/report and to POST /v1/renew.
type WorkerReport struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Incarnation      int64  `json:"incarnation"`
	Accelerators     int    `json:"accelerators"`
	Leaving          bool   `json:"leaving,omitempty"`
	// HighestEpoch is the highest epoch the worker has seen.
	HighestEpoch int64               `json:"highest_epoch"`
	Reservations []ReservationReport `json:"reservations"`
	// UsageAsOf is the time of the usage figures, which lag.
	UsageAsOf time.Time `json:"usage_as_of"`
}

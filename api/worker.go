package api

import (
	"encoding/json"
	"time"
)

// GangRef identifies one attempt of a gang in a message between a placer and a
// worker. Epoch is the epoch of the calling placer; a worker refuses an epoch
// below the highest it has seen.
type GangRef struct {
	Epoch   int64  `json:"epoch"`
	Gang    string `json:"gang"`
	Attempt int    `json:"attempt"`
}

// Reserve is the body of POST /v1/reserve on a worker. The call is idempotent.
type Reserve struct {
	GangRef
	Account      string `json:"account"`
	Accelerators int    `json:"accelerators"`
	Tasks        int    `json:"tasks"`
	// TTLMS is the time after which the reservation expires unless it is started,
	// in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// Start is the body of POST /v1/start, which commits a reservation.
type Start struct {
	GangRef
	// LeaseMS is the time after which the lease of the running tasks expires
	// unless it is renewed, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Checkpoint names the checkpoint to resume from, if any.
	Checkpoint string          `json:"checkpoint,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Renew is the body of POST /v1/renew, which extends the leases of the listed
// gangs. The answer is a WorkerReport.
type Renew struct {
	Epoch   int64     `json:"epoch"`
	LeaseMS int64     `json:"lease_ms"`
	Gangs   []GangRef `json:"gangs"`
}

// Release is the body of POST /v1/release, which cancels a reservation or
// acknowledges that its tasks have ended. A released attempt never starts.
type Release struct {
	GangRef
}

// Stop is the body of POST /v1/stop, /v1/checkpoint and /v1/throttle.
type Stop struct {
	GangRef
	// WithinMS is the time limit for the operation, in milliseconds.
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
	// TaskLapsed means that the lease expired and the worker stopped the tasks.
	TaskLapsed TaskState = "lapsed"
)

// ReservationReport describes one reservation as known to the worker. A
// reservation that has ended remains in the report until it is released.
type ReservationReport struct {
	GangRef
	Account      string    `json:"account"`
	Accelerators int       `json:"accelerators"`
	Tasks        int       `json:"tasks"`
	State        TaskState `json:"state"`
	Throttled    bool      `json:"throttled,omitempty"`
	Checkpoint   string    `json:"checkpoint,omitempty"`
	Message      string    `json:"message,omitempty"`
	// RanS is the time for which the tasks have run, in seconds.
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
	// UsageAsOf is the time to which the usage figures apply; they lag behind.
	UsageAsOf time.Time `json:"usage_as_of"`
}

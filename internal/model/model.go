// Package model defines the types that the decision packages share: workers,
// jobs, gangs, client accounts and their guarantees, objectives, backend servers
// and instances. The types are plain data. Every holder of a value may read it;
// a value that was passed to another goroutine must not be modified again.
package model

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// WorkerHealth is a state of charts/worker.json.
type WorkerHealth string

// The health states of a worker.
const (
	WorkerHealthy     WorkerHealth = "healthy"
	WorkerSuspect     WorkerHealth = "suspect"
	WorkerQuarantined WorkerHealth = "quarantined"
	WorkerProbing     WorkerHealth = "probing"
	WorkerLeaving     WorkerHealth = "leaving"
	WorkerLost        WorkerHealth = "lost"
)

// Worker describes a worker of an availability zone.
type Worker struct {
	ID           string
	Addr         string
	Rack         string
	Zone         string
	Incarnation  int64
	Accelerators int
	Health       WorkerHealth
	// LastReport is the local time of the worker's last report.
	LastReport time.Time
}

// AcceptsTasks reports whether new tasks may be placed on the worker.
func (w Worker) AcceptsTasks() bool { return w.Health == WorkerHealthy }

// GangState is a state of charts/gang.json.
type GangState string

// The states in which a gang holds or requests accelerators.
const (
	GangWaiting   GangState = "waiting"
	GangReserving GangState = "reserving"
	GangStarting  GangState = "starting"
	GangRunning   GangState = "running"
	GangStopping  GangState = "stopping"
)

// Job describes an accepted job to the scheduler.
type Job struct {
	ID             string
	Account        string
	Kind           string
	Shape          api.Shape
	Idempotent     bool
	Checkpointable bool
	Urgent         bool
	SubmittedAt    time.Time
	// Deadline is zero if the job has none.
	Deadline        time.Time
	DeclaredRunTime time.Duration
	// Progress is the run time that the last checkpoint covers.
	Progress time.Duration
	// Priority is set by the rule; within an account, jobs of higher priority
	// are placed first.
	Priority int
	// MayBorrow is set by the rule: the job may use accelerators beyond its
	// account's guarantee.
	MayBorrow bool
	// MaxWait is set by the rule; zero means no limit.
	MaxWait time.Duration
	// Attempt is the number of the last start; 0 before the first start.
	Attempt int
	// Avoid lists workers on which the job failed. It is placed on others as
	// long as the zone has other workers that could hold it.
	Avoid []string
}

// Preemptible reports whether the scheduler may stop the job to reclaim its
// accelerators: it can be resumed from a checkpoint or run again.
func (j Job) Preemptible() bool { return j.Idempotent || j.Checkpointable }

// Gang is a job that holds accelerators.
type Gang struct {
	Job        Job
	State      GangState
	Placements []api.TaskPlacement
	StartedAt  time.Time
	// ExpectedCompletion is the corrected estimate of the completion time.
	ExpectedCompletion time.Time
	// Borrowed is true if the gang runs beyond its account's guarantee.
	Borrowed bool
}

// GuaranteedShape is a shape that is guaranteed to an account Count times in a
// zone.
type GuaranteedShape struct {
	api.Shape
	Count int `json:"count"`
}

// ClientAccount is a customer with guarantees and limits.
type ClientAccount struct {
	// Name is the account's id, unique in the configuration.
	Name string `json:"name"`
	// Guarantees lists the guaranteed shapes by availability zone.
	Guarantees map[string][]GuaranteedShape `json:"guarantees,omitempty"`
	// Weight is the account's share, relative to other accounts, of what no
	// guarantee covers; zero means 1.
	Weight int `json:"weight,omitempty"`
	// MaxInFlight bounds the requests dispatched at the same time by one
	// availability zone; zero means no limit. The zone's live instances share
	// it evenly, with at least one request each.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxQueued bounds the requests that wait in one instance; zero means 2000.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxJobs bounds the waiting and running jobs in one availability zone.
	MaxJobs int `json:"max_jobs,omitempty"`
	// MaxAccelerators bounds guaranteed and borrowed use in one zone; zero
	// means no bound.
	MaxAccelerators int `json:"max_accelerators,omitempty"`
}

// GuaranteedAccelerators returns the account's guarantee in a zone.
func (a ClientAccount) GuaranteedAccelerators(zone string) int {
	total := 0
	for _, shape := range a.Guarantees[zone] {
		total += shape.Count * shape.Accelerators()
	}
	return total
}

// Objectives weighs the two measures of a deployment against each other.
type Objectives struct {
	// CompletionTime and Fragmentation are weights from 0 to 1.
	CompletionTime float64 `json:"completion_time"`
	Fragmentation  float64 `json:"fragmentation"`
}

// BackendState is a state of charts/backend_server.json.
type BackendState string

// The states of a backend server.
const (
	BackendReady   BackendState = "ready"
	BackendRamping BackendState = "ramping"
	BackendEjected BackendState = "ejected"
	BackendLeaving BackendState = "leaving"
	BackendGone    BackendState = "gone"
)

// BackendServer describes a backend server of an availability zone.
type BackendServer struct {
	ID          string
	Addr        string
	Zone        string
	Incarnation int64
	Slots       int
	State       BackendState
}

// Instance describes an entry instance of the fleet.
type Instance struct {
	ID          string
	Addr        string
	PeerAddr    string
	Zone        string
	Incarnation int64
	Leaving     bool
	// LastSeen is the local time of the last contact.
	LastSeen time.Time
}

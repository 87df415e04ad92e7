// Package placement decides which gangs start where, which gangs are stopped to return
// guaranteed capacity to its account, and which jobs are refused. It is a pure
// function from a snapshot to a plan and uses no clock, network or randomness. The
// placer applies a plan, and checks again the placements that cannot be undone (see
// Recheck).
package placement

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Snapshot is the complete input of a placement decision. Decide neither modifies it
// nor keeps a reference to it.
type Snapshot struct {
	Now  time.Time
	Zone string
	// Workers are the workers of the zone, whatever their health.
	Workers []model.Worker
	// Gangs are the gangs that hold accelerators: reserving, starting, running or
	// stopping.
	Gangs []model.Gang
	// Waiting are the jobs that hold no accelerators, in submission order.
	Waiting []model.Job
	// KeptRegions are the regions that the previous plan kept for claims that wait for other
	// gangs to stop.
	KeptRegions []KeptRegion
	Accounts    []model.ClientAccount
	Objectives  model.Objectives
	// RunTimes corrects declared run times.
	RunTimes estimate.Source
}

// Plan is the result of Decide.
type Plan struct {
	// Placements are the gangs to reserve accelerators for and start now.
	Placements []Placement
	// Reclaims are the gangs to stop so that another account gets its guarantee, or so
	// that an urgent job of the same account can start. A later plan places jobs on
	// the freed accelerators.
	Reclaims []Reclaim
	// KeptRegions are the regions that claims wait for. The next snapshot must contain them.
	KeptRegions []KeptRegion
	// Refusals are the jobs to end with not_run.
	Refusals []Refusal
	// Decisions has one entry for each item above.
	Decisions []api.Decision
	// AtRisk maps a client account to the reason why one of its guaranteed shapes
	// cannot be provided even if every borrower is stopped, for example because
	// workers were lost.
	AtRisk map[string]string
}

// Placement assigns the tasks of one gang to workers.
type Placement struct {
	JobID string
	Tasks []api.TaskPlacement
	// Borrowed is true if the gang exceeds the guarantee of its account.
	Borrowed bool
	// ExpectedCompletion is the end of the run according to the corrected run time.
	ExpectedCompletion time.Time
}

// Method is the procedure by which a gang returns its accelerators.
type Method string

// The methods, from cheap to costly. Workers can also throttle a gang, but throttling
// is not a method: alone it frees nothing immediately. It only helps a checkpoint that
// follows to finish in time.
const (
	MethodCheckpoint Method = "checkpoint"
	MethodStop       Method = "stop"
)

// Reclaim orders one gang to return its accelerators.
type Reclaim struct {
	// JobID is the job of the gang to stop.
	JobID string
	// ClaimantID is the ID of the waiting job that claims its guarantee.
	ClaimantID string
	Method     Method
	// Timeout is the time limit of the method. After it, the gang is stopped without a
	// checkpoint.
	Timeout time.Duration
}

// Refusal ends a waiting or submitted job with not_run.
type Refusal struct {
	JobID      string
	Kind       api.Kind
	Reason     string
	RetryAfter time.Duration
}

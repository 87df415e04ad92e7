package placer

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
)

// part is a gang's share on one worker.
type part struct {
	worker string
	addr   string
	task   api.TaskPlacement
}

// action is something the core wants done outside. The shell runs it in the
// pool and posts the event that it results in.
type action interface{ isAction() }

// reserveAction reserves every part, or none: on a refusal it releases what it
// got. It results in reservedEvent.
type reserveAction struct {
	ref     api.GangRef
	account string
	parts   []part
	// ttl is the life of a reservation that is not started. It is far longer
	// than a start, so that no part lapses while another is being started.
	ttl time.Duration
}

// grantAction writes the right to start into the job's row. It results in
// grantedEvent.
type grantAction struct {
	record jobstore.Record
}

// startAction starts every part. It results in startedEvent.
type startAction struct {
	ref        api.GangRef
	parts      []part
	lease      time.Duration
	checkpoint string
	payload    []byte
}

// stopAction stops every part, after a checkpoint if one is asked for. It
// results in stoppedEvent.
type stopAction struct {
	ref        api.GangRef
	parts      []part
	checkpoint bool
	within     time.Duration
}

// releaseAction gives up reservations or acknowledges ended ones. It results in
// nothing: what it misses is found again in the worker's next report.
type releaseAction struct {
	ref   api.GangRef
	parts []part
}

// persistAction writes a job's record. It results in persistedEvent.
type persistAction struct {
	record jobstore.Record
}

// reloadAction reads a job's record after a write whose result is not known. It
// results in persistedEvent.
type reloadAction struct {
	record jobstore.Record
}

// recoverAction reads the open records of the zone and a report of each worker
// under the new epoch. It results in recoveredEvent.
type recoverAction struct {
	epoch int64
}

// reconcileAction reads the open records of the zone again. A submission whose
// row was written while the lease changed hands is in no placer's memory; this
// finds it. It results in reconciledEvent.
type reconcileAction struct {
	epoch int64
}

func (reconcileAction) isAction() {}
func (reserveAction) isAction()   {}
func (grantAction) isAction()     {}
func (startAction) isAction()     {}
func (stopAction) isAction()      {}
func (releaseAction) isAction()   {}
func (persistAction) isAction()   {}
func (reloadAction) isAction()    {}
func (recoverAction) isAction()   {}

// event is a result or a report that changes the core.
type event interface{ apply(c *core, now time.Time) }

// reservedEvent is the result of a reserveAction. err is nil if every worker
// holds its part.
type reservedEvent struct {
	ref    api.GangRef
	parts  []part
	worker string
	err    error
}

// grantedEvent is the result of a grantAction.
type grantedEvent struct {
	ref    api.GangRef
	record jobstore.Record
	err    error
}

// startedEvent is the result of a startAction. mayRun says that at least one
// worker may have started its part.
type startedEvent struct {
	ref    api.GangRef
	worker string
	mayRun bool
	err    error
}

// stoppedEvent is the result of a stopAction. checkpoint is set if every part
// wrote one. unconfirmed lists the workers that did not confirm; their leases
// lapse.
type stoppedEvent struct {
	ref         api.GangRef
	checkpoint  string
	unconfirmed []string
}

// persistedEvent is the result of a persistAction or reloadAction.
type persistedEvent struct {
	id     string
	record jobstore.Record
	err    error
}

// reportEvent is a worker's report, or its silence (err).
type reportEvent struct {
	worker string
	// epoch is the one that the renewal was sent under.
	epoch  int64
	report api.WorkerReport
	err    error
	// sentAt is when the renewal left; leases count from there.
	sentAt time.Time
}

// recoveredEvent is the result of a recoverAction.
type recoveredEvent struct {
	epoch int64
	// workers are those that were asked, whether they answered or not.
	workers []model.Worker
	records []jobstore.Record
	// recent are the newest jobs of all zones, the newest first: what they really
	// took corrects the estimates, which a placer keeps only in memory.
	recent  []jobstore.Record
	reports []reportEvent
	err     error
}

// reconciledEvent is the result of a reconcileAction.
type reconciledEvent struct {
	epoch   int64
	records []jobstore.Record
}

// termEvent says that the instance holds the zone's lease, or does not.
type termEvent struct {
	epoch int64
	held  bool
	// mayPlace is false while the holder must start nothing new.
	mayPlace bool
	// platform says whether the store answers.
	platform bool
}

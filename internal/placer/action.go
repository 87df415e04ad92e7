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

// action is a side effect requested by the core. The shell executes it in the
// pool and posts the resulting event.
type action interface{ isAction() }

// reserveAction reserves every part. If a worker refuses, all parts are
// released. It results in reservedEvent.
type reserveAction struct {
	ref     api.GangRef
	account string
	parts   []part
	// ttl is the time after which a reservation without a start expires. It is
	// far longer than a start takes, so that no part expires while another is
	// started.
	ttl time.Duration
}

// recordStartAction stores the start in the job's row before any part is
// started. It results in startRecordedEvent.
type recordStartAction struct {
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

// stopAction stops every part, after a checkpoint if one is requested. It
// results in stoppedEvent.
type stopAction struct {
	ref        api.GangRef
	parts      []part
	checkpoint bool
	timeout    time.Duration
}

// releaseAction releases reservations and acknowledges ended ones. It posts no
// event: the worker's next report shows any reservation that is left.
type releaseAction struct {
	ref   api.GangRef
	parts []part
}

// writeRecordAction writes a job's record. It results in recordWrittenEvent.
type writeRecordAction struct {
	record jobstore.Record
}

// readRecordAction reads a job's record after a write with an unknown result.
// It results in recordWrittenEvent.
type readRecordAction struct {
	record jobstore.Record
}

// recoverAction reads the open records of the zone and a report of each worker
// under the new epoch. It results in recoveredEvent.
type recoverAction struct {
	epoch int64
}

// reconcileAction reads the open records of the zone again, to find submissions
// whose rows were written while the lease changed hands and which no placer has
// in memory. It results in reconciledEvent.
type reconcileAction struct {
	epoch int64
}

func (reconcileAction) isAction()   {}
func (reserveAction) isAction()     {}
func (recordStartAction) isAction() {}
func (startAction) isAction()       {}
func (stopAction) isAction()        {}
func (releaseAction) isAction()     {}
func (writeRecordAction) isAction() {}
func (readRecordAction) isAction()  {}
func (recoverAction) isAction()     {}

// event is the result of an action, a worker's report or a call; it changes or
// reads the core.
type event interface{ apply(c *core, now time.Time) }

// reservedEvent is the result of a reserveAction. err is nil if every worker
// holds its part; otherwise worker and err describe the first reservation that
// failed.
type reservedEvent struct {
	ref    api.GangRef
	parts  []part
	worker string
	err    error
}

// startRecordedEvent is the result of a recordStartAction.
type startRecordedEvent struct {
	ref    api.GangRef
	record jobstore.Record
	err    error
}

// startedEvent is the result of a startAction. mayHaveStarted reports whether
// at least one worker may have started its part. worker and err describe the
// first start that failed, if any.
type startedEvent struct {
	ref            api.GangRef
	worker         string
	mayHaveStarted bool
	err            error
}

// stoppedEvent is the result of a stopAction. checkpoint is set if every part
// wrote one. unconfirmed lists the workers that did not confirm the stop; their
// tasks end when their leases expire.
type stoppedEvent struct {
	ref         api.GangRef
	checkpoint  string
	unconfirmed []string
}

// recordWrittenEvent is the result of a writeRecordAction or readRecordAction.
type recordWrittenEvent struct {
	id     string
	record jobstore.Record
	err    error
}

// reportEvent is a worker's answer to a renewal: its report, or an error.
type reportEvent struct {
	worker string
	// epoch is the epoch under which the renewal was sent.
	epoch  int64
	report api.WorkerReport
	err    error
	// sentAt is the time at which the renewal was sent; leases start then.
	sentAt time.Time
}

// recoveredEvent is the result of a recoverAction.
type recoveredEvent struct {
	epoch int64
	// workers lists all workers to which a renewal was sent, with or without an
	// answer.
	workers []model.Worker
	records []jobstore.Record
	// recent lists the newest jobs of all zones, newest first. Their run times
	// correct the estimates, which a placer keeps only in memory.
	recent  []jobstore.Record
	reports []reportEvent
	err     error
}

// reconciledEvent is the result of a reconcileAction.
type reconciledEvent struct {
	epoch   int64
	records []jobstore.Record
}

// leaseEvent reports whether the instance holds the zone's lease.
type leaseEvent struct {
	epoch      int64
	holdsLease bool
	// mayPlace is false while the holder must not start new work.
	mayPlace bool
	// platformReachable reports whether the store answers.
	platformReachable bool
}

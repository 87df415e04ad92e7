package quarantine

import "time"

// Crash counts distinguish tasks that crash their workers from workers that crash for
// other reasons. Without them a job that crashes its worker on every start, and ends
// everything else that runs there, is started again whenever a worker returns. A crash
// counts against every task that ran on the worker, because it is not known which one
// caused it; tasks that are not the cause continue to run on other workers. The caller
// must store the counts before the next start of such a task, so that they survive a
// change of leader.

// A crash says nothing against a task that has run for longer elsewhere, so crashes that a
// run has outlived do not count. Without this rule a sound job that loses several workers
// to other causes fails permanently.

// CrashLimit is the number of crashed workers at which a task fails permanently, if one of
// them ran no other job. A worker may itself be faulty, so one or two crashes are not
// conclusive, and neither are three that tasks of other jobs may have caused.
const CrashLimit = 3

// LossLimit is the number of starts lost together with their workers at which a task
// fails permanently, including those where many workers crashed at once, those whose
// worker may be running behind a network partition, and those where it is unknown
// whether the start was carried out.
const LossLimit = 5

// survivorFactor multiplies both limits for a task that has run for longer than
// startupTime: it crashes its workers later, if at all, so that chance is the likelier
// cause of each crash.
const survivorFactor = 2

// startupTime is the run time within which most tasks that crash their workers do so.
const startupTime = 500 * time.Millisecond

// reportDelay is the longest usual time from a worker's last report to its crash.
const reportDelay = 1500 * time.Millisecond

// Outlived reports whether a run that was observed for the time survived shows that the
// task did not cause a crash of another run, which had last been observed at the time
// observed.
func Outlived(survived, observed time.Duration) bool { return survived > observed+reportDelay }

// provenRunTime is the run time after which a task is known not to crash its worker:
// tasks that do so do it earlier.
const provenRunTime = time.Minute

// Crashes counts the workers that crashed, or may have crashed, under a task.
type Crashes struct {
	// Survived is the longest time for which a run of the task has been observed. None of the
	// counts includes a crash that it has outlived.
	Survived time.Duration
	// Confirmed counts workers that definitely crashed, definitely ran the task, and
	// crashed independently of others.
	Confirmed int
	// Isolated counts those among the confirmed that ran no other job.
	Isolated int
	// Correlated counts workers that ran the task and either crashed together with many
	// others, whose cause may have been a rack, a zone or a switch, or stopped responding
	// for good, perhaps behind a network partition.
	Correlated int
	// Recent counts workers that crashed recently. It is not known yet whether others
	// crashed at the same time.
	Recent int
	// Unacknowledged counts workers that crashed without acknowledging the start of the task.
	// They may have crashed before it reached them.
	Unacknowledged int
	// Possible counts workers that stopped responding and may or may not have crashed.
	Possible int
}

// CrashDecision is the action that follows from the crashes of a task.
type CrashDecision int

// Values of CrashDecision.
const (
	// StartFreely starts the task. No crash counts against it.
	StartFreely CrashDecision = iota
	// StartRecorded starts the task once its crashes are in the store.
	StartRecorded
	// AwaitEvidence delays the start until it is known whether a worker has crashed.
	AwaitEvidence
	// Abandon fails the task permanently. It is not started again.
	Abandon
)

// Decide returns the action for a task with these crashes.
func (c Crashes) Decide() CrashDecision {
	worstCase := c
	worstCase.Confirmed += c.Recent + c.Possible
	worstCase.Isolated += c.Recent + c.Possible
	switch {
	case c.exceedsLimits():
		return Abandon
	case worstCase.exceedsLimits():
		return AwaitEvidence
	case c.Confirmed+c.Correlated+c.Recent+c.Unacknowledged > 0:
		return StartRecorded
	}
	return StartFreely
}

// exceedsLimits reports whether the task must not be started again. Starts that were
// never acknowledged count only in addition to all crashes but one that are allowed.
func (c Crashes) exceedsLimits() bool {
	crashLimit, lossLimit := c.limits()
	ran := c.Confirmed + c.Correlated
	return c.Confirmed >= crashLimit && c.Isolated > 0 || ran >= lossLimit || ran >= crashLimit-1 && ran+c.Unacknowledged >= lossLimit
}

func (c Crashes) limits() (crashes, losses int) {
	if c.Survived > startupTime {
		return survivorFactor * CrashLimit, survivorFactor * LossLimit
	}
	return CrashLimit, LossLimit
}

// Proven reports whether a run lasted so long that a crash of its worker does not
// count against its task.
func Proven(ran time.Duration) bool { return ran >= provenRunTime }

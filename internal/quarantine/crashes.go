package quarantine

import "time"

// Crash counts distinguish tasks that crash their workers from workers that crash for
// other reasons. Without them a job that crashes its worker on every start, and ends
// everything else that runs there, is started again whenever a worker returns. A crash
// counts against every task that ran on the worker, because it is not known which one
// caused it; tasks that are not the cause continue to run on other workers. The caller
// must store the counts before the next start of such a task, so that they survive a
// change of leader.

// CrashLimit is the number of crashed workers at which a task fails permanently. A
// worker also ran other tasks and may itself be faulty, so one or two crashes are not
// conclusive.
const CrashLimit = 3

// LossLimit is the number of starts lost together with their workers at which a task
// fails permanently, including those where many workers crashed at once and those where
// it is unknown whether the start was carried out.
const LossLimit = 5

// provenRunTime is the run time after which a task is known not to crash its worker:
// tasks that do so do it earlier.
const provenRunTime = time.Minute

// Crashes counts the workers that crashed, or may have crashed, under a task.
type Crashes struct {
	// Confirmed counts workers that definitely crashed, definitely ran the task, and
	// crashed independently of others.
	Confirmed int
	// Correlated counts workers that ran the task and crashed together with many others.
	// The cause may have been a rack, a zone or a switch.
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
// never acknowledged count only in addition to at least CrashLimit-1 crashes.
func (c Crashes) exceedsLimits() bool {
	ran := c.Confirmed + c.Correlated
	return c.Confirmed >= CrashLimit || ran >= LossLimit || ran >= CrashLimit-1 && ran+c.Unacknowledged >= LossLimit
}

// Proven reports whether a run lasted so long that a crash of its worker does not
// count against its task.
func Proven(ran time.Duration) bool { return ran >= provenRunTime }

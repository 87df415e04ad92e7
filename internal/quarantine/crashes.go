package quarantine

import "time"

// This file tells a task that takes its workers down from workers that go down by
// themselves. It answers jobs of which each start costs a worker and all that runs
// there: without it such a job is started again as often as its worker comes back.
// A crash counts against every task that ran on the worker, since nothing says which one
// it was; those that are not to blame run on elsewhere. Whoever counts
// stores the count before the next start of such a task, so that no change of leader
// begins anew.

// CrashLimit is the number of workers that may go down under a task. A worker had
// other tasks beside it, and may itself be at fault: one or two say nothing for certain.
const CrashLimit = 3

// LossLimit is the number of starts that may be lost with their workers, also where many
// went down at once or where nobody knows whether the start was carried out.
const LossLimit = 5

// provenAfter is how long a task runs that surely does not take its worker down: what
// does so does it sooner.
const provenAfter = time.Minute

// Crashes is what is known of the workers that went down under a task.
type Crashes struct {
	// Seen have surely crashed, surely ran the task, and fell by themselves.
	Seen int
	// Shared ran the task and crashed among many others: a rack, a zone or a switch may
	// have been at fault.
	Shared int
	// Recent crashed just now: whether others did at once is not known yet.
	Recent int
	// Unsure have crashed and never answered the task's start: they may have gone down
	// before it reached them.
	Unsure int
	// Possible fell silent, and whether they have crashed is not known yet.
	Possible int
}

// CrashDecision is what a task's crashes lead to.
type CrashDecision int

// The decisions.
const (
	// StartFreely: nothing is held against the task.
	StartFreely CrashDecision = iota
	// StartRecorded: the task starts once the store knows what is held against it.
	StartRecorded
	// AwaitEvidence: it does not start before it is known whether a worker has crashed.
	AwaitEvidence
	// GiveUp: it does not start again.
	GiveUp
)

// Decide judges a task by its crashes.
func (c Crashes) Decide() CrashDecision {
	worst := c
	worst.Seen += c.Recent + c.Possible
	switch {
	case c.tooMany():
		return GiveUp
	case worst.tooMany():
		return AwaitEvidence
	case c.Seen+c.Shared+c.Recent+c.Unsure > 0:
		return StartRecorded
	}
	return StartFreely
}

// tooMany reports whether the task may not be started again. Starts that nobody ever
// answered say so only beside crashes.
func (c Crashes) tooMany() bool {
	ran := c.Seen + c.Shared
	return c.Seen >= CrashLimit || ran >= LossLimit || ran >= CrashLimit-1 && ran+c.Unsure >= LossLimit
}

// Proven reports whether a run was so long that the crash of its worker says nothing
// against its task.
func Proven(ran time.Duration) bool { return ran >= provenAfter }

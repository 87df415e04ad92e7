package quarantine

import "time"

// This file tells a task that takes its workers down from workers that go down by
// themselves. It answers jobs of which each start costs a worker and all that runs
// there: without it such a job is started again as often as its worker comes back.
// A crash counts against every task that ran on the worker, since nothing says which one
// it was; all but the guilty ones are cleared by running on elsewhere. Whoever counts
// stores the count before the next start of a suspect task, so that no change of leader
// begins anew.

// CrashLimit is the number of workers that may go down under a task. Beside the guilty
// one a worker had others, and may itself be at fault: one or two say nothing for certain.
const CrashLimit = 3

// provenAfter is how long a task runs that surely does not take its worker down: what
// does so does it sooner.
const provenAfter = time.Minute

// Crashes is what is known of the workers that went down under a task.
type Crashes struct {
	// Seen have surely crashed.
	Seen int
	// Possible fell silent, and whether they have crashed is not known yet.
	Possible int
}

// Standing is what a task's crashes lead to.
type Standing int

// The standings.
const (
	// Clear tasks start like any other.
	Clear Standing = iota
	// Suspect tasks start once the store knows what is held against them.
	Suspect
	// Undecided tasks do not start before it is known whether a worker has crashed.
	Undecided
	// Guilty tasks do not start again.
	Guilty
)

// Standing judges a task by its crashes.
func (c Crashes) Standing() Standing {
	switch {
	case c.Seen >= CrashLimit:
		return Guilty
	case c.Seen+c.Possible >= CrashLimit:
		return Undecided
	case c.Seen > 0:
		return Suspect
	}
	return Clear
}

// Proven reports whether a run was so long that the crash of its worker says nothing
// against its task.
func Proven(ran time.Duration) bool { return ran >= provenAfter }

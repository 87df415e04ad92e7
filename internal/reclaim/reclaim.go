// Package reclaim selects the gangs to stop so that a client account gets its guarantee
// back, and defines the time limits of the stop. It is pure.
//
// Without it an account that claims its guarantee while others borrow it waits for the
// end of work that takes hours, or stops far more work than it needs. A checkpoint
// loses nothing and is tried first; a stop loses the work since the last checkpoint.
//
// The time limits of a checkpoint and of the stop that follows an unfinished
// checkpoint add up to less than UrgentStartLimit, so that time remains for the
// decision, the reservation and the start. Gangs stopped for jobs that are not urgent
// have the same limits, because an urgent claim may find that the region it needs is
// already being freed for another job and then has to wait for the limits of that
// reclaim.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// Time limits of a reclaim.
const (
	// UrgentStartLimit is the maximum time that urgent work within its guarantee waits for
	// its start.
	UrgentStartLimit = 7200 * time.Millisecond
	// CheckpointTimeout bounds a checkpoint, StopTimeout a stop.
	CheckpointTimeout = 4000 * time.Millisecond
	StopTimeout       = 1500 * time.Millisecond
)

// restartCost is the cost of stopping any gang, in accelerator-seconds per
// accelerator: a restarted gang repeats its start-up of about half a minute.
const restartCost = 30.0

// Victim is a gang that may be stopped to free accelerators on a given worker: a
// borrower or, for an urgent job, a gang of the same account.
type Victim struct {
	Gang *model.Gang
	// Index identifies the gang for the caller.
	Index int
	// OnWorker is the number of the gang's accelerators on the given worker.
	OnWorker int
}

// Cost returns the loss from stopping a gang at the given time, in
// accelerator-seconds. Gangs that were stopped before cost more, so that the same gang
// is not stopped repeatedly.
func Cost(gang *model.Gang, now time.Time) float64 {
	size := float64(gang.Job.Shape.Accelerators() * (1 + gang.Job.Attempt))
	if gang.Job.Checkpointable {
		return size * restartCost
	}
	return size * (restartCost + max(0, now.Sub(gang.StartedAt).Seconds()))
}

// Cheapest returns the victims to stop so that at least want accelerators become free
// on the given worker. It selects them by rising cost per accelerator freed there,
// then drops those that later ones made redundant. It returns nil if all victims
// together do not suffice. It reorders victims.
func Cheapest(victims []Victim, want int, now time.Time) []Victim {
	slices.SortStableFunc(victims, func(a, b Victim) int {
		return cmp.Compare(Cost(a.Gang, now)/float64(a.OnWorker), Cost(b.Gang, now)/float64(b.OnWorker))
	})
	freed, count := 0, 0
	for count < len(victims) && freed < want {
		freed += victims[count].OnWorker
		count++
	}
	if freed < want {
		return nil
	}
	return dropRedundant(victims[:count], freed-want)
}

// dropRedundant returns the victims without those that the surplus covers, considering
// the costliest first.
func dropRedundant(victims []Victim, surplus int) []Victim {
	needed := make([]Victim, 0, len(victims))
	for i := len(victims) - 1; i >= 0; i-- {
		if victims[i].OnWorker <= surplus {
			surplus -= victims[i].OnWorker
			continue
		}
		needed = append(needed, victims[i])
	}
	return needed
}

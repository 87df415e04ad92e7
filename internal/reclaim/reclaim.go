// Package reclaim decides which borrowing gangs are stopped so that a client
// account gets its guarantee back, how, and within which time. It is pure.
//
// It answers accounts that claim their guarantee while others borrow it.
// Without it a claim waits for the end of work that takes hours, or stops far
// more work than it needs. A checkpoint loses nothing and is tried first; a
// stop loses the work since the last checkpoint.
//
// A checkpoint and the stop that follows one that did not finish have limits whose
// sum leaves time, of what urgent work may wait, for the decision, the reservation
// and the start. Work that is not urgent
// has the same limits: an urgent claim may find the region it needs already
// being freed for another, and then waits for that one's limits.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// The time limits of the steps.
const (
	// UrgentStart is the longest that urgent work within its guarantee waits.
	UrgentStart = 7200 * time.Millisecond
	// CheckpointWithin bounds a checkpoint, StopWithin the stop.
	CheckpointWithin = 4000 * time.Millisecond
	StopWithin       = 1500 * time.Millisecond
)

// startCost is the cost of stopping any gang, in accelerator-seconds for each
// accelerator: a restarted gang repeats its start-up of about half a minute.
const startCost = 30.0

// Victim is a borrowing gang and how many of its accelerators are wanted on the
// worker at hand.
type Victim struct {
	Gang *model.Gang
	// Index is the caller's name for the gang.
	Index int
	// Here counts the gang's accelerators on the worker at hand.
	Here int
}

// Cost returns what stopping a gang at a time loses, in accelerator-seconds.
// Gangs that were stopped before cost more, so that the same is not stopped
// over and over.
func Cost(gang *model.Gang, now time.Time) float64 {
	size := float64(gang.Job.Shape.Accelerators() * (1 + gang.Job.Attempt))
	if gang.Job.Checkpointable {
		return size * startCost
	}
	return size * (startCost + max(0, now.Sub(gang.StartedAt).Seconds()))
}

// Cheapest returns the victims to stop so that at least want accelerators come
// free on the worker at hand, by rising cost for each accelerator freed here.
// It then drops those that the later ones made needless. It returns nil if all
// together do not suffice. The order of victims is changed.
func Cheapest(victims []Victim, want int, now time.Time) []Victim {
	slices.SortStableFunc(victims, func(a, b Victim) int {
		return cmp.Compare(Cost(a.Gang, now)/float64(a.Here), Cost(b.Gang, now)/float64(b.Here))
	})
	freed, count := 0, 0
	for count < len(victims) && freed < want {
		freed += victims[count].Here
		count++
	}
	if freed < want {
		return nil
	}
	return dropNeedless(victims[:count], freed-want)
}

// dropNeedless leaves out, the costliest first, victims that the surplus covers.
func dropNeedless(victims []Victim, surplus int) []Victim {
	kept := make([]Victim, 0, len(victims))
	for i := len(victims) - 1; i >= 0; i-- {
		if victims[i].Here <= surplus {
			surplus -= victims[i].Here
			continue
		}
		kept = append(kept, victims[i])
	}
	return kept
}

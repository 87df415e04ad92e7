// Package ring provides bounded queues between goroutines. The type determines
// what happens when a queue is full: Refusing refuses the new entry, Dropping
// drops the oldest one. Both count the entries that they refuse or drop.
package ring

import (
	"sync/atomic"
)

// Refusing is a bounded queue that reports to the sender when it is full. Use
// it where every entry matters and the sender can handle a refusal.
type Refusing[T any] struct {
	entries chan T
	refused atomic.Int64
}

// NewRefusing returns a queue of the given capacity.
func NewRefusing[T any](capacity int) *Refusing[T] {
	return &Refusing[T]{entries: make(chan T, capacity)}
}

// Offer adds entry. It returns false without blocking if the queue is full.
func (r *Refusing[T]) Offer(entry T) bool {
	select {
	case r.entries <- entry:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// C returns the channel from which the consumer receives entries.
func (r *Refusing[T]) C() <-chan T { return r.entries }

// Len returns the number of waiting entries.
func (r *Refusing[T]) Len() int { return len(r.entries) }

// Refused returns how many entries were refused.
func (r *Refusing[T]) Refused() int64 { return r.refused.Load() }

// Dropping is a bounded queue that drops its oldest entry when full. Use it
// where only the newest entries matter.
type Dropping[T any] struct {
	entries chan T
	dropped atomic.Int64
}

// NewDropping returns a queue of the given capacity.
func NewDropping[T any](capacity int) *Dropping[T] {
	return &Dropping[T]{entries: make(chan T, capacity)}
}

// Push adds entry and drops the oldest entries if the queue is full. It never
// blocks.
func (r *Dropping[T]) Push(entry T) {
	for {
		select {
		case r.entries <- entry:
			return
		default:
		}
		select {
		case <-r.entries:
			r.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel from which the consumer receives entries.
func (r *Dropping[T]) C() <-chan T { return r.entries }

// Dropped returns how many entries were dropped.
func (r *Dropping[T]) Dropped() int64 { return r.dropped.Load() }

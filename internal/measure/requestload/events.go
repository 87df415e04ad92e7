package requestload

import (
	"container/heap"
	"time"
)

// origin is the virtual time at which requests begin to arrive.
var origin = time.Unix(1_000_000, 0)

// clock runs events in virtual time: in order of time, then of creation.
type clock struct {
	now    time.Duration
	queue  eventHeap
	number uint64
}

type scheduled struct {
	at     time.Duration
	number uint64
	run    func()
}

func (c *clock) time() time.Time { return origin.Add(c.now) }

// after schedules run.
func (c *clock) after(delay time.Duration, run func()) {
	c.number++
	heap.Push(&c.queue, scheduled{at: c.now + delay, number: c.number, run: run})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []scheduled

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduled)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*h = old[:len(old)-1]
	return last
}

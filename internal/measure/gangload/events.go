package gangload

import (
	"container/heap"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

type taskPlacement = api.TaskPlacement

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventHeap orders events by time, then by the order in which they were made.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// at schedules an event.
func (pl *player) at(at time.Duration, do func()) {
	pl.seq++
	heap.Push(&pl.events, &event{at: at, seq: pl.seq, do: do})
}

package gangload

import (
	"container/heap"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

type taskPlacement = api.TaskPlacement

// event is an action at a virtual time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventHeap orders events by time, and events of equal time by creation.
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

// schedule runs action at the virtual time at.
func (sim *simulation) schedule(at time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.events, &event{at: at, seq: sim.seq, action: action})
}

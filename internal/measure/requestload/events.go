package requestload

import "time"

// simulationStart is the wall-clock time of virtual time zero, at which requests
// begin to arrive.
var simulationStart = time.Unix(1_000_000, 0)

// clock runs events in order of virtual time, and events of equal time in order of
// creation. It has its own heap because container/heap allocates for each event.
type clock struct {
	now    time.Duration
	events []event
	seq    uint64
}

type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

func (c *clock) wallTime() time.Time { return simulationStart.Add(c.now) }

// after schedules action to run after delay.
func (c *clock) after(delay time.Duration, action func()) {
	c.seq++
	c.events = append(c.events, event{at: c.now + delay, seq: c.seq, action: action})
	c.siftUp(len(c.events) - 1)
}

// runUntil runs all events up to and including end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := c.pop()
		c.now = next.at
		next.action()
	}
	c.now = end
}

func (c *clock) pop() event {
	first, last := c.events[0], len(c.events)-1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.siftDown()
	return first
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// siftUp moves the event at i up to its place in the heap.
func (c *clock) siftUp(i int) {
	moved := c.events[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !moved.before(c.events[parent]) {
			break
		}
		c.events[i] = c.events[parent]
		i = parent
	}
	c.events[i] = moved
}

// siftDown moves the first event down to its place in the heap.
func (c *clock) siftDown() {
	if len(c.events) == 0 {
		return
	}
	moved, i := c.events[0], 0
	for {
		child := 2*i + 1
		if child >= len(c.events) {
			break
		}
		if child+1 < len(c.events) && c.events[child+1].before(c.events[child]) {
			child++
		}
		if !c.events[child].before(moved) {
			break
		}
		c.events[i] = c.events[child]
		i = child
	}
	c.events[i] = moved
}

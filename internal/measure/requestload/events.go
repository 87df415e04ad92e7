package requestload

import "time"

// origin is the virtual time at which requests begin to arrive.
var origin = time.Unix(1_000_000, 0)

// clock runs events in virtual time: in order of time, then of creation. Its heap
// is written out because container/heap allocates for each event.
type clock struct {
	now    time.Duration
	queue  []scheduled
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
	c.queue = append(c.queue, scheduled{at: c.now + delay, number: c.number, run: run})
	c.up(len(c.queue) - 1)
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := c.pop()
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *clock) pop() scheduled {
	first, last := c.queue[0], len(c.queue)-1
	c.queue[0] = c.queue[last]
	c.queue[last] = scheduled{}
	c.queue = c.queue[:last]
	c.down()
	return first
}

func (s scheduled) before(other scheduled) bool {
	if s.at != other.at {
		return s.at < other.at
	}
	return s.number < other.number
}

// up moves the event at i to its place in the heap.
func (c *clock) up(i int) {
	moved := c.queue[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !moved.before(c.queue[parent]) {
			break
		}
		c.queue[i] = c.queue[parent]
		i = parent
	}
	c.queue[i] = moved
}

// down moves the first event to its place in the heap.
func (c *clock) down() {
	if len(c.queue) == 0 {
		return
	}
	moved, i := c.queue[0], 0
	for {
		child := 2*i + 1
		if child >= len(c.queue) {
			break
		}
		if child+1 < len(c.queue) && c.queue[child+1].before(c.queue[child]) {
			child++
		}
		if !c.queue[child].before(moved) {
			break
		}
		c.queue[i] = c.queue[child]
		i = child
	}
	c.queue[i] = moved
}

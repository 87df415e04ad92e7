package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file answers leaders that have to hear from thousands of workers at once: after a
// takeover, or when a zone is suspect. Each poll is cheap, but all of them together take
// longer than a poll may: then all of them time out, their work is thrown away, the
// silence makes more racks suspect, and more workers are polled. So polls that do not
// wait at their worker go through a window, which grows as long as answers come soon and
// shrinks when they do not. Workers that left one unanswered have a window of their own: a zone that is
// cut off must not keep the others from being heard.

// windowMissed bounds the polls to workers that left one unanswered.
const windowMissed = 96

// pollLane is the window that a poll counts in.
type pollLane int

// The lanes.
const (
	// laneNone is for polls that wait at a worker that runs something.
	laneNone pollLane = iota
	laneHealthy
	laneMissed
)

// pollWindow bounds the polls under way that do not wait.
type pollWindow struct {
	window
	underWay [laneMissed + 1]int
}

func newPollWindow() pollWindow { return pollWindow{window: newWindow()} }

// free is how many polls more may be sent in a lane.
func (p *pollWindow) free(lane pollLane) int {
	most := p.most()
	if lane == laneMissed {
		most = windowMissed
	}
	return max(most-p.underWay[lane], 0)
}

// ended takes that a poll was answered, or given up, after a time.
func (p *pollWindow) ended(lane pollLane, after time.Duration, now time.Time) {
	if lane == laneNone {
		return
	}
	if lane == laneHealthy {
		p.window.ended(after, p.underWay[lane], now)
	}
	p.underWay[lane]--
}

// duePoll is a poll that does not wait and may be sent now.
type duePoll struct {
	worker *worker
	quick  bool
}

// sendDue sends as many of the polls that are due as the windows leave room for: first
// to workers that run something, then those that have waited longest.
func (c *Core) sendDue(due []duePoll) {
	if !c.has(MechPollWindow) {
		for _, d := range due {
			c.sendQuick(d, laneNone)
		}
		return
	}
	slices.SortStableFunc(due, func(a, b duePoll) int {
		return cmp.Or(-cmp.Compare(min(len(a.worker.runs), 1), min(len(b.worker.runs), 1)), a.worker.nextPoll.Compare(b.worker.nextPoll))
	})
	for _, d := range due {
		lane := laneHealthy
		if d.worker.misses > 0 {
			lane = laneMissed
		}
		if c.pollWindow.free(lane) > 0 {
			c.pollWindow.underWay[lane]++
			c.sendQuick(d, lane)
		}
	}
}

func (c *Core) sendQuick(d duePoll, lane pollLane) {
	d.worker.wantPoll = false
	if d.quick {
		d.worker.quick = true
	}
	c.poll(d.worker, 0, d.quick)
	action := &c.actions[len(c.actions)-1]
	action.lane, action.sent = lane, c.now
}

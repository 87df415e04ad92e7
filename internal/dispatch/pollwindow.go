package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Poll windows limit the load of a leader that has to contact thousands of workers at once,
// after a takeover or when a zone is suspect. Each poll is cheap, but all of them together take
// longer than the timeout of one poll: then all of them time out, their work is discarded, the
// missing answers make more racks suspect, and more workers are polled. Polls that do not wait
// at their worker therefore go through a window that grows while answers are fast and shrinks
// when they are not. Workers that missed a poll have a separate window, so that a zone that is
// cut off does not delay contact with the others.

// maxMissedPolls limits the polls in flight to workers that missed one.
const maxMissedPolls = 96

// pollClass selects the window that counts a poll.
type pollClass int

// The poll classes.
const (
	// pollClassLong is for long polls at workers that run something; they are not limited.
	pollClassLong pollClass = iota
	pollClassHealthy
	pollClassMissed
)

// pollWindow limits the polls in flight that do not wait at their worker.
type pollWindow struct {
	window
	inFlight [pollClassMissed + 1]int
}

func newPollWindow() pollWindow { return pollWindow{window: newWindow()} }

// available returns the number of further polls that may be sent in a class.
func (p *pollWindow) available(class pollClass) int {
	limit := p.limit()
	if class == pollClassMissed {
		limit = maxMissedPolls
	}
	return max(limit-p.inFlight[class], 0)
}

// callEnded records that a poll was answered or timed out after the given time.
func (p *pollWindow) callEnded(class pollClass, took time.Duration, now time.Time) {
	if class == pollClassLong {
		return
	}
	if class == pollClassHealthy {
		p.window.callEnded(took, p.inFlight[class], now)
	}
	p.inFlight[class]--
}

// duePoll is a poll that does not wait at its worker and may be sent now.
type duePoll struct {
	worker *worker
	quick  bool
}

// sendDuePolls sends as many due polls as the windows allow: first those to workers that run
// something, then those that have waited longest.
func (c *Core) sendDuePolls(due []duePoll) {
	if !c.enabled(MechPollWindow) {
		for _, d := range due {
			c.sendImmediatePoll(d, pollClassLong)
		}
		return
	}
	slices.SortStableFunc(due, func(a, b duePoll) int {
		return cmp.Or(-cmp.Compare(min(len(a.worker.runs), 1), min(len(b.worker.runs), 1)), a.worker.nextPollAt.Compare(b.worker.nextPollAt))
	})
	for _, d := range due {
		class := pollClassHealthy
		if d.worker.misses > 0 {
			class = pollClassMissed
		}
		if c.pollWindow.available(class) > 0 {
			c.pollWindow.inFlight[class]++
			c.sendImmediatePoll(d, class)
		}
	}
}

func (c *Core) sendImmediatePoll(d duePoll, class pollClass) {
	d.worker.wantPoll = false
	if d.quick {
		d.worker.quickPolling = true
	}
	c.sendPoll(d.worker, 0, d.quick)
	action := &c.actions[len(c.actions)-1]
	action.class, action.sentAt = class, c.now
}

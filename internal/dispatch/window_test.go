package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// callProcessorTime is the processor time of one call to a worker; pollTimeout and
	// orderTimeout are the timeouts of polls and orders.
	callProcessorTime = 1500 * time.Microsecond
	pollTimeout       = 600 * time.Millisecond
	orderTimeout      = 500 * time.Millisecond
	processorTick     = 5 * time.Millisecond
)

// sharedProcessorBench makes calls to workers that share one processor; calls that exceed their
// timeout are discarded.
type sharedProcessorBench struct {
	*bench
	calls []*workerCall
	// answered and timedOut count the ended calls by kind.
	answered, timedOut map[ActionKind]int
}

type workerCall struct {
	action    Action
	sent      time.Time
	remaining time.Duration
}

// timeout returns how long a call may take. A long poll needs no processor time while it waits.
func (s *workerCall) timeout() time.Duration {
	if s.action.Kind == ActPoll {
		return pollTimeout + s.action.Poll.Wait
	}
	return orderTimeout
}

func (p *sharedProcessorBench) advance(d time.Duration) {
	for until := p.now.Add(d); p.now.Before(until); {
		p.now, p.wallMS = p.now.Add(processorTick), p.wallMS+processorTick.Milliseconds()
		p.runCalls(processorTick)
		if p.now.UnixMilli()%20 == 0 {
			p.core.WorkersStored(p.core.UnstoredWorkers(len(p.workers)))
			for _, a := range p.core.Decide(p.now, p.wallMS) {
				p.send(a)
			}
		}
	}
}

func (p *sharedProcessorBench) send(a Action) {
	if a.Kind == ActReason {
		return
	}
	p.calls = append(p.calls, &workerCall{a, p.now, callProcessorTime})
}

// runCalls divides processor time among the calls that need it; calls to unresponsive workers
// need none.
func (p *sharedProcessorBench) runCalls(d time.Duration) {
	var busy []*workerCall
	for _, call := range p.calls {
		waits := p.now.Sub(call.sent) < call.action.Poll.Wait
		if !waits && !p.unresponsive[call.action.Poll.Worker+call.action.Order.Worker] {
			busy = append(busy, call)
		}
	}
	for _, call := range busy {
		call.remaining -= d / time.Duration(len(busy))
	}
	pending := p.calls
	p.calls = nil
	for _, call := range pending {
		switch {
		case call.remaining <= 0:
			p.answered[call.action.Kind]++
			p.execute(call.action)
		case p.now.Sub(call.sent) >= call.timeout():
			p.timedOut[call.action.Kind]++
			p.answerWith(call.action, workload.VerdictUnknown)
		default:
			p.calls = append(p.calls, call)
		}
	}
}

// newSharedProcessorBench returns the bench of a leader after a takeover, with two zones of ten
// racks each.
func newSharedProcessorBench(t *testing.T) *sharedProcessorBench {
	b := newBench(t, 0, true)
	b.zones = make(map[string]string)
	for n := range 600 {
		id := "w" + string(rune('a'+n/30)) + string(rune('0'+n%10)) + string(rune('a'+n/10%3))
		b.zones["r"+id[1:len(id)-1]] = "zone-" + string(rune('0'+n/300))
		b.addWorker(id)
	}
	b.core.WorkersStored(nil)
	b.listWorkers()
	return &sharedProcessorBench{bench: b, answered: make(map[ActionKind]int), timedOut: make(map[ActionKind]int)}
}

func (p *sharedProcessorBench) syncedWorkers() int {
	count := 0
	for _, w := range p.core.fleet {
		if w.synced {
			count++
		}
	}
	return count
}

func TestALeaderThatCannotHearAllAtOnceHearsThemInTurn(t *testing.T) {
	p := newSharedProcessorBench(t)
	p.advance(5 * time.Second) // twice the time the polls take
	assert.Equal(t, p.syncedWorkers(), 600)
	p.advance(2 * time.Second)
	before := p.answered[ActPoll]
	p.advance(2 * time.Second)
	assert.Assert(t, p.answered[ActPoll]-before < 100, "%d polls of idle workers in two seconds", p.answered[ActPoll]-before)
	assert.Assert(t, p.timedOut[ActPoll] < 100, "%d polls lost", p.timedOut[ActPoll])
}

func TestAZoneThatIsCutOffDoesNotKeepTheOthersFromBeingHeard(t *testing.T) {
	p := newSharedProcessorBench(t)
	for id := range p.workers {
		if p.zones["r"+id[1:len(id)-1]] == "zone-1" {
			p.unresponsive[id] = true
		}
	}
	p.advance(4 * time.Second)
	assert.Equal(t, p.syncedWorkers(), 300)
	clear(p.unresponsive)
	p.advance(4 * time.Second)
	assert.Equal(t, p.syncedWorkers(), 600)
}

func TestABacklogThatFitsAtOnceStartsAsFastAsAnswersCome(t *testing.T) {
	p := newSharedProcessorBench(t)
	p.advance(5 * time.Second)
	for n := range 40 {
		p.add(gangJob(fmt.Sprint("gang-", n), "batch", "other", 12, 8))
	}
	p.advance(2 * time.Second) // nearly three times the time the starts take
	assert.Equal(t, p.running(), 480)
	assert.Assert(t, p.timedOut[ActStart] < 24, "%d starts without an answer", p.timedOut[ActStart])
	p.advance(2 * time.Second)
	assert.Equal(t, p.running(), 480, "no gang was interrupted")
}

func TestStartsInAnUnresponsiveZoneDoNotDelayOthers(t *testing.T) {
	p := newSharedProcessorBench(t)
	p.advance(5 * time.Second)
	for id := range p.workers {
		p.unresponsive[id] = p.zones["r"+id[1:len(id)-1]] == "zone-0"
	}
	for n := range 40 {
		p.add(gangJob(fmt.Sprint("gang-", n), "batch", "other", 6, 8))
	}
	p.advance(3 * time.Second)
	// Orders sent before the zone was suspect are lost: one window.
	assert.Assert(t, p.runningIn("zone-1") >= 40*6-initialWindow-6, "%d run", p.runningIn("zone-1"))
}

func TestWindowGrowsWhileUsedAndShrinksWithLateAnswers(t *testing.T) {
	w, now := newWindow(), testStart
	for range 10_000 {
		w.callEnded(fastResponse, initialWindow/2-1, now)
	}
	assert.Equal(t, w.limit(), initialWindow, "an underused window does not grow")
	for range 10_000 {
		w.callEnded(fastResponse, w.limit(), now)
	}
	assert.Equal(t, w.limit(), maxWindow)
	for range 100 {
		w.callEnded(slowResponse, w.limit(), now)
	}
	assert.Equal(t, w.limit(), maxWindow*6/10, "simultaneous late answers shrink it once")
	for range 100 {
		now = now.Add(windowShrinkInterval)
		w.callEnded(slowResponse, w.limit(), now)
	}
	assert.Equal(t, w.limit(), minWindow)
}

func TestPollsToUnresponsiveWorkersHaveASeparateWindow(t *testing.T) {
	w := newPollWindow()
	w.inFlight[pollClassMissed] = maxMissedPolls
	assert.Equal(t, w.available(pollClassMissed), 0)
	assert.Equal(t, w.available(pollClassHealthy), initialWindow)
	for range maxMissedPolls {
		w.callEnded(pollClassMissed, slowResponse, testStart)
	}
	assert.Equal(t, w.available(pollClassMissed), maxMissedPolls)
	assert.Equal(t, w.available(pollClassHealthy), initialWindow)
}

func TestTimeLimitsGrowWithTheAverageResponseTime(t *testing.T) {
	var a responseTime
	assert.Equal(t, a.atLeast(100*time.Millisecond), 100*time.Millisecond)
	for range 200 {
		a.record(80 * time.Millisecond)
	}
	assert.Assert(t, a.atLeast(100*time.Millisecond) > 200*time.Millisecond)
	for range 200 {
		a.record(time.Second)
	}
	assert.Equal(t, a.atLeast(100*time.Millisecond), maxLateResponse)
}

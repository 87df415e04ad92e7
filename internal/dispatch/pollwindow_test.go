package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// pollWork is the processor time of one poll, and pollPatience how long it may take.
	pollWork      = 4 * time.Millisecond
	pollPatience  = 600 * time.Millisecond
	processorTick = 5 * time.Millisecond
)

// slowProcessor carries polls out on a processor that all of them share: what takes
// longer than a poll may is thrown away.
type slowProcessor struct {
	*bench
	polls []*sharedPoll
	// answered and lost count the polls that ended either way.
	answered, lost int
}

type sharedPoll struct {
	action Action
	sent   time.Time
	left   time.Duration
}

func (p *slowProcessor) pass(d time.Duration) {
	for until := p.now.Add(d); p.now.Before(until); {
		p.now, p.wallMS = p.now.Add(processorTick), p.wallMS+processorTick.Milliseconds()
		p.work(processorTick)
		if p.now.UnixMilli()%20 == 0 {
			p.core.Stored(p.core.Unstored(len(p.workers)))
			for _, a := range p.core.Decide(p.now, p.wallMS) {
				p.take(a)
			}
		}
	}
}

func (p *slowProcessor) take(a Action) {
	if a.Kind != ActPoll {
		p.carryOut(a)
		return
	}
	p.polls = append(p.polls, &sharedPoll{a, p.now, pollWork})
}

// work shares a time of the processor among the polls that need it: those to silent
// workers need none.
func (p *slowProcessor) work(d time.Duration) {
	var busy []*sharedPoll
	for _, poll := range p.polls {
		if !p.silent[poll.action.Poll.Worker] {
			busy = append(busy, poll)
		}
	}
	for _, poll := range busy {
		poll.left -= d / time.Duration(len(busy))
	}
	kept := p.polls[:0]
	for _, poll := range p.polls {
		switch {
		case poll.left <= 0:
			p.answered++
			p.core.PollAnswered(poll.action, p.report(p.workers[poll.action.Poll.Worker], poll.action.Poll), p.now, p.wallMS)
		case p.now.Sub(poll.sent) >= pollPatience:
			p.lost++
			p.core.PollAnswered(poll.action, workload.Report{Verdict: workload.VerdictUnknown}, p.now, p.wallMS)
		default:
			kept = append(kept, poll)
		}
	}
	p.polls = kept
}

// newSlowProcessor is a leader after a takeover, of two zones of ten racks each.
func newSlowProcessor(t *testing.T) *slowProcessor {
	b := newBench(t, 0, true)
	b.zones = make(map[string]string)
	for n := range 600 {
		id := "w" + string(rune('a'+n/30)) + string(rune('0'+n%10)) + string(rune('a'+n/10%3))
		b.zones["r"+id[1:len(id)-1]] = "zone-" + string(rune('0'+n/300))
		b.addWorker(id)
	}
	b.core.Stored(nil)
	b.list()
	return &slowProcessor{bench: b}
}

func (p *slowProcessor) known() int {
	count := 0
	for _, w := range p.core.fleet {
		if w.known {
			count++
		}
	}
	return count
}

func TestALeaderThatCannotHearAllAtOnceHearsThemInTurn(t *testing.T) {
	p := newSlowProcessor(t)
	p.pass(5 * time.Second) // twice what the polls take
	assert.Equal(t, p.known(), 600)
	p.pass(2 * time.Second)
	before := p.answered
	p.pass(2 * time.Second)
	assert.Assert(t, p.answered-before < 100, "%d polls of idle workers in two seconds", p.answered-before)
	assert.Assert(t, p.lost < 100, "%d polls lost", p.lost)
}

func TestAZoneThatIsCutOffDoesNotKeepTheOthersFromBeingHeard(t *testing.T) {
	p := newSlowProcessor(t)
	for id := range p.workers {
		if p.zones["r"+id[1:len(id)-1]] == "zone-1" {
			p.silent[id] = true
		}
	}
	p.pass(4 * time.Second)
	assert.Equal(t, p.known(), 300)
	clear(p.silent)
	p.pass(4 * time.Second)
	assert.Equal(t, p.known(), 600)
}

func TestTheWindowGrowsWithAnswersAndShrinksWithLateAnswers(t *testing.T) {
	w, now := newPollWindow(), epochStart
	for range 10_000 {
		w.underWay[laneHealthy]++
		w.ended(laneHealthy, windowFast, now)
	}
	assert.Equal(t, w.free(laneHealthy), windowMost)
	for range 100 {
		w.underWay[laneHealthy]++
		w.ended(laneHealthy, windowSlow, now)
	}
	assert.Equal(t, w.free(laneHealthy), windowMost*6/10, "what is late together shrinks it once")
	for range 100 {
		now = now.Add(windowShrinkEvery)
		w.underWay[laneHealthy]++
		w.ended(laneHealthy, windowSlow, now)
	}
	assert.Equal(t, w.free(laneHealthy), windowLeast)
	assert.Equal(t, w.free(laneMissed), windowMissed)
	w.ended(laneNone, windowSlow, now)
	assert.Equal(t, w.free(laneHealthy), windowLeast)
}

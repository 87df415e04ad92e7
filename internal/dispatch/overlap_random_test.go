package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// overlapPlay plays a takeover during which two leaders give orders to the same workers. Both may be
// frozen or lose calls, jobs reach them late, and the store takes the records of the newer one only.
type overlapPlay struct {
	*bench
	random  *rand.Rand
	leaders []*overlapLeader
	// epochs holds the highest epoch that each worker has seen.
	epochs  map[string]int64
	jobs    []*workload.Job
	records map[string]Record
	ends    map[runKey]time.Time
	// counted holds the ends of kind done that count if they are acknowledged; restarted those of
	// them after which the task was started again.
	counted, restarted, acknowledged map[runKey]bool
}

type overlapLeader struct {
	core *Core
	// learns holds the time at which the leader learns of each job.
	learns      map[string]time.Time
	frozenUntil time.Time
	// over is the time from which it gives no orders.
	over time.Time
	// lost holds, by worker, the time until which calls are lost.
	lost map[string]time.Time
}

func newOverlapPlay(t *testing.T, seed uint64) *overlapPlay {
	p := &overlapPlay{
		bench: newBench(t, 3, false), random: rand.New(rand.NewPCG(seed, 1)), epochs: make(map[string]int64), records: make(map[string]Record), ends: make(map[runKey]time.Time),
		counted: make(map[runKey]bool), restarted: make(map[runKey]bool), acknowledged: make(map[runKey]bool),
	}
	p.leaders = []*overlapLeader{{core: p.core, learns: make(map[string]time.Time), over: p.now.Add(time.Hour), lost: make(map[string]time.Time)}}
	return p
}

// upTo returns a random duration.
func (p *overlapPlay) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}

// takeOver adds the second leader. The first one may give orders for the given time. It has stored
// intents in records only, which the store refuses from now on, or none at all.
func (p *overlapPlay) takeOver(strict bool, overlap time.Duration) {
	first := p.leaders[0]
	first.over = p.now.Add(overlap)
	core := New(testBounds, 3, p.now, first.over)
	core.Configure(testConfig())
	if strict {
		core.TrustStartIntents()
	}
	core.StoreStartIntents(strict)
	p.core = core
	p.listWorkers()
	next := &overlapLeader{core: core, learns: make(map[string]time.Time), over: p.now.Add(time.Hour), lost: make(map[string]time.Time)}
	for _, job := range p.jobs {
		next.learns[job.ID] = p.now
	}
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		next.lost[id] = p.now.Add(p.upTo(time.Second))
	}
	p.leaders = append(p.leaders, next)
}

func (p *overlapPlay) submit() {
	job := singleJob(fmt.Sprint("job", len(p.jobs)), "batch", "other", 1+p.random.IntN(2), 4)
	if p.random.IntN(3) == 0 {
		job = gangJob(job.ID, "batch", "other", 2, 4)
	}
	job.AcceptedMS = p.wallMS
	p.jobs = append(p.jobs, job)
	for n, l := range p.leaders {
		l.learns[job.ID] = p.now.Add(p.upTo(time.Duration(1+15*n) * 200 * time.Millisecond))
	}
}

func (p *overlapPlay) step(troubled bool) {
	p.now, p.wallMS = p.now.Add(50*time.Millisecond), p.wallMS+50
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		w := p.workers[id]
		for _, key := range w.sortedRuns() {
			switch {
			case p.clockOf(w) > w.leaseUntilMS:
				p.endRun(w, key.task, key.attempt, workload.CompletionExpired)
			case !p.now.Before(p.ends[key]):
				p.endRun(w, key.task, key.attempt, workload.CompletionDone)
				p.counted[key] = true
			}
		}
		if p.clockOf(w) > w.leaseUntilMS {
			for _, e := range w.ended {
				delete(p.counted, runKey{e.Task, e.Attempt}) // its lease is over
			}
		}
	}
	for n, l := range p.leaders {
		if troubled && p.random.IntN(25) == 0 {
			l.frozenUntil = p.now.Add(p.upTo(700 * time.Millisecond))
		}
		if troubled && p.random.IntN(8) == 0 {
			l.lost[fmt.Sprintf("w%02d", p.random.IntN(3))] = p.now.Add(p.upTo(3 * time.Second))
		}
		if p.now.Before(l.over) && !p.now.Before(l.frozenUntil) && !l.core.Fenced() {
			p.lead(l, n == len(p.leaders)-1)
		}
	}
}

// lead lets a leader learn, decide, and store its records if it is the newest.
func (p *overlapPlay) lead(l *overlapLeader, newest bool) {
	p.core = l.core
	complete := p.now.After(l.core.earlierOrdersUntil)
	for _, job := range p.jobs {
		if p.now.Before(l.learns[job.ID]) {
			complete = complete && job.AcceptedMS > p.wallMS-p.now.Sub(l.core.earlierOrdersUntil).Milliseconds()
			continue
		}
		record := p.records[job.ID]
		if !newest {
			record = Record{} // it gives up once it sees what its successor has stored
		}
		l.core.AddJob(job, record, false, p.now, p.wallMS)
	}
	if complete {
		l.core.EarlierJobsKnown(p.now, p.wallMS)
	}
	for range 3 {
		if newest {
			l.core.WorkersStored(l.core.UnstoredWorkers(len(p.workers)))
			list := l.core.UnstoredRecords(50)
			for _, u := range list {
				record, err := DecodeRecord(u.Record)
				assert.NilError(p.t, err)
				p.records[u.Job] = record
			}
			l.core.MarkRecordsStored(list, p.now, p.wallMS)
		}
		for _, a := range l.core.Decide(p.now, p.wallMS) {
			if a.Kind == ActStart || a.Kind == ActStop || a.Kind == ActPoll {
				p.call(l, a)
			}
		}
	}
}

// call makes a call to a worker; it may be lost, before it is carried out or after.
func (p *overlapPlay) call(l *overlapLeader, a Action) {
	id, epoch := a.Order.Worker+a.Poll.Worker, a.Order.Epoch+a.Poll.Epoch
	lost := p.now.Before(l.lost[id])
	if lost && p.random.IntN(3) > 0 {
		p.answerWith(a, workload.VerdictUnknown)
		return
	}
	if epoch < p.epochs[id] {
		p.answerWith(a, workload.VerdictFenced)
		return
	}
	p.epochs[id] = epoch
	p.check(id, a)
	switch {
	case !lost:
		p.execute(a)
	case a.Kind == ActStart:
		p.startRun(p.workers[id], a.Order)
	case a.Kind == ActPoll:
		p.report(p.workers[id], a.Poll)
	}
	if lost {
		p.answerWith(a, workload.VerdictUnknown)
	}
}

// check checks a call that a worker is about to carry out.
func (p *overlapPlay) check(id string, a Action) {
	w := p.workers[id]
	for _, e := range w.ended {
		key := runKey{e.Task, e.Attempt}
		if e.Number <= a.Poll.Acknowledged && p.counted[key] {
			p.acknowledged[key] = true
			assert.Assert(p.t, !p.restarted[key], "%v ended done, was started again, and its end is acknowledged", key)
		}
	}
	if a.Kind != ActStart || a.Order.Attempt <= w.closed[a.Order.Task] {
		return
	}
	p.checkRunsNowhere(a.Order)
	p.ends[runKey{a.Order.Task, a.Order.Attempt}] = p.now.Add(50*time.Millisecond + p.upTo(1500*time.Millisecond))
	for key := range p.counted {
		if key.task == a.Order.Task && key.attempt < a.Order.Attempt {
			p.restarted[key] = true
			assert.Assert(p.t, !p.acknowledged[key], "%v ended done, was acknowledged, and is started again", key)
		}
	}
}

func TestNoTaskRunsTwiceWhileTwoLeadersGiveOrders(t *testing.T) {
	for seed := range uint64(64) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := newOverlapPlay(t, seed)
			strict := p.random.IntN(2) == 0
			p.core.StoreStartIntents(strict)
			for n := range 120 {
				if n == 30 {
					p.takeOver(strict, p.upTo(1300*time.Millisecond))
				}
				if nearTakeover := n > 25 && n < 55; p.random.IntN(8) == 0 || nearTakeover && p.random.IntN(3) == 0 {
					p.submit()
				}
				p.step(true)
			}
			for range 300 {
				p.step(false)
			}
			for _, job := range p.jobs {
				assert.Equal(t, p.finalState(job.ID), FinalCompleted, job.ID)
			}
		})
	}
}

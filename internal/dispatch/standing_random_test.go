package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calmAfter is the time after a disturbance from which a job must not stand.
const calmAfter = 4 * time.Second

// randomPlay plays jobs of random shapes, workers that fail everything, fall silent or shrink, and
// changes of the leader.
type randomPlay struct {
	*standWatch
	random   *rand.Rand
	calmFrom time.Time
	ends     map[string]time.Time
	jobs     int
}

func newRandomPlay(t *testing.T, seed uint64) *randomPlay {
	b := newUnsoundBench(t, 12)
	b.configureAttempts(4)
	if seed%2 == 0 {
		b.core.bounds.MaxStopTime = 900 * time.Millisecond
		b.stopTakes = 500 * time.Millisecond
	}
	return &randomPlay{standWatch: newStandWatch(b), random: rand.New(rand.NewPCG(seed, 7)), ends: make(map[string]time.Time)}
}

func (p *randomPlay) play(d time.Duration, disturbed bool) {
	for until := p.now.Add(d); p.now.Before(until); {
		if p.random.Float64() < 0.12 {
			p.addJob()
		}
		if disturbed && p.random.Float64() < 0.01 {
			p.disturb()
		}
		for id, end := range p.ends {
			if !p.now.Before(end) {
				delete(p.unsound, id)
				delete(p.unresponsive, id)
				delete(p.ends, id)
			}
		}
		if p.now.Before(p.calmFrom) {
			clear(p.since)
			p.advance(50 * time.Millisecond)
			continue
		}
		p.watch(50 * time.Millisecond)
	}
}

func (p *randomPlay) addJob() {
	p.jobs++
	queue := []string{"urgent", "middle", "middle", "batch", "batch", "once"}[p.random.IntN(6)]
	account := []string{"acme", "other"}[p.random.IntN(2)]
	id, tasks, accelerators := fmt.Sprint("job", p.jobs), 1+p.random.IntN(6), []int64{1, 2, 4, 8}[p.random.IntN(4)]
	job := singleJob(id, queue, account, tasks, accelerators)
	if p.random.IntN(2) == 0 {
		job = gangJob(id, queue, account, tasks, accelerators)
	}
	job.Steps[0].Checkpoints = p.random.IntN(3) == 0
	p.runTimes[id] = time.Duration(1+p.random.IntN(6)) * time.Second
	job.Steps[0].EstimateMS = p.runTimes[id].Milliseconds()
	p.add(job)
}

// disturb lets some workers fail everything or fall silent for a while, or replaces the leader.
func (p *randomPlay) disturb() {
	d := time.Duration(500+p.random.IntN(10_000)) * time.Millisecond
	if calm := p.now.Add(d + calmAfter); calm.After(p.calmFrom) {
		p.calmFrom = calm
	}
	kind, share := p.random.IntN(3), 0.1+0.8*p.random.Float64()
	if kind == 2 {
		p.takeOver()
		return
	}
	ids := make([]string, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if p.random.Float64() >= share {
			continue
		}
		p.ends[id] = p.now.Add(d)
		if kind == 0 {
			p.unsound[id] = true
		} else {
			p.unresponsive[id] = true
		}
	}
}

// takeOver replaces the leader; the next one knows the jobs, their records and what was learned.
func (p *randomPlay) takeOver() {
	before := p.core
	p.core = New(before.bounds, before.epoch+1, p.now, p.now)
	p.configureAttempts(4)
	p.core.Restore(before.Knowledge(), p.now, p.wallMS)
	p.listWorkers()
	for _, j := range before.queue {
		p.core.AddJob(j.Job, j.record, j.cancelled, p.now, p.wallMS)
	}
}

func TestAcceptedJobsDoNotStandInRandomPlays(t *testing.T) {
	for _, seed := range []uint64{0, 3, 9} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := newRandomPlay(t, seed)
			p.play(40*time.Second, true)
			p.play(30*time.Second, false)
			assert.Assert(t, p.longest <= statedStand, "%s stands for %s", p.job, p.longest)
		})
	}
}

package emulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// tick is the resolution of the play, and the time that an order, a poll or a
	// write takes to be answered.
	tick = 10 * time.Millisecond
	// roundEvery is the longest time between two rounds of decisions.
	roundEvery = 50 * time.Millisecond
	// orderTimeout and pollTimeout bound calls to workers that are cut off.
	orderTimeout = 500 * time.Millisecond
	pollTimeout  = 600 * time.Millisecond
	// stopLeast is the share of its bound that a stop takes at least: 3,674 stops on the
	// platform took 0.3 to 1.0 of it, evenly spread.
	stopLeast = 0.3
	// announceAfter is after how long without the store an end is announced.
	announceAfter = 150 * time.Millisecond
)

// began is when every play begins; the steady and the wall clock agree.
var began = time.Unix(1_800_000_000, 0)

// answer is an event for the leader that is due at a time.
type answer struct {
	at   time.Duration
	tell func(core *dispatch.Core)
}

// player plays one day.
type player struct {
	deployment *Deployment
	day        *Day
	tuning     dispatch.Tuning
	leader     leader
	now        time.Duration
	workers    map[string]*worker
	order      []*worker
	jobs       map[string]*arrival
	gangs      map[runKey]*gang
	answers    []answer
	touched    bool
	planned    time.Duration
	// accepted and cancelled are the rows of jobs, table that of their records;
	// announced are the ends that the store did not take in time.
	accepted, cancelled []*arrival
	table, announced    map[string]dispatch.Record
	writing             bool
	handovers, crashes  []float64
	// drained are the zones that the leader was told are drained.
	drained []string
	random  *rand.Rand
	tally   tally
	// trace, if set, is told of each action.
	trace func(at time.Duration, action dispatch.Action)
}

// event is something that callers do at a time.
type event struct {
	at  time.Duration
	job *arrival
}

// play plays a day to its end.
func play(d *Deployment, day *Day, tuning dispatch.Tuning, seed uint64) *tally {
	return playTraced(d, day, tuning, seed, nil)
}

// playTraced plays a day to its end, and tells of each action if somebody listens.
func playTraced(d *Deployment, day *Day, tuning dispatch.Tuning, seed uint64, trace func(time.Duration, dispatch.Action)) *tally {
	random := rand.New(rand.NewPCG(seed, 29))
	list := arrivals(d, day, random)
	pl := newPlayer(d, day, tuning, random)
	pl.trace = trace
	var accepts, cancels []event
	for _, a := range list {
		if at, ok := pl.acceptedAt(a); ok {
			accepts = append(accepts, event{at, a})
			if a.cancelAt > 0 {
				cancels = append(cancels, event{max(a.cancelAt, at), a})
			}
		}
	}
	byTime := func(a, b event) int { return cmp.Compare(a.at, b.at) }
	slices.SortStableFunc(accepts, byTime)
	slices.SortStableFunc(cancels, byTime)
	for ; pl.now < horizon+drain; pl.now += tick {
		for len(accepts) > 0 && accepts[0].at <= pl.now {
			pl.accept(accepts[0].job)
			accepts = accepts[1:]
		}
		for len(cancels) > 0 && cancels[0].at <= pl.now && !pl.day.storeAway(pl.now) {
			pl.cancel(cancels[0].job)
			cancels = cancels[1:]
		}
		pl.step()
	}
	pl.tally.close(d, list)
	return &pl.tally
}

func newPlayer(d *Deployment, day *Day, tuning dispatch.Tuning, random *rand.Rand) *player {
	pl := &player{
		deployment: d,
		day:        day,
		tuning:     tuning,
		workers:    make(map[string]*worker),
		jobs:       make(map[string]*arrival),
		gangs:      make(map[runKey]*gang),
		table:      make(map[string]dispatch.Record),
		announced:  make(map[string]dispatch.Record),
		handovers:  day.Handovers,
		crashes:    day.Crashes,
		random:     random,
		tally:      newTally(),
	}
	for i, listed := range d.list() {
		w := &worker{Worker: listed, machine: listed.ID, zone: i / d.WorkersPerRack / d.RacksPerZone, speed: d.Speeds[random.IntN(len(d.Speeds))]}
		for t := range day.Workers {
			if random.Float64() < day.Workers[t].Share {
				w.troubles = append(w.troubles, &day.Workers[t])
			}
		}
		pl.workers[w.ID] = w
		pl.order = append(pl.order, w)
	}
	return pl
}

func (pl *player) time() time.Time { return began.Add(pl.now) }

func (pl *player) wall() int64 { return pl.time().UnixMilli() }

func (pl *player) accept(a *arrival) {
	a.job.AcceptedMS = pl.wall()
	pl.jobs[a.job.ID] = a
	pl.accepted = append(pl.accepted, a)
	if core := pl.leader.core; core != nil {
		core.AddJob(a.job, dispatch.Record{}, false, pl.time(), pl.wall())
		pl.touched = true
	}
}

func (pl *player) cancel(a *arrival) {
	pl.cancelled = append(pl.cancelled, a)
	if core := pl.leader.core; core != nil {
		core.Cancel(a.job.ID, pl.time(), pl.wall())
		pl.touched = true
	}
}

// step moves everything on by one tick.
func (pl *player) step() {
	for _, w := range pl.order {
		pl.work(w)
	}
	pl.changeLeaders()
	pl.hearDrains()
	core := pl.leader.core
	if core == nil {
		return
	}
	for _, w := range pl.order {
		pl.answerPoll(w)
	}
	pl.takeAnswers(core)
	if !pl.touched && pl.now-pl.planned < roundEvery {
		return
	}
	pl.touched, pl.planned = false, pl.now
	decide := core.Decide
	if pl.paused() {
		decide = core.Watch
	}
	for _, action := range decide(pl.time(), pl.wall()) {
		pl.carryOut(action)
	}
	pl.record(core)
}

func (pl *player) takeAnswers(core *dispatch.Core) {
	answers := pl.answers
	pl.answers = nil
	for _, a := range answers {
		if a.at > pl.now {
			pl.answers = append(pl.answers, a)
			continue
		}
		a.tell(core)
		pl.touched = true
	}
}

// later lets the leader have an answer after a while.
func (pl *player) later(after time.Duration, tell func(core *dispatch.Core)) {
	pl.answers = append(pl.answers, answer{pl.now + after, tell})
}

// route is how the leader reaches a worker.
type route int

const (
	pathOpen route = iota
	pathSilent
	pathRefused
	// pathReplaced reaches another life of the worker.
	pathReplaced
)

func (pl *player) pathTo(w *worker, life string) route {
	if p := pl.wayTo(w); p == pathSilent {
		return p
	}
	if w.backAt > 0 {
		return pathRefused
	}
	if p := pl.wayTo(w); p != pathOpen || life == w.ID {
		return p
	}
	return pathReplaced
}

// wayTo is how the leader reaches a worker's machine.
func (pl *player) wayTo(w *worker) route {
	if t := w.troubled(pl.now); t != nil && (t.Silent || t.Reborn) {
		return pathSilent
	}
	zones := pl.deployment.Zones
	if w.zone == pl.leader.zone {
		return pathOpen
	}
	c := cmp.Or(pl.day.cutAt(w.zone, zones, pl.now), pl.day.cutAt(pl.leader.zone, zones, pl.now))
	switch {
	case c == nil:
		return pathOpen
	case c.Refused:
		return pathRefused
	}
	return pathSilent
}

// lost is the verdict on a call that a path does not carry, and how long it takes.
func (p route) lost(timeout time.Duration) (workload.Verdict, time.Duration) {
	switch p {
	case pathRefused:
		return workload.VerdictClosed, tick
	case pathReplaced:
		return workload.VerdictGone, tick
	}
	return workload.VerdictUnknown, timeout
}

func (pl *player) carryOut(action dispatch.Action) {
	if pl.trace != nil {
		pl.trace(pl.now, action)
	}
	order := action.Order
	switch action.Kind {
	case dispatch.ActStart:
		receipt, after := pl.give(order, func(w *worker) { pl.start(w, order) })
		pl.later(after, func(core *dispatch.Core) { core.StartAnswered(order, receipt, pl.time(), pl.wall()) })
	case dispatch.ActStop:
		receipt, after := pl.give(order, func(w *worker) { pl.stop(w, order, strings.HasPrefix(action.Reason, "makes room")) })
		pl.later(after, func(core *dispatch.Core) { core.StopAnswered(order, receipt, pl.time(), pl.wall()) })
	case dispatch.ActPoll:
		pl.poll(action)
	}
}

// give carries an order out, if it reaches its worker.
func (pl *player) give(order workload.Order, do func(w *worker)) (workload.Receipt, time.Duration) {
	w := pl.workers[order.Worker]
	if p := pl.pathTo(w, order.Worker); p != pathOpen {
		verdict, after := p.lost(orderTimeout)
		return workload.Receipt{Verdict: verdict}, after
	}
	if t := w.troubled(pl.now); t != nil && t.Loses > 0 && pl.random.Float64() < t.Loses {
		return workload.Receipt{Verdict: workload.VerdictUnknown}, orderTimeout
	}
	do(w)
	return workload.Receipt{ClockMS: pl.wall()}, tick
}

func (pl *player) poll(action dispatch.Action) {
	w := pl.workers[action.Poll.Worker]
	if p := pl.pathTo(w, action.Poll.Worker); p != pathOpen {
		verdict, after := p.lost(action.Poll.Wait + pollTimeout)
		pl.later(after, func(core *dispatch.Core) {
			core.PollAnswered(action, workload.Report{Verdict: verdict}, pl.time(), pl.wall())
		})
		return
	}
	w.lease(action.Poll.UntilMS)
	if action.Poll.Wait == 0 || w.unseen(action.Poll.Acknowledged) {
		pl.report(w, action)
		return
	}
	w.poll, w.lookBy = &action, pl.now+action.Poll.Wait
}

// answerPoll answers the poll that waits at a worker, if an end has come or its time
// is over; one whose worker was cut off meanwhile is lost.
func (pl *player) answerPoll(w *worker) {
	if w.poll == nil {
		return
	}
	if p := pl.pathTo(w, w.poll.Poll.Worker); p != pathOpen {
		sent := *w.poll
		w.poll = nil
		verdict, after := p.lost(max(w.lookBy-pl.now, 0) + pollTimeout)
		pl.later(after, func(core *dispatch.Core) {
			core.PollAnswered(sent, workload.Report{Verdict: verdict}, pl.time(), pl.wall())
		})
		return
	}
	if pl.now < w.lookBy && !w.unseen(w.poll.Poll.Acknowledged) {
		return
	}
	pl.report(w, *w.poll)
	w.poll = nil
}

// report answers a poll.
func (pl *player) report(w *worker, action dispatch.Action) {
	w.ended = slices.DeleteFunc(w.ended, func(e workload.Ended) bool { return e.Number <= action.Poll.Acknowledged })
	report := workload.Report{ClockMS: pl.wall(), Running: w.running(), Ended: slices.Clone(w.ended)}
	pl.later(tick, func(core *dispatch.Core) { core.PollAnswered(action, report, pl.time(), pl.wall()) })
}

func (pl *player) start(w *worker, order workload.Order) {
	key := runKey{order.Task, order.Attempt}
	if w.find(key) != nil {
		return // the order was repeated
	}
	a := pl.jobs[order.Task.Job]
	r := &run{key: key, job: a, began: pl.now, from: decodeCheckpoint(order.Checkpoint)}
	r.done, r.kept = r.from, r.from
	if r.from > 0 {
		r.done -= milliseconds(pl.deployment.RestoreMS)
	}
	pl.tally.started(a, pl.now)
	if pl.drainedFor(w, drainBound) {
		pl.tally.drainedStarts++
	}
	w.lease(order.UntilMS)
	g := pl.gangOf(a, order)
	if g == nil || len(g.members) == 0 {
		r.fails = a.failsAfter()
	}
	w.start(r, g)
}

// drainedFor reports whether a worker's zone has been drained for a while.
func (pl *player) drainedFor(w *worker, d time.Duration) bool {
	for _, at := range []time.Duration{pl.now - d, pl.now} {
		if !slices.Contains(pl.day.drainedZones(pl.deployment.Zones, at), w.Zone) {
			return false
		}
	}
	return true
}

// gangOf is the gang that a run belongs to, or nil.
func (pl *player) gangOf(a *arrival, order workload.Order) *gang {
	if !a.job.Steps[0].Gang {
		return nil
	}
	key := runKey{workload.TaskID{Job: order.Task.Job}, order.Attempt}
	if pl.gangs[key] == nil {
		pl.gangs[key] = &gang{size: a.job.Steps[0].Count, racks: make(map[string]int)}
	}
	return pl.gangs[key]
}

func (pl *player) stop(w *worker, order workload.Order, forOthers bool) {
	r := w.find(runKey{order.Task, order.Attempt})
	if r == nil || r.stopAt > 0 {
		return
	}
	took := stopLeast + (1-stopLeast)*pl.random.Float64()
	r.stopAt = pl.now + time.Duration(took*float64(pl.deployment.bounds.StopTime))
	if forOthers {
		pl.tally.preempted++
	}
}

// recordsAtOnce bounds the records of one write.
const recordsAtOnce = 50

// record writes what the core wants written; the store answers at the next tick. While
// it is away, ends are announced.
func (pl *player) record(core *dispatch.Core) {
	for _, u := range core.EndedUnpersisted(announceAfter) {
		pl.announce(u)
	}
	if !pl.day.storeAway(pl.now) {
		core.Removed(core.Gone(recordsAtOnce))
	}
	list := core.Unpersisted(recordsAtOnce)
	if len(list) == 0 || pl.writing || pl.day.storeAway(pl.now) {
		return
	}
	for _, u := range list {
		record, err := dispatch.DecodeRecord(u.Record)
		if err != nil {
			panic(err) // the core has just encoded it
		}
		pl.table[u.Job] = record
		pl.tally.gaveUp(pl.jobs[u.Job], &record)
		if u.Final == dispatch.FinalCompleted {
			pl.tally.completed(pl.jobs[u.Job], pl.now)
		}
	}
	pl.writing = true
	pl.later(tick, func(core *dispatch.Core) {
		pl.writing = false
		core.Recorded(list, pl.time(), pl.wall())
	})
}

func (pl *player) announce(u dispatch.Unpersisted) {
	record, err := dispatch.DecodeRecord(u.Record)
	if err != nil {
		panic(err) // as above
	}
	pl.announced[u.Job] = record
	if u.Final == dispatch.FinalCompleted {
		pl.tally.completed(pl.jobs[u.Job], pl.now)
	}
}

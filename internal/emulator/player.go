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
	// tick is the resolution of the simulation, and the time until an order, a poll or a
	// write is answered.
	tick = 10 * time.Millisecond
	// maxRoundInterval is the longest time between two scheduling rounds.
	maxRoundInterval = 50 * time.Millisecond
	// orderTimeout and pollTimeout bound calls to unresponsive workers.
	orderTimeout = 500 * time.Millisecond
	pollTimeout  = 600 * time.Millisecond
	// minStopShare is the minimum time of a stop as a share of its bound: 3,674 stops on
	// the platform took 0.3 to 1.0 of it, uniformly distributed.
	minStopShare = 0.3
	// announceDelay is the time after which the end of a job that is not stored yet is
	// announced.
	announceDelay = 150 * time.Millisecond
)

// simulationStart is the start time of every simulation; the monotonic and the wall
// clock agree.
var simulationStart = time.Unix(1_800_000_000, 0)

// pendingAnswer is an event that is delivered to the leader at a time.
type pendingAnswer struct {
	dueAt   time.Duration
	deliver func(core *dispatch.Core)
}

// simulation is the state of one simulated day.
type simulation struct {
	deployment *Deployment
	day        *Day
	tuning     dispatch.Tuning
	leader     leader
	// now is the time since simulationStart.
	now        time.Duration
	workers    map[string]*worker
	workerList []*worker
	// storedWorkers are the workers as last stored by a leader.
	storedWorkers  []workload.Worker
	jobs           map[string]*arrival
	gangs          map[runKey]*gang
	pendingAnswers []pendingAnswer
	roundDue       bool
	lastRound      time.Duration
	// accepted and cancelled are the stored jobs and cancellations, records the stored
	// records; announced holds the records of ended jobs that were not stored in time.
	accepted, cancelled []*arrival
	records, announced  map[string]dispatch.Record
	writeInFlight       bool
	// leaderHandovers and leaderCrashes are the times of the remaining leader changes, and
	// restarts those of the remaining restarts of all instances, in seconds.
	leaderHandovers, leaderCrashes, restarts []float64
	// reportedDrains are the drained zones last reported to the leader.
	reportedDrains []string
	random         *rand.Rand
	tally          tally
	// trace, if set, is called with each action.
	trace func(at time.Duration, action dispatch.Action)
}

// event is the acceptance of a job or its cancellation by the caller.
type event struct {
	at  time.Duration
	job *arrival
}

// simulate runs a day to its end.
func simulate(d *Deployment, day *Day, tuning dispatch.Tuning, seed uint64) *tally {
	return simulateTraced(d, day, tuning, seed, nil)
}

// simulateTraced runs a day to its end and calls trace with each action, unless trace
// is nil.
func simulateTraced(d *Deployment, day *Day, tuning dispatch.Tuning, seed uint64, trace func(time.Duration, dispatch.Action)) *tally {
	random := rand.New(rand.NewPCG(seed, 29))
	list := drawArrivals(d, day, random)
	sim := newSimulation(d, day, tuning, random)
	sim.trace = trace
	var accepts, cancels []event
	for _, a := range list {
		if at, ok := sim.acceptedAt(a); ok {
			accepts = append(accepts, event{at, a})
			if a.cancelAt > 0 {
				cancels = append(cancels, event{max(a.cancelAt, at), a})
			}
		}
	}
	byTime := func(a, b event) int { return cmp.Compare(a.at, b.at) }
	slices.SortStableFunc(accepts, byTime)
	slices.SortStableFunc(cancels, byTime)
	for ; sim.now < arrivalPeriod+completionPeriod; sim.now += tick {
		for len(accepts) > 0 && accepts[0].at <= sim.now {
			sim.accept(accepts[0].job)
			accepts = accepts[1:]
		}
		for len(cancels) > 0 && cancels[0].at <= sim.now && !sim.day.storeDown(sim.now) {
			sim.cancel(cancels[0].job)
			cancels = cancels[1:]
		}
		sim.advance()
	}
	for _, w := range sim.workerList {
		for _, r := range w.runs {
			sim.tally.runningAtEnd[r.job] = true
		}
	}
	sim.tally.close(d, list)
	return &sim.tally
}

func newSimulation(d *Deployment, day *Day, tuning dispatch.Tuning, random *rand.Rand) *simulation {
	sim := &simulation{
		deployment:      d,
		day:             day,
		tuning:          tuning,
		workers:         make(map[string]*worker),
		jobs:            make(map[string]*arrival),
		gangs:           make(map[runKey]*gang),
		records:         make(map[string]dispatch.Record),
		announced:       make(map[string]dispatch.Record),
		leaderHandovers: day.LeaderHandovers,
		leaderCrashes:   day.LeaderCrashes,
		restarts:        day.Restarts,
		random:          random,
		tally:           newTally(),
	}
	for i, listed := range d.listWorkers() {
		w := &worker{Worker: listed, machine: listed.ID, zone: i / d.WorkersPerRack / d.RacksPerZone, speed: d.Speeds[random.IntN(len(d.Speeds))]}
		if day.KeepIDs {
			w.Incarnation = 1
		}
		for t := range day.WorkerFaults {
			if random.Float64() < day.WorkerFaults[t].Share {
				w.faults = append(w.faults, &day.WorkerFaults[t])
			}
		}
		sim.workers[w.ID] = w
		sim.workerList = append(sim.workerList, w)
	}
	return sim
}

func (sim *simulation) clock() time.Time { return simulationStart.Add(sim.now) }

func (sim *simulation) wallMS() int64 { return sim.clock().UnixMilli() }

func (sim *simulation) accept(a *arrival) {
	a.job.AcceptedMS = sim.wallMS()
	sim.jobs[a.job.ID] = a
	sim.accepted = append(sim.accepted, a)
	if core := sim.leader.core; core != nil {
		core.AddJob(a.job, dispatch.Record{}, false, sim.clock(), sim.wallMS())
		sim.roundDue = true
	}
}

func (sim *simulation) cancel(a *arrival) {
	sim.cancelled = append(sim.cancelled, a)
	if core := sim.leader.core; core != nil {
		core.Cancel(a.job.ID, sim.clock(), sim.wallMS())
		sim.roundDue = true
	}
}

// advance moves the simulation forward by one tick.
func (sim *simulation) advance() {
	for _, w := range sim.workerList {
		sim.advanceWorker(w)
	}
	sim.changeLeader()
	sim.updateDrains()
	core := sim.leader.core
	if core == nil {
		return
	}
	for _, w := range sim.workerList {
		sim.answerWaitingPoll(w)
	}
	sim.deliverAnswers(core)
	if !sim.roundDue && sim.now-sim.lastRound < maxRoundInterval {
		return
	}
	sim.roundDue, sim.lastRound = false, sim.now
	core.EarlierJobsKnown(sim.clock(), sim.wallMS()) // every job reaches the leader when it is accepted
	decide := core.Decide
	if sim.leaseExpired() {
		decide = core.Watch
	}
	for _, action := range decide(sim.clock(), sim.wallMS()) {
		sim.execute(action)
	}
	for _, stood := range core.LongestStands() {
		sim.tally.longestStand = max(sim.tally.longestStand, stood)
	}
	sim.writeRecords(core)
}

func (sim *simulation) deliverAnswers(core *dispatch.Core) {
	answers := sim.pendingAnswers
	sim.pendingAnswers = nil
	for _, a := range answers {
		if a.dueAt > sim.now {
			sim.pendingAnswers = append(sim.pendingAnswers, a)
			continue
		}
		a.deliver(core)
		sim.roundDue = true
	}
}

// deliverAfter schedules an answer to the leader after a delay.
func (sim *simulation) deliverAfter(delay time.Duration, deliver func(core *dispatch.Core)) {
	sim.pendingAnswers = append(sim.pendingAnswers, pendingAnswer{sim.now + delay, deliver})
}

// route is the state of the connection from the leader to a worker.
type route int

const (
	routeOpen route = iota
	routeUnresponsive
	routeRefused
	// routeReplaced leads to another incarnation of the worker.
	routeReplaced
)

// routeTo returns the route to the incarnation of a worker that has an id.
func (sim *simulation) routeTo(w *worker, id string) route {
	if r := sim.routeToMachine(w); r == routeUnresponsive {
		return r
	}
	if w.restartAt > 0 {
		return routeRefused
	}
	if r := sim.routeToMachine(w); r != routeOpen || id == w.ID {
		return r
	}
	return routeReplaced
}

// routeToMachine returns the route to a worker's machine. It does not check whether the
// worker itself is up.
func (sim *simulation) routeToMachine(w *worker) route {
	if f := w.activeFault(sim.now); f != nil && (f.Partitioned || f.PartitionedRestart) {
		return routeUnresponsive
	}
	zones := sim.deployment.Zones
	if w.zone == sim.leader.zone {
		return routeOpen
	}
	p := cmp.Or(sim.day.partitionAt(w.zone, zones, sim.now), sim.day.partitionAt(sim.leader.zone, zones, sim.now))
	switch {
	case p == nil:
		return routeOpen
	case p.Refused:
		return routeRefused
	}
	return routeUnresponsive
}

// failure returns the verdict on a call over a route that is not open, and the time
// after which the leader receives it.
func (r route) failure(timeout time.Duration) (workload.Verdict, time.Duration) {
	switch r {
	case routeRefused:
		return workload.VerdictConnectionRefused, tick
	case routeReplaced:
		return workload.VerdictOtherIncarnation, tick
	}
	return workload.VerdictUnknown, timeout
}

func (sim *simulation) execute(action dispatch.Action) {
	if sim.trace != nil {
		sim.trace(sim.now, action)
	}
	order := action.Order
	switch action.Kind {
	case dispatch.ActStart:
		result, after := sim.sendOrder(order, func(w *worker) { sim.executeStart(w, order) })
		sim.deliverAfter(after, func(core *dispatch.Core) { core.StartAnswered(order, result, sim.clock(), sim.wallMS()) })
	case dispatch.ActStop:
		result, after := sim.sendOrder(order, func(w *worker) { sim.executeStop(w, order, strings.HasPrefix(action.Reason, "makes room")) })
		sim.deliverAfter(after, func(core *dispatch.Core) { core.StopAnswered(order, result, sim.clock(), sim.wallMS()) })
	case dispatch.ActPoll:
		sim.sendPoll(action)
	}
}

// sendOrder applies an order if it reaches its worker, and returns the result and its
// delay.
func (sim *simulation) sendOrder(order workload.Order, apply func(w *worker)) (workload.OrderResult, time.Duration) {
	w := sim.workers[order.Worker]
	if r := sim.routeTo(w, order.Worker); r != routeOpen {
		verdict, after := r.failure(orderTimeout)
		return workload.OrderResult{Verdict: verdict}, after
	}
	if f := w.activeFault(sim.now); f != nil && f.LostOrders > 0 && sim.random.Float64() < f.LostOrders {
		return workload.OrderResult{Verdict: workload.VerdictUnknown}, orderTimeout
	}
	apply(w)
	return workload.OrderResult{ClockMS: sim.wallMS(), Incarnation: w.Incarnation}, tick
}

func (sim *simulation) sendPoll(action dispatch.Action) {
	w := sim.workers[action.Poll.Worker]
	if r := sim.routeTo(w, action.Poll.Worker); r != routeOpen {
		verdict, after := r.failure(action.Poll.Wait + pollTimeout)
		sim.deliverAfter(after, func(core *dispatch.Core) {
			core.PollAnswered(action, workload.Report{Verdict: verdict}, sim.clock(), sim.wallMS())
		})
		return
	}
	w.extendLease(action.Poll.UntilMS)
	if action.Poll.Wait == 0 || w.hasUnacknowledged(action.Poll.Acknowledged) {
		sim.sendReport(w, action)
		return
	}
	w.waitingPoll, w.pollDeadline = &action, sim.now+action.Poll.Wait
}

// answerWaitingPoll answers the poll that waits at a worker once there is a new
// completion or the poll's wait time is over. The poll is lost if the worker has become
// unreachable.
func (sim *simulation) answerWaitingPoll(w *worker) {
	if w.waitingPoll == nil {
		return
	}
	if r := sim.routeTo(w, w.waitingPoll.Poll.Worker); r != routeOpen {
		sent := *w.waitingPoll
		w.waitingPoll = nil
		verdict, after := r.failure(max(w.pollDeadline-sim.now, 0) + pollTimeout)
		sim.deliverAfter(after, func(core *dispatch.Core) {
			core.PollAnswered(sent, workload.Report{Verdict: verdict}, sim.clock(), sim.wallMS())
		})
		return
	}
	if sim.now < w.pollDeadline && !w.hasUnacknowledged(w.waitingPoll.Poll.Acknowledged) {
		return
	}
	sim.sendReport(w, *w.waitingPoll)
	w.waitingPoll = nil
}

// sendReport answers a poll. Completions that the poll acknowledges are dropped first.
func (sim *simulation) sendReport(w *worker, action dispatch.Action) {
	w.completions = slices.DeleteFunc(w.completions, func(e workload.Completion) bool {
		acknowledged := e.Number <= action.Poll.Acknowledged
		if acknowledged && e.Kind == workload.CompletionDone {
			sim.tally.recordAcknowledged(e.Task)
		}
		return acknowledged
	})
	report := workload.Report{ClockMS: sim.wallMS(), Incarnation: w.Incarnation, Running: w.runningTasks(), Ended: slices.Clone(w.completions)}
	sim.deliverAfter(tick, func(core *dispatch.Core) { core.PollAnswered(action, report, sim.clock(), sim.wallMS()) })
}

func (sim *simulation) executeStart(w *worker, order workload.Order) {
	key := runKey{order.Task, order.Attempt}
	if w.findRun(key) != nil {
		return // the order was resent
	}
	a := sim.jobs[order.Task.Job]
	r := &run{key: key, job: a, startedAt: sim.now, resumedWork: decodeCheckpoint(order.Checkpoint)}
	r.workDone, r.checkpointedWork = r.resumedWork, r.resumedWork
	if r.resumedWork > 0 {
		r.workDone -= milliseconds(sim.deployment.RestoreMS)
	}
	sim.tally.recordStart(a, sim.now)
	sim.checkStart(w, order.Task)
	if sim.drainedFor(w, drainTolerance) {
		sim.tally.drainedStarts++
	}
	w.extendLease(order.UntilMS)
	g := sim.gangOf(a, order)
	if g == nil || len(g.members) == 0 {
		r.failAtShare = a.drawFailure()
	}
	w.startRun(r, g)
}

// checkStart records what no start may do: run a task beside another run of it or after
// its acknowledged completion, run a job that callers were shown as completed, or exceed
// the worker's capacity.
func (sim *simulation) checkStart(w *worker, task workload.TaskID) {
	if sim.tally.acknowledged[task] {
		sim.tally.startsAfterCompletion++
	}
	if _, shown := sim.tally.completedAt[sim.jobs[task.Job]]; shown {
		sim.tally.startsAfterShown++
	}
	for _, other := range sim.workerList {
		if slices.ContainsFunc(other.runs, func(r *run) bool { return r.key.task == task }) {
			sim.tally.concurrentRuns++
		}
	}
	used := sim.jobs[task.Job].job.Steps[0].CountedResources()
	for _, r := range w.runs {
		used = used.Add(r.job.job.Steps[0].CountedResources())
	}
	if !w.Capacity.Contains(used) {
		sim.tally.startsOverCapacity++
	}
}

// drainedFor reports whether a worker's zone has been drained for a duration. Only the
// start and the end of that period are checked.
func (sim *simulation) drainedFor(w *worker, d time.Duration) bool {
	for _, at := range []time.Duration{sim.now - d, sim.now} {
		if !slices.Contains(sim.day.drainedZones(sim.deployment.Zones, at), w.Zone) {
			return false
		}
	}
	return true
}

// gangOf returns the gang that the run of a start order belongs to, and creates it for
// the first member. It returns nil if the job is not a gang.
func (sim *simulation) gangOf(a *arrival, order workload.Order) *gang {
	if !a.job.Steps[0].Gang {
		return nil
	}
	key := runKey{workload.TaskID{Job: order.Task.Job}, order.Attempt}
	if sim.gangs[key] == nil {
		sim.gangs[key] = &gang{size: a.job.Steps[0].Count, racks: make(map[string]int)}
	}
	return sim.gangs[key]
}

func (sim *simulation) executeStop(w *worker, order workload.Order, preemption bool) {
	r := w.findRun(runKey{order.Task, order.Attempt})
	if r == nil || r.stopAt > 0 {
		return
	}
	share := minStopShare + (1-minStopShare)*sim.random.Float64()
	r.stopAt = sim.now + time.Duration(share*float64(sim.deployment.bounds.MaxStopTime))
	if preemption {
		sim.tally.preempted++
		r.job.preemptedRuns++
	}
}

// maxRecordsPerWrite bounds the records of one write.
const maxRecordsPerWrite = 50

// writeRecords writes the records that the core has changed; the store answers at the
// next tick. Jobs whose final record has not been stored for announceDelay, for instance
// because the store is down, are announced.
func (sim *simulation) writeRecords(core *dispatch.Core) {
	for _, u := range core.UnstoredFinalRecords(announceDelay) {
		sim.announceCompletion(u)
	}
	if !sim.day.storeDown(sim.now) {
		core.WorkersRemoved(core.WorkersToRemove(maxRecordsPerWrite))
	}
	list := core.UnstoredRecords(maxRecordsPerWrite)
	if len(list) == 0 || sim.writeInFlight || sim.day.storeDown(sim.now) {
		return
	}
	for _, u := range list {
		record, err := dispatch.DecodeRecord(u.Record)
		if err != nil {
			panic(err) // the core has just encoded it
		}
		sim.records[u.Job] = record
		sim.tally.recordFailure(sim.jobs[u.Job], &record)
		if u.Final == dispatch.FinalCompleted {
			sim.tally.recordCompletion(sim.jobs[u.Job], sim.now)
		}
	}
	sim.writeInFlight = true
	sim.deliverAfter(tick, func(core *dispatch.Core) {
		sim.writeInFlight = false
		core.MarkRecordsStored(list, sim.clock(), sim.wallMS())
	})
}

func (sim *simulation) announceCompletion(u dispatch.UnstoredRecord) {
	record, err := dispatch.DecodeRecord(u.Record)
	if err != nil {
		panic(err) // the core has just encoded it
	}
	sim.announced[u.Job] = record
}

package requestload

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// arrive handles a caller's request that arrives at its entry instance.
func (sim *simulation) arrive(a arrival) {
	r := &request{
		arrival: a, id: "r" + strconv.Itoa(len(sim.requests)), deadline: a.at + a.kind.deadline,
		handledBy: sim.zones[a.zone].entries[a.entry],
	}
	sim.requests = append(sim.requests, r)
	sim.after(a.kind.deadline, func() { sim.expireDeadline(r) })
	if !sim.policy.noSpill {
		if to := r.handledBy.spill.Next(); to != "" {
			sim.forward(r, to)
			return
		}
	}
	sim.admit(r.handledBy, r)
}

// expireDeadline answers a request that is still unanswered at its deadline.
func (sim *simulation) expireDeadline(r *request) {
	if r.outcome.kind != "" {
		return
	}
	if r.running || r.ran {
		sim.answer(r, outcomeUnknown)
		return
	}
	r.handledBy.queue.Cancel(r.id)
	sim.answer(r, outcomeNotRun)
}

func (sim *simulation) answer(r *request, kind string) {
	if r.outcome.kind == "" {
		r.outcome = outcome{kind: kind, at: sim.now}
	}
}

// forward sends a request to another zone. If that zone refuses it, it is admitted
// at the instance that forwarded it.
func (sim *simulation) forward(r *request, zoneName string) {
	r.forwarded = true
	origin := r.handledBy
	for _, z := range sim.zones {
		if z.name != zoneName {
			continue
		}
		target := z.entries[sim.random.IntN(len(z.entries))]
		sim.after(interZoneLatency, func() {
			r.handledBy = target
			if target.queue.Check(sim.admissionRequest(r), sim.wallTime()) != nil {
				sim.after(interZoneLatency, func() {
					r.handledBy = origin
					sim.admit(origin, r)
				})
				return
			}
			sim.admit(target, r)
		})
	}
}

// admissionRequest returns the request in the form that package admission uses.
func (sim *simulation) admissionRequest(r *request) admission.Request {
	return admission.Request{
		ID: r.id, Account: r.account, Kind: r.kind.name, Priority: sim.priority(r),
		Arrived: simulationStart.Add(r.at), Deadline: simulationStart.Add(r.deadline),
	}
}

func (sim *simulation) priority(r *request) int {
	if sim.policy.unbounded {
		return 0
	}
	return r.kind.priority
}

// admit queues a request, after claiming its key if it has one. It ignores a request
// that has been answered.
func (sim *simulation) admit(e *entry, r *request) {
	if r.outcome.kind != "" {
		return
	}
	if r.key != "" {
		sim.claimKey(e, r)
		return
	}
	sim.enqueue(e, r)
}

// claimKey coalesces the arrivals of a key. Only the first one is queued, unless
// coalescing is disabled: then every arrival is queued and holds a slot of its own
// while it waits for the first one.
func (sim *simulation) claimKey(e *entry, r *request) {
	state, known := sim.keys[r.key]
	switch {
	case known && state.done:
		sim.after(claimLatency, func() { sim.answer(r, outcomeDone) })
	case known && !sim.policy.noCoalescing:
		state.waiting = append(state.waiting, r)
	case known:
		sim.enqueue(e, r)
	default:
		sim.keys[r.key] = &keyState{}
		sim.after(claimLatency, func() { sim.enqueue(e, r) })
	}
}

func (sim *simulation) enqueue(e *entry, r *request) {
	if r.outcome.kind != "" {
		return
	}
	if refusal := e.queue.Offer(sim.admissionRequest(r), sim.wallTime()); refusal != nil {
		if to := sim.overflowZone(r); to != "" {
			sim.forward(r, to)
			return
		}
		sim.refuse(e, r)
		return
	}
	e.waiting[r.id] = r
	sim.dispatchQueued(e)
}

// overflowZone returns the zone to which to forward a request that would otherwise be
// refused, or an empty string.
func (sim *simulation) overflowZone(r *request) string {
	if sim.policy.noSpill || r.forwarded {
		return ""
	}
	return routing.OverflowZone(sim.otherLoads(r.handledBy.zone))
}

// refuse answers that the request did not run, or that its outcome is unknown if an
// earlier attempt ran. If its key has never run, the other arrivals of the key are
// admitted in its place.
func (sim *simulation) refuse(e *entry, r *request) {
	if r.ran {
		sim.answer(r, outcomeUnknown)
		return
	}
	sim.answer(r, outcomeNotRun)
	state, ok := sim.keys[r.key]
	if !ok || state.runs > 0 || state.done {
		return
	}
	delete(sim.keys, r.key)
	waiters := state.waiting
	for _, other := range waiters {
		sim.admit(e, other)
	}
}

// dispatchQueued refuses the expired requests in the queue and dispatches the others
// while there are free slots, as the product's dispatcher does.
func (sim *simulation) dispatchQueued(e *entry) {
	now := sim.wallTime()
	for _, refusal := range e.queue.Expire(now) {
		r := e.waiting[refusal.Request.ID]
		delete(e.waiting, r.id)
		sim.refuse(e, r)
	}
	usable := sim.usableSlots(e)
	var unrouted []admission.Request
	for e.table.HasFreeSlot(usable) {
		next, ok := e.queue.Next()
		if !ok {
			break
		}
		r := e.waiting[next.ID]
		if sim.policy.codel && e.queueDelay.shouldShed(now.Sub(next.Arrived), sim.now) {
			e.queue.Finish(next.ID, 0)
			delete(e.waiting, r.id)
			sim.refuse(e, r)
			continue
		}
		choice, ok := e.table.Pick(now, sim.random, usable, r.tried)
		if !ok {
			e.queue.Finish(next.ID, 0)
			unrouted = append(unrouted, next)
			if len(r.tried) == 0 {
				break
			}
			continue
		}
		delete(e.waiting, r.id)
		sim.dispatch(e, r, choice)
	}
	for _, request := range unrouted {
		e.queue.Restore(request)
	}
}

// attempt is one dispatch of a request to a backend server.
type attempt struct {
	entry   *entry
	request *request
	choice  routing.Choice
	server  *server
	started time.Duration
}

func (sim *simulation) dispatch(e *entry, r *request, choice routing.Choice) {
	a := &attempt{entry: e, request: r, choice: choice, server: e.zone.servers[choice.ID], started: sim.now}
	e.table.RecordStart(choice.ID)
	r.running = true
	sim.after(intraZoneLatency, func() { sim.execute(a) })
}

// execute runs an attempt at its backend server.
func (sim *simulation) execute(a *attempt) {
	if a.server.inFlight >= serverSlots {
		sim.overruns++
		sim.after(intraZoneLatency, func() { sim.handleFailure(a, true) })
		return
	}
	a.server.inFlight++
	duration, ok := sim.simulateService(a)
	sim.after(duration, func() {
		a.server.inFlight--
		sim.after(intraZoneLatency, func() {
			if ok {
				sim.handleSuccess(a)
				return
			}
			sim.handleFailure(a, false)
		})
	})
}

// simulateService returns how long the server works on an attempt, and whether it
// then answers.
func (sim *simulation) simulateService(a *attempt) (time.Duration, bool) {
	factor := a.server.slowFactor
	if sim.now-a.server.joinedAt < coldDuration {
		factor = coldFactor
	}
	if state, ok := sim.keys[a.request.key]; ok && sim.policy.noCoalescing && state.runs > 0 {
		return sim.slotHoldTime(state, a.request), true
	}
	sim.recordRun(a.request)
	return time.Duration(math.Round(float64(a.request.service) * factor)), !a.server.failing && !sim.drawSharedFault() && !sim.alwaysFails(a.request)
}

// drawSharedFault draws whether a run fails because of a fault in a dependency of
// all servers.
func (sim *simulation) drawSharedFault() bool {
	share := sim.pattern.fault.failShare
	return share > 0 && sim.now >= faultStart && sim.now < faultStart+faultDuration && sim.random.Float64() < share
}

// alwaysFails reports whether the request belongs to the account whose requests
// all fail.
func (sim *simulation) alwaysFails(r *request) bool {
	accounts := sim.deployment.accounts
	return sim.pattern.fault.failAccount && r.account == accounts[len(accounts)-2].name
}

// slotHoldTime returns how long a further arrival of a key holds its slot while it
// waits for the first one.
func (sim *simulation) slotHoldTime(state *keyState, r *request) time.Duration {
	if state.done {
		return claimLatency
	}
	return min(r.service, max(0, r.deadline-sim.now))
}

func (sim *simulation) recordRun(r *request) {
	r.ran = true
	state, ok := sim.keys[r.key]
	if !ok {
		return
	}
	state.runs++
	if state.runs > 1 {
		sim.ranTwice++
	}
}

func (sim *simulation) handleSuccess(a *attempt) {
	elapsed := sim.now - a.started
	sim.finishAttempt(a, routing.Result{Took: elapsed}, elapsed)
	a.entry.budget.RecordAnswer(a.request.account)
	r := a.request
	r.running = false
	sim.answer(r, outcomeDone)
	if state, ok := sim.keys[r.key]; ok {
		state.done = true
		for _, other := range state.waiting {
			sim.answer(other, outcomeDone)
		}
		state.waiting = nil
	}
	sim.dispatchQueued(a.entry)
}

func (sim *simulation) finishAttempt(a *attempt, result routing.Result, service time.Duration) {
	e := a.entry
	result.Expected = e.queue.Expected(sim.admissionRequest(a.request))
	result.Incarnation = a.choice.Incarnation
	e.table.RecordResult(a.choice.ID, result)
	e.queue.Finish(a.request.id, service)
}

// handleFailure ends an attempt without a complete answer, and retries the request
// if the retry budget allows it.
func (sim *simulation) handleFailure(a *attempt, notRun bool) {
	r, e := a.request, a.entry
	r.running = false
	if !notRun {
		r.ran = true
	}
	sim.finishAttempt(a, routing.Result{Failed: true, Took: sim.now - a.started}, 0)
	if r.outcome.kind != "" {
		sim.dispatchQueued(e)
		return
	}
	r.tried = append(slices.Clone(r.tried), a.choice.ID)
	decision := e.budget.Decide(retry.Attempt{
		Account: r.account, Idempotent: r.kind.idempotent, NotRun: notRun, Retries: r.retries, MaxRetries: sim.maxRetries(),
		Deadline: simulationStart.Add(r.deadline), Expected: e.queue.Expected(sim.admissionRequest(r)), Others: e.table.AcceptingServers(r.tried),
	}, sim.wallTime())
	switch {
	case decision.Retry:
		r.retries++
		e.waiting[r.id] = r
		e.queue.Restore(sim.admissionRequest(r))
	case notRun && !r.ran:
		sim.refuse(e, r)
	default:
		sim.answer(r, outcomeUnknown)
	}
	sim.dispatchQueued(e)
}

func (sim *simulation) maxRetries() int {
	if sim.policy.noRetry {
		return 0
	}
	return 2
}

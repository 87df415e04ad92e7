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

// arrive is a caller's request at its entry instance.
func (w *world) arrive(a arrival) {
	r := &request{
		arrival: a, id: "r" + strconv.Itoa(len(w.requests)), deadline: a.at + a.kind.deadline,
		home: w.zones[a.zone].entries[a.entry],
	}
	w.requests = append(w.requests, r)
	w.after(a.kind.deadline, func() { w.expireAtCaller(r) })
	if !w.policy.noSpill {
		if to := r.home.spill.Next(); to != "" {
			w.forward(r, to)
			return
		}
	}
	w.admit(r.home, r)
}

// expireAtCaller answers a request whose deadline has come.
func (w *world) expireAtCaller(r *request) {
	if r.outcome.kind != "" {
		return
	}
	if r.running || r.ran {
		w.answer(r, outcomeUnknown)
		return
	}
	r.home.queue.Cancel(r.id)
	w.answer(r, outcomeNotRun)
}

func (w *world) answer(r *request, kind string) {
	if r.outcome.kind == "" {
		r.outcome = outcome{kind: kind, at: w.now}
	}
}

// forward sends a request to another zone; if that refuses it, it is run here.
func (w *world) forward(r *request, zoneName string) {
	r.forwarded = true
	home := r.home
	for _, z := range w.zones {
		if z.name != zoneName {
			continue
		}
		there := z.entries[w.random.IntN(len(z.entries))]
		w.after(betweenZones, func() {
			r.home = there
			if there.queue.Check(w.admitted(r), w.time()) != nil {
				w.after(betweenZones, func() {
					r.home = home
					w.admit(home, r)
				})
				return
			}
			w.admit(there, r)
		})
	}
}

// admitted is what admission knows of the request.
func (w *world) admitted(r *request) admission.Request {
	return admission.Request{
		ID: r.id, Account: r.account, Kind: r.kind.name, Priority: w.priority(r),
		Arrived: origin.Add(r.at), Deadline: origin.Add(r.deadline),
	}
}

func (w *world) priority(r *request) int {
	if w.policy.unbounded {
		return 0
	}
	return r.kind.priority
}

// admit checks a request, claims its key if it has one, and queues it.
func (w *world) admit(e *entry, r *request) {
	if r.outcome.kind != "" {
		return
	}
	if r.key != "" {
		w.claim(e, r)
		return
	}
	w.offer(e, r)
}

// claim joins the arrivals of a key. Only the first one is queued, unless the
// policy lets each arrival take its turn and wait on its slot.
func (w *world) claim(e *entry, r *request) {
	state, known := w.keys[r.key]
	switch {
	case known && state.done:
		w.after(claimTime, func() { w.answer(r, outcomeDone) })
	case known && !w.policy.noCoalescing:
		state.waiting = append(state.waiting, r)
	case known:
		w.offer(e, r)
	default:
		w.keys[r.key] = &keyed{}
		w.after(claimTime, func() { w.offer(e, r) })
	}
}

func (w *world) offer(e *entry, r *request) {
	if r.outcome.kind != "" {
		return
	}
	if refusal := e.queue.Offer(w.admitted(r), w.time()); refusal != nil {
		if to := w.rescue(r); to != "" {
			w.forward(r, to)
			return
		}
		w.refuse(e, r)
		return
	}
	e.waiting[r.id] = r
	w.serve(e)
}

// rescue returns the zone that takes a request which is refused here.
func (w *world) rescue(r *request) string {
	if w.policy.noSpill || r.forwarded {
		return ""
	}
	return routing.Rescue(w.otherLoads(r.home.zone))
}

// refuse answers not run, or unknown if an earlier attempt ran. Other arrivals of the key may try in its place.
func (w *world) refuse(e *entry, r *request) {
	if r.ran {
		w.answer(r, outcomeUnknown)
		return
	}
	w.answer(r, outcomeNotRun)
	state, ok := w.keys[r.key]
	if !ok || state.runs > 0 || state.done {
		return
	}
	delete(w.keys, r.key)
	next := state.waiting
	for _, other := range next {
		w.admit(e, other)
	}
}

// serve gives turns while there are free slots, as the dispatcher does.
func (w *world) serve(e *entry) {
	now := w.time()
	for _, refusal := range e.queue.Expire(now) {
		r := e.waiting[refusal.Request.ID]
		delete(e.waiting, r.id)
		w.refuse(e, r)
	}
	usable := w.usable(e)
	var stalled []admission.Request
	for e.table.Free(usable) {
		next, ok := e.queue.Next()
		if !ok {
			break
		}
		r := e.waiting[next.ID]
		if w.policy.codel && e.delay.sheds(now.Sub(next.Arrived), w.now) {
			e.queue.Finish(next.ID, 0)
			delete(e.waiting, r.id)
			w.refuse(e, r)
			continue
		}
		choice, ok := e.table.Pick(now, w.random, usable, r.tried)
		if !ok {
			e.queue.Finish(next.ID, 0)
			stalled = append(stalled, next)
			if len(r.tried) == 0 {
				break
			}
			continue
		}
		delete(e.waiting, r.id)
		w.dispatch(e, r, choice)
	}
	for _, request := range stalled {
		e.queue.Restore(request)
	}
}

// attempt is one dispatch.
type attempt struct {
	entry   *entry
	request *request
	choice  routing.Choice
	server  *server
	started time.Duration
}

func (w *world) dispatch(e *entry, r *request, choice routing.Choice) {
	a := &attempt{entry: e, request: r, choice: choice, server: e.zone.servers[choice.ID], started: w.now}
	e.table.Started(choice.ID)
	r.running = true
	w.after(withinZone, func() { w.execute(a) })
}

// execute is the request at the backend server.
func (w *world) execute(a *attempt) {
	if a.server.inFlight >= serverSlots {
		w.overruns++
		w.after(withinZone, func() { w.failed(a, true) })
		return
	}
	a.server.inFlight++
	took, ok := w.serviceAt(a)
	w.after(took, func() {
		a.server.inFlight--
		w.after(withinZone, func() {
			if ok {
				w.succeeded(a)
				return
			}
			w.failed(a, false)
		})
	})
}

// serviceAt is how long the server takes, and whether it answers.
func (w *world) serviceAt(a *attempt) (time.Duration, bool) {
	factor := a.server.slow
	if w.now-a.server.joined < coldTime {
		factor = coldFactor
	}
	if state, ok := w.keys[a.request.key]; ok && w.policy.noCoalescing && state.runs > 0 {
		return w.waitOnSlot(state, a.request), true
	}
	w.countRun(a.request)
	return time.Duration(math.Round(float64(a.request.service) * factor)), !a.server.failing && !w.sharedFault() && !w.failsAlways(a.request)
}

// sharedFault draws whether a run fails by what all servers depend on.
func (w *world) sharedFault() bool {
	share := w.pattern.fault.failShare
	return share > 0 && w.now >= failAt && w.now < failAt+failTime && w.random.Float64() < share
}

// failsAlways says that the request is of the account whose requests fail.
func (w *world) failsAlways(r *request) bool {
	accounts := w.deployment.accounts
	return w.pattern.fault.failAccount && r.account == accounts[len(accounts)-2].name
}

// waitOnSlot is how long an arrival of a key under way holds its slot.
func (w *world) waitOnSlot(state *keyed, r *request) time.Duration {
	if state.done {
		return claimTime
	}
	return min(r.service, max(0, r.deadline-w.now))
}

func (w *world) countRun(r *request) {
	r.ran = true
	state, ok := w.keys[r.key]
	if !ok {
		return
	}
	state.runs++
	if state.runs > 1 {
		w.ranTwice++
	}
}

func (w *world) succeeded(a *attempt) {
	took := w.now - a.started
	w.finish(a, routing.Result{Took: took}, took)
	a.entry.budget.Answered(a.request.account)
	r := a.request
	r.running = false
	w.answer(r, outcomeDone)
	if state, ok := w.keys[r.key]; ok {
		state.done = true
		for _, other := range state.waiting {
			w.answer(other, outcomeDone)
		}
		state.waiting = nil
	}
	w.serve(a.entry)
}

func (w *world) finish(a *attempt, result routing.Result, service time.Duration) {
	e := a.entry
	result.Expected = e.queue.Expected(w.admitted(a.request))
	result.Incarnation = a.choice.Incarnation
	e.table.Finished(a.choice.ID, result)
	e.queue.Finish(a.request.id, service)
}

// failed ends an attempt without a whole answer.
func (w *world) failed(a *attempt, notRun bool) {
	r, e := a.request, a.entry
	r.running = false
	if !notRun {
		r.ran = true
	}
	w.finish(a, routing.Result{Failed: true, Took: w.now - a.started}, 0)
	if r.outcome.kind != "" {
		w.serve(e)
		return
	}
	r.tried = append(slices.Clone(r.tried), a.choice.ID)
	decision := e.budget.Decide(retry.Attempt{
		Account: r.account, Idempotent: r.kind.idempotent, NotRun: notRun, Retries: r.retries, MaxRetries: w.maxRetries(),
		Deadline: origin.Add(r.deadline), Expected: e.queue.Expected(w.admitted(r)), Others: e.table.Takers(r.tried),
	}, w.time())
	switch {
	case decision.Again:
		r.retries++
		e.waiting[r.id] = r
		e.queue.Restore(w.admitted(r))
	case notRun && !r.ran:
		w.refuse(e, r)
	default:
		w.answer(r, outcomeUnknown)
	}
	w.serve(e)
}

func (w *world) maxRetries() int {
	if w.policy.noRetry {
		return 0
	}
	return 2
}

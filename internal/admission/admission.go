// Package admission decides what an entry instance lets in, what waits and for
// how long, whose turn it is, and what is turned away. It is pure: the time is
// passed in, and the caller serializes the calls.
//
// Load pattern: one client account, or one sort of work, sends more than the
// backend servers can carry, while others stay inside their share.
//
// Without it a single first-come queue grows until every request in it is past
// its deadline when its turn comes: the servers stay busy and nobody gets an
// answer in time. The account with the most load also gets the most service.
//
// Thresholds: see the constants below; docs/design/011-requests-under-load.md
// has the measurement behind each.
package admission

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

const (
	// DefaultMaxQueued bounds an account's waiting requests in one instance, for
	// its memory only: what cannot be served in time is refused by deadline. A
	// bound of 200 refused half of a burst whose deadlines could all be met.
	DefaultMaxQueued = 2000
	// MinRetryAfter keeps refused callers from coming back in a tight loop.
	MinRetryAfter = 200 * time.Millisecond
	// minLeft is the least part of its share that an account is taken to have
	// for requests that others go ahead of.
	// At 0.05 one in twenty requests at a load of 1 was refused for nothing; at 1
	// four times as many ended unknown at a load of 1.5.
	minLeft = 0.3
	// MaxRetryAfter bounds the computed time to come back: a backlog estimate
	// says nothing about a time further away.
	MaxRetryAfter = 60 * time.Second
)

// Request is what admission has to know of a caller's request.
type Request struct {
	ID      string
	Account string
	Kind    string
	// Priority orders requests within the account; higher goes first.
	Priority int
	Arrived  time.Time
	// Deadline is when the answer is due. It must be set.
	Deadline time.Time
	// MaxWait bounds the wait for a turn; zero means no bound but the deadline.
	MaxWait time.Duration
	// MaxQueued bounds the account's waiting requests; zero means no bound by
	// the rule that let the request in.
	MaxQueued int
	// Rule is the name of that rule.
	Rule string
}

// Limits are the limits of one client account in this instance.
type Limits struct {
	// Weight is the account's share when accounts compete; zero means 1.
	Weight int
	// MaxInFlight bounds its dispatched requests; zero means no bound.
	MaxInFlight int
	// MaxQueued bounds its waiting requests; zero means DefaultMaxQueued.
	MaxQueued int
}

// Refusal is the final answer to a request that admission gives up on. It
// goes to the caller at once.
type Refusal struct {
	Request Request
	Kind    api.Kind
	Reason  string
	// RetryAfter is when the backlog is expected to leave room.
	RetryAfter time.Duration
}

// Policy switches single decisions off, for measuring what each is worth. The
// zero value has all of them on.
type Policy struct {
	// NoFairness puts the requests of all accounts into one order.
	NoFairness bool
	// NoDeadlineOrder serves an account's requests in the order of arrival.
	NoDeadlineOrder bool
	// NoShedding keeps requests that cannot be answered in time.
	NoShedding bool
}

// Queue holds the waiting requests of one entry instance. Its methods must not
// be called concurrently.
type Queue struct {
	policy   Policy
	accounts map[string]*account
	entries  map[string]*entry
	running  map[string]turn
	expiry   entryHeap
	times    *ServiceTimes
	// virtual is the virtual time of the last turn: service received, in
	// seconds, over weight.
	virtual  float64
	capacity int
	sequence uint64
}

// turn is what a request was charged when its turn came.
type turn struct {
	account *account
	kind    string
	charged float64
}

// account is the state of one client account.
type account struct {
	name   string
	limits Limits
	// received is the account's virtual time.
	received float64
	inFlight int
	waiting  entryHeap
	// backlog is the expected service of its waiting requests, in seconds.
	backlog float64
	inflow  inflow
}

// entry is one waiting request.
type entry struct {
	request  Request
	account  *account
	cost     float64
	giveUpAt time.Time
	sequence uint64
	// position is the index in the account's heap and in the expiry heap.
	position [2]int
}

// NewQueue returns an empty queue that charges requests by times.
func NewQueue(policy Policy, times *ServiceTimes) *Queue {
	queue := &Queue{
		policy: policy, accounts: make(map[string]*account), entries: make(map[string]*entry),
		running: make(map[string]turn), times: times, capacity: 1,
	}
	queue.expiry = entryHeap{slot: slotExpiry, less: func(a, b *entry) bool { return a.giveUpAt.Before(b.giveUpAt) }}
	return queue
}

// SetLimits sets the limits of an account. It takes effect at once.
func (q *Queue) SetLimits(name string, limits Limits) {
	q.account(name).limits = limits
}

// SetCapacity tells how many requests this instance may run at the same time.
func (q *Queue) SetCapacity(slots int) { q.capacity = max(slots, 1) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// InFlight returns the number of requests whose turn came and that have not
// finished.
func (q *Queue) InFlight() int { return len(q.running) }

// Load is the load level: requests in flight and waiting over capacity.
func (q *Queue) Load() float64 {
	return float64(len(q.running)+len(q.entries)) / float64(q.capacity)
}

// Expected returns the mean run time of requests like this one.
func (q *Queue) Expected(request Request) time.Duration {
	return q.times.Mean(request.Account, request.Kind)
}

// Check says whether Offer would refuse the request now, without queueing it.
func (q *Queue) Check(request Request, now time.Time) *Refusal {
	acct := q.account(request.Account)
	if refusal := q.full(acct, request); refusal != nil {
		return refusal
	}
	if q.policy.NoShedding {
		return nil
	}
	latest := q.latestStart(request)
	allowed := latest.Sub(now)
	if request.MaxWait > 0 {
		allowed = min(allowed, request.MaxWait)
	}
	wait := q.expectedWait(acct, request, allowed, now)
	if wait <= allowed {
		return nil
	}
	if now.Add(wait).After(latest) {
		return q.refuse(acct, request, api.KindDeadlineUnreachable,
			fmt.Sprintf("a wait of %v or more and a run time up to %v exceed the %v to the deadline", wait.Round(time.Millisecond),
				request.Deadline.Sub(latest).Round(time.Millisecond), request.Deadline.Sub(now).Round(time.Millisecond)))
	}
	return q.refuse(acct, request, api.KindQueueTimeout,
		fmt.Sprintf("a wait of %v or more exceeds the rule's %v", wait.Round(time.Millisecond), request.MaxWait))
}

// full applies the queue limits.
func (q *Queue) full(acct *account, request Request) *Refusal {
	limit := acct.limits.MaxQueued
	if limit == 0 {
		limit = DefaultMaxQueued
	}
	if request.MaxQueued > 0 {
		limit = min(limit, request.MaxQueued)
	}
	if acct.waiting.Len() < limit {
		return nil
	}
	return q.refuse(acct, request, api.KindQueueFull, fmt.Sprintf("%d requests of the account wait already", limit))
}

// Offer queues the request, or refuses it at once. IDs must be unique among
// the waiting requests.
func (q *Queue) Offer(request Request, now time.Time) *Refusal {
	if refusal := q.Check(request, now); refusal != nil {
		return refusal
	}
	q.account(request.Account).inflow.add(request, q.times.Mean(request.Account, request.Kind), now)
	q.push(request)
	return nil
}

// Restore queues a request that had been let in before and is to be tried again.
// Queue limits do not apply again.
func (q *Queue) Restore(request Request) { q.push(request) }

func (q *Queue) push(request Request) {
	acct := q.account(request.Account)
	if acct.waiting.Len() == 0 {
		acct.received = max(acct.received, q.virtual)
	}
	q.sequence++
	item := &entry{
		request: request, account: acct, sequence: q.sequence,
		cost:     q.times.Mean(request.Account, request.Kind).Seconds(),
		giveUpAt: q.giveUpAt(request),
	}
	heap.Push(&acct.waiting, item)
	heap.Push(&q.expiry, item)
	q.entries[request.ID] = item
	acct.backlog += item.cost
}

// giveUpAt is the moment from which the request is not worth its turn.
func (q *Queue) giveUpAt(request Request) time.Time {
	at := request.Deadline
	if !q.policy.NoShedding {
		at = q.latestStart(request)
	}
	if request.MaxWait > 0 {
		if limit := request.Arrived.Add(request.MaxWait); limit.Before(at) {
			return limit
		}
	}
	return at
}

// latestStart is when the request must have its turn to be answered in time, by
// a high quantile of its kind's run time. The reserve takes at most two thirds of the
// time that the request came with, unless the mean itself is longer: a kind with
// a few very long runs is not refused by an idle system.
func (q *Queue) latestStart(request Request) time.Time {
	reserve := min(q.times.High(request.Account, request.Kind), request.Deadline.Sub(request.Arrived)*2/3)
	return request.Deadline.Add(-max(reserve, q.times.Mean(request.Account, request.Kind)))
}

// Next removes and returns the request whose turn it is. The caller has a free
// slot for it, and calls Finish when the slot is free again.
func (q *Queue) Next() (Request, bool) {
	best := q.nextAccount()
	if best == nil {
		return Request{}, false
	}
	item := best.waiting.items[0]
	q.remove(item)
	q.virtual = max(q.virtual, best.received)
	charged := q.times.Mean(best.name, item.request.Kind).Seconds()
	best.received += charged / best.weight()
	best.inFlight++
	q.running[item.request.ID] = turn{account: best, kind: item.request.Kind, charged: charged}
	return item.request, true
}

// nextAccount returns the account with the least service received for its
// weight, of those that have a request to run.
func (q *Queue) nextAccount() *account {
	var best *account
	for _, acct := range q.accounts {
		if acct.waiting.Len() == 0 || acct.atLimit() {
			continue
		}
		if best == nil || q.before(acct, best) {
			best = acct
		}
	}
	return best
}

// before orders two accounts that both have a request waiting.
func (q *Queue) before(a, b *account) bool {
	if q.policy.NoFairness {
		return a.waiting.less(a.waiting.items[0], b.waiting.items[0])
	}
	if a.received != b.received {
		return a.received < b.received
	}
	return a.name < b.name
}

// Finish ends the turn of a request. The true service time corrects what the
// turn was charged; zero means that the request did not run.
func (q *Queue) Finish(id string, service time.Duration) {
	ended, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	acct := ended.account
	acct.inFlight--
	acct.received += (service.Seconds() - ended.charged) / acct.weight()
	if service > 0 {
		q.times.Observe(acct.name, ended.kind, service)
	}
}

// Expire removes and returns every request that is not worth its turn any
// more, in the order of that moment.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for q.expiry.Len() > 0 {
		item := q.expiry.items[0]
		if item.giveUpAt.After(now) {
			break
		}
		q.remove(item)
		refusals = append(refusals, *q.expired(item, now))
	}
	return refusals
}

func (q *Queue) expired(item *entry, now time.Time) *Refusal {
	waited := now.Sub(item.request.Arrived).Round(time.Millisecond)
	if item.request.MaxWait > 0 && !now.Before(item.request.Arrived.Add(item.request.MaxWait)) {
		return q.refuse(item.account, item.request, api.KindQueueTimeout, fmt.Sprintf("waited %v, as long as the rule allows", waited))
	}
	return q.refuse(item.account, item.request, api.KindDeadlineUnreachable,
		fmt.Sprintf("after %v of waiting the time left is shorter than the expected run time", waited))
}

// NextExpiry returns when Expire has something to return, if ever.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.items[0].giveUpAt, true
}

// Cancel removes a waiting request whose caller went away. It reports whether
// the request was waiting.
func (q *Queue) Cancel(id string) bool {
	item, ok := q.entries[id]
	if ok {
		q.remove(item)
	}
	return ok
}

func (q *Queue) remove(item *entry) {
	heap.Remove(&item.account.waiting, item.position[slotAccount])
	heap.Remove(&q.expiry, item.position[slotExpiry])
	delete(q.entries, item.request.ID)
	item.account.backlog = max(0, item.account.backlog-item.cost)
}

// expectedWait estimates the wait of a request that joins now: the expected
// service ahead of it in its account, over what the account's share of the slots
// leaves besides the requests that come later and go ahead. It looks no further
// once the answer is clear: the result is then a bound on the same side of
// allowed.
func (q *Queue) expectedWait(acct *account, request Request, allowed time.Duration, now time.Time) time.Duration {
	if len(q.running) < q.capacity && len(q.entries) == 0 && !acct.atLimit() {
		return 0
	}
	left := q.slotsLeft(acct, request, now)
	if most := seconds(acct.backlog / left); most <= allowed {
		return most
	}
	enough := allowed.Seconds() * left
	probe := &entry{request: request, account: acct, sequence: q.sequence + 1}
	ahead := 0.0
	for _, item := range acct.waiting.items {
		if acct.waiting.less(item, probe) {
			ahead += item.cost
		}
		if ahead > enough {
			break
		}
	}
	return seconds(ahead / left)
}

// slotsLeft is what the account's share of the slots leaves besides the requests
// that come later and go ahead.
func (q *Queue) slotsLeft(acct *account, request Request, now time.Time) float64 {
	share := q.slotShare(acct)
	return max(share-acct.inflow.ahead(request, now), minLeft*share)
}

// slotShare is how many slots the account gets while the present accounts
// compete.
func (q *Queue) slotShare(acct *account) float64 {
	total := acct.weight()
	for _, other := range q.accounts {
		if other != acct && other.waiting.Len() > 0 {
			total += other.weight()
		}
	}
	share := float64(q.capacity) * acct.weight() / total
	if acct.limits.MaxInFlight > 0 {
		share = min(share, float64(acct.limits.MaxInFlight))
	}
	return share
}

// refuse computes the time to come back: when the account's backlog has run.
func (q *Queue) refuse(acct *account, request Request, kind api.Kind, reason string) *Refusal {
	after := seconds(acct.backlog / q.slotShare(acct))
	return &Refusal{
		Request: request, Kind: kind, Reason: reason,
		RetryAfter: min(max(after, MinRetryAfter), MaxRetryAfter),
	}
}

func (q *Queue) account(name string) *account {
	acct, ok := q.accounts[name]
	if !ok {
		acct = &account{name: name, waiting: entryHeap{slot: slotAccount, less: q.order()}}
		q.accounts[name] = acct
	}
	return acct
}

// order is the order within an account: priority, then the earliest deadline,
// then arrival.
func (q *Queue) order() func(a, b *entry) bool {
	return func(a, b *entry) bool {
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		if !q.policy.NoDeadlineOrder && !a.request.Deadline.Equal(b.request.Deadline) {
			return a.request.Deadline.Before(b.request.Deadline)
		}
		return a.sequence < b.sequence
	}
}

func (a *account) weight() float64 { return float64(max(a.limits.Weight, 1)) }

func (a *account) atLimit() bool {
	return a.limits.MaxInFlight > 0 && a.inFlight >= a.limits.MaxInFlight
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

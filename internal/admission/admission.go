// Package admission decides which requests an entry instance accepts, how long
// they may wait, in which order they are dispatched and which are refused. It
// does no I/O: the time is passed in, and the caller must serialize the calls.
//
// Load pattern: one client account, or one kind of work, sends more requests than
// the backend servers can process, while others stay within their share.
//
// Without admission, a single first-come queue grows until every request in it
// has passed its deadline by the time of its turn: the servers stay busy and no
// caller gets an answer in time. The account with the most load also gets the
// most service.
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
	// DefaultMaxQueued bounds an account's waiting requests in one instance. It
	// only limits memory, as requests that cannot be served in time are refused
	// by deadline. A limit of 200 refused half of a burst whose deadlines could
	// all be met.
	DefaultMaxQueued = 2000
	// MinRetryAfter keeps refused callers from retrying in a tight loop.
	MinRetryAfter = 200 * time.Millisecond
	// minRemainingShare is the smallest part of its share that an account is
	// assumed to have left for requests that others overtake. At 0.05, one in
	// twenty requests at a load of 1 was refused unnecessarily; at 1, four times
	// as many requests ended as unknown at a load of 1.5.
	minRemainingShare = 0.3
	// MaxRetryAfter bounds the computed time before a retry: an estimate from
	// the backlog is meaningless for a longer time.
	MaxRetryAfter = 60 * time.Second
)

// Request holds the properties of a caller's request that admission needs.
type Request struct {
	ID      string
	Account string
	Kind    string
	// Priority orders requests within the account; higher goes first.
	Priority int
	Arrived  time.Time
	// Deadline is the time by which the caller must have its answer. It must be
	// set.
	Deadline time.Time
	// MaxWait bounds the time in the queue; zero means that only the deadline
	// does.
	MaxWait time.Duration
	// MaxQueued bounds the account's waiting requests; zero means that the rule
	// that accepted the request sets no limit.
	MaxQueued int
	// Rule is the name of the rule that accepted the request.
	Rule string
}

// Limits are the limits of one client account in this instance.
type Limits struct {
	// Weight is the account's relative share when accounts compete; zero means 1.
	Weight int
	// MaxInFlight bounds its dispatched requests; zero means no limit.
	MaxInFlight int
	// MaxQueued bounds its waiting requests; zero means DefaultMaxQueued.
	MaxQueued int
}

// Refusal reports that admission does not dispatch a request. It is returned at
// once, and is the final answer unless another availability zone runs the request.
type Refusal struct {
	Request Request
	Kind    api.Kind
	Reason  string
	// RetryAfter is the time until the backlog is expected to be processed.
	RetryAfter time.Duration
}

// Policy disables individual decisions, to measure the value of each. The zero
// value enables all of them.
type Policy struct {
	// NoFairness serves the requests of all accounts in one common order.
	NoFairness bool
	// NoDeadlineOrder serves an account's requests in the order of arrival.
	NoDeadlineOrder bool
	// NoShedding keeps requests that cannot be answered in time.
	NoShedding bool
}

// Queue holds the waiting requests of one entry instance and shares the service
// between the accounts by weight. Its methods must not be called concurrently.
type Queue struct {
	policy       Policy
	accounts     map[string]*account
	entries      map[string]*entry
	running      map[string]runningRequest
	expiry       entryHeap
	serviceTimes *ServiceTimes
	// virtualTime is the largest virtual time at which an account was served.
	// An account that starts to wait begins at least there, so that it gets no
	// credit for the time in which it sent nothing.
	virtualTime float64
	capacity    int
	sequence    uint64
}

// runningRequest records the service time, in seconds, that the account was
// charged when the request was dispatched.
type runningRequest struct {
	account *account
	kind    string
	charged float64
}

// account is the state of one client account.
type account struct {
	name   string
	limits Limits
	// virtualTime is the service received, in seconds, divided by weight.
	virtualTime float64
	inFlight    int
	waiting     entryHeap
	// backlog is the expected service time of its waiting requests, in seconds.
	backlog float64
	inflow  inflow
}

// entry is one waiting request.
type entry struct {
	request   Request
	account   *account
	cost      float64
	expiresAt time.Time
	sequence  uint64
	// positions are the indices in the account's heap and in the expiry heap.
	positions [2]int
}

// NewQueue returns an empty queue that takes its run time estimates from times.
func NewQueue(policy Policy, times *ServiceTimes) *Queue {
	queue := &Queue{
		policy: policy, accounts: make(map[string]*account), entries: make(map[string]*entry),
		running: make(map[string]runningRequest), serviceTimes: times, capacity: 1,
	}
	queue.expiry = entryHeap{id: expiryHeap, less: func(a, b *entry) bool { return a.expiresAt.Before(b.expiresAt) }}
	return queue
}

// SetLimits sets the limits of an account, effective immediately.
func (q *Queue) SetLimits(name string, limits Limits) {
	q.account(name).limits = limits
}

// SetCapacity sets how many requests this instance may run at the same time, at
// least one.
func (q *Queue) SetCapacity(slots int) { q.capacity = max(slots, 1) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// InFlight returns the number of requests that Next returned and that have not
// finished.
func (q *Queue) InFlight() int { return len(q.running) }

// Load returns the load level: requests in flight and waiting divided by
// capacity.
func (q *Queue) Load() float64 {
	return float64(len(q.running)+len(q.entries)) / float64(q.capacity)
}

// Expected returns the mean run time of requests of the same account and kind.
func (q *Queue) Expected(request Request) time.Duration {
	return q.serviceTimes.Mean(request.Account, request.Kind)
}

// Check returns the refusal with which Offer would answer now, or nil. It does
// not queue the request.
func (q *Queue) Check(request Request, now time.Time) *Refusal {
	acct := q.account(request.Account)
	if refusal := q.checkQueueLimit(acct, request); refusal != nil {
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

// checkQueueLimit returns a refusal if the account's queue is full.
func (q *Queue) checkQueueLimit(acct *account, request Request) *Refusal {
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

// Offer queues the request, or refuses it at once. The id must be unique among
// the waiting requests.
func (q *Queue) Offer(request Request, now time.Time) *Refusal {
	if refusal := q.Check(request, now); refusal != nil {
		return refusal
	}
	q.account(request.Account).inflow.add(request, q.serviceTimes.Mean(request.Account, request.Kind), now)
	q.push(request)
	return nil
}

// Restore queues a request that was accepted before and is to be dispatched
// again. Queue limits do not apply.
func (q *Queue) Restore(request Request) { q.push(request) }

func (q *Queue) push(request Request) {
	acct := q.account(request.Account)
	if acct.waiting.Len() == 0 {
		acct.virtualTime = max(acct.virtualTime, q.virtualTime)
	}
	q.sequence++
	item := &entry{
		request: request, account: acct, sequence: q.sequence,
		cost:      q.serviceTimes.Mean(request.Account, request.Kind).Seconds(),
		expiresAt: q.expiryOf(request),
	}
	heap.Push(&acct.waiting, item)
	heap.Push(&q.expiry, item)
	q.entries[request.ID] = item
	acct.backlog += item.cost
}

// expiryOf returns the time from which a dispatch of the request is too late.
func (q *Queue) expiryOf(request Request) time.Time {
	expiresAt := request.Deadline
	if !q.policy.NoShedding {
		expiresAt = q.latestStart(request)
	}
	if request.MaxWait > 0 {
		if limit := request.Arrived.Add(request.MaxWait); limit.Before(expiresAt) {
			return limit
		}
	}
	return expiresAt
}

// latestStart returns the time by which the request must be dispatched to be
// answered in time, based on a high quantile of its kind's run time. This reserve
// is at most two thirds of the time between arrival and deadline, unless the mean
// run time is longer, so that an idle system does not refuse a kind that has a
// few very long runs.
func (q *Queue) latestStart(request Request) time.Time {
	reserve := min(q.serviceTimes.HighQuantile(request.Account, request.Kind), request.Deadline.Sub(request.Arrived)*2/3)
	return request.Deadline.Add(-max(reserve, q.serviceTimes.Mean(request.Account, request.Kind)))
}

// Next removes and returns the next request to dispatch. The caller must have a
// free slot for it, and must call Finish when the slot is free again.
func (q *Queue) Next() (Request, bool) {
	best := q.nextAccount()
	if best == nil {
		return Request{}, false
	}
	item := best.waiting.items[0]
	q.remove(item)
	q.virtualTime = max(q.virtualTime, best.virtualTime)
	charged := q.serviceTimes.Mean(best.name, item.request.Kind).Seconds()
	best.virtualTime += charged / best.weight()
	best.inFlight++
	q.running[item.request.ID] = runningRequest{account: best, kind: item.request.Kind, charged: charged}
	return item.request, true
}

// nextAccount returns the account with the least virtual time among those that
// may dispatch a waiting request, or nil.
func (q *Queue) nextAccount() *account {
	var best *account
	for _, acct := range q.accounts {
		if acct.waiting.Len() == 0 || acct.atLimit() {
			continue
		}
		if best == nil || q.servedBefore(acct, best) {
			best = acct
		}
	}
	return best
}

// servedBefore reports whether a is served before b. Both must have a waiting
// request.
func (q *Queue) servedBefore(a, b *account) bool {
	if q.policy.NoFairness {
		return a.waiting.less(a.waiting.items[0], b.waiting.items[0])
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// Finish records that a request no longer uses its slot. The account is charged
// the actual service time in place of the expected one. Zero charges nothing and
// leaves the run time estimates unchanged.
func (q *Queue) Finish(id string, service time.Duration) {
	finished, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	acct := finished.account
	acct.inFlight--
	acct.virtualTime += (service.Seconds() - finished.charged) / acct.weight()
	if service > 0 {
		q.serviceTimes.Observe(acct.name, finished.kind, service)
	}
}

// Expire removes the requests that can no longer be answered in time or have
// waited too long, and returns their refusals in order of expiry.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for q.expiry.Len() > 0 {
		item := q.expiry.items[0]
		if item.expiresAt.After(now) {
			break
		}
		q.remove(item)
		refusals = append(refusals, *q.expiryRefusal(item, now))
	}
	return refusals
}

func (q *Queue) expiryRefusal(item *entry, now time.Time) *Refusal {
	waited := now.Sub(item.request.Arrived).Round(time.Millisecond)
	if item.request.MaxWait > 0 && !now.Before(item.request.Arrived.Add(item.request.MaxWait)) {
		return q.refuse(item.account, item.request, api.KindQueueTimeout, fmt.Sprintf("waited %v, as long as the rule allows", waited))
	}
	return q.refuse(item.account, item.request, api.KindDeadlineUnreachable,
		fmt.Sprintf("after %v of waiting the time left is shorter than the expected run time", waited))
}

// NextExpiry returns the time at which the next request expires, and false if
// none is waiting.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.items[0].expiresAt, true
}

// Cancel removes a waiting request whose caller no longer waits for it. It
// reports whether the request was waiting.
func (q *Queue) Cancel(id string) bool {
	item, ok := q.entries[id]
	if ok {
		q.remove(item)
	}
	return ok
}

func (q *Queue) remove(item *entry) {
	heap.Remove(&item.account.waiting, item.positions[accountHeap])
	heap.Remove(&q.expiry, item.positions[expiryHeap])
	delete(q.entries, item.request.ID)
	item.account.backlog = max(0, item.account.backlog-item.cost)
}

// expectedWait estimates the wait of a request that joins the queue now: the
// expected service ahead of it in its account, divided by remainingSlots. It
// stops counting once the result is known to be above or below allowed, and then
// returns a bound on the same side of allowed.
func (q *Queue) expectedWait(acct *account, request Request, allowed time.Duration, now time.Time) time.Duration {
	if len(q.running) < q.capacity && len(q.entries) == 0 && !acct.atLimit() {
		return 0
	}
	slots := q.remainingSlots(acct, request, now)
	if upperBound := secondsToDuration(acct.backlog / slots); upperBound <= allowed {
		return upperBound
	}
	maxAhead := allowed.Seconds() * slots
	candidate := &entry{request: request, account: acct, sequence: q.sequence + 1}
	ahead := 0.0
	for _, item := range acct.waiting.items {
		if acct.waiting.less(item, candidate) {
			ahead += item.cost
		}
		if ahead > maxAhead {
			break
		}
	}
	return secondsToDuration(ahead / slots)
}

// remainingSlots returns the account's share of the slots, less the slots used by
// requests that arrive later and overtake this one.
func (q *Queue) remainingSlots(acct *account, request Request, now time.Time) float64 {
	share := q.slotShare(acct)
	return max(share-acct.inflow.rateAhead(request, now), minRemainingShare*share)
}

// slotShare returns the number of slots that the account gets in competition with
// the accounts that have waiting requests.
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

// refuse returns a refusal whose RetryAfter is the expected time until the
// account's backlog has been processed.
func (q *Queue) refuse(acct *account, request Request, kind api.Kind, reason string) *Refusal {
	retryAfter := secondsToDuration(acct.backlog / q.slotShare(acct))
	return &Refusal{
		Request: request, Kind: kind, Reason: reason,
		RetryAfter: min(max(retryAfter, MinRetryAfter), MaxRetryAfter),
	}
}

func (q *Queue) account(name string) *account {
	acct, ok := q.accounts[name]
	if !ok {
		acct = &account{name: name, waiting: entryHeap{id: accountHeap, less: q.entryOrder()}}
		q.accounts[name] = acct
	}
	return acct
}

// entryOrder returns the order within an account: by priority, then earliest
// deadline, then arrival.
func (q *Queue) entryOrder() func(a, b *entry) bool {
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

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

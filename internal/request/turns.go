package request

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// acquireSlot waits for the assignment of a slot. If ctx ends first, the request
// is cancelled, unless it has been assigned a slot already. A cancelled request
// was not dispatched.
func (d *Dispatcher) acquireSlot(ctx context.Context, req slotRequest) assignment {
	req.reply = make(chan assignment, 1)
	if !d.slotRequests.Offer(req) {
		return assignment{refusal: overloadRefusal(req.request)}
	}
	select {
	case result := <-req.reply:
		return result
	case <-d.done:
		return assignment{refusal: shutdownRefusal(req.request)}
	case <-ctx.Done():
		d.postEvent(cancelEvent{req.request.ID})
		return d.awaitAssignment(req.request, req.reply)
	}
}

// awaitAssignment waits for the reply of the event loop.
func (d *Dispatcher) awaitAssignment(request admission.Request, reply chan assignment) assignment {
	select {
	case result := <-reply:
		return result
	case <-d.done:
		return assignment{refusal: shutdownRefusal(request)}
	}
}

func overloadRefusal(request admission.Request) *admission.Refusal {
	return &admission.Refusal{
		Request: request, Kind: api.KindQueueFull, Reason: "too many requests are on their way to admission",
		RetryAfter: time.Second,
	}
}

// postEvent sends an event to the event loop. It drops the event if the loop has
// ended.
func (d *Dispatcher) postEvent(e event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// cancelEvent cancels a slotRequest whose caller no longer waits. It has no
// effect if the reply has already been sent.
type cancelEvent struct{ id string }

func (e cancelEvent) apply(d *Dispatcher, _ time.Time) {
	req, ok := d.waiting[e.id]
	if !ok || !d.queue.Cancel(e.id) {
		return
	}
	d.reply(e.id, assignment{refusal: &admission.Refusal{
		Request: req.request, Kind: api.KindQueueTimeout, Reason: "the caller's time ended while the request waited",
		RetryAfter: time.Second,
	}})
}

// finishedEvent records the end of an attempt and releases its slot.
type finishedEvent struct {
	id     string
	choice routing.Choice
	result routing.Result
	// chargeable reports whether result.Took is charged to the account as service
	// time. It is not if the request cannot have run, or if the backend server
	// reported a failure.
	chargeable bool
	// account is the request's client account.
	account string
}

func (e finishedEvent) apply(d *Dispatcher, _ time.Time) {
	if !e.result.Failed {
		d.budget.RecordAnswer(e.account)
	}
	d.table.RecordResult(e.choice.ID, e.result)
	service := time.Duration(0)
	if e.chargeable {
		service = e.result.Took
	}
	d.queue.Finish(e.id, service)
}

// retryQuery requests the decision whether an attempt that failed or returned no
// whole answer is retried.
type retryQuery struct {
	attempt retry.Attempt
	request admission.Request
	tried   []string
	reply   chan retry.Decision
}

func (q retryQuery) apply(d *Dispatcher, now time.Time) {
	q.attempt.Others = d.table.AcceptingServers(q.tried)
	q.attempt.Expected = d.queue.Expected(q.request)
	q.reply <- d.budget.Decide(q.attempt, now)
}

func (d *Dispatcher) retryDecision(query retryQuery) retry.Decision {
	query.reply = make(chan retry.Decision, 1)
	d.postEvent(query)
	select {
	case answer := <-query.reply:
		return answer
	case <-d.done:
		return retry.Decision{Reason: "this instance is shutting down"}
	}
}

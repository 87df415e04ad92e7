package request

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// acquire waits for a turn. When ctx ends first, the request is withdrawn; it
// was then not dispatched.
func (d *Dispatcher) acquire(ctx context.Context, asked submission) turn {
	asked.reply = make(chan turn, 1)
	if !d.submissions.Offer(asked) {
		return turn{refusal: overfull(asked.request)}
	}
	select {
	case result := <-asked.reply:
		return result
	case <-d.done:
		return turn{refusal: stopping(asked.request)}
	case <-ctx.Done():
		d.report(withdrawal{asked.request.ID})
		return d.await(asked.request, asked.reply)
	}
}

// await waits for the duty's reply.
func (d *Dispatcher) await(request admission.Request, reply chan turn) turn {
	select {
	case result := <-reply:
		return result
	case <-d.done:
		return turn{refusal: stopping(request)}
	}
}

func overfull(request admission.Request) *admission.Refusal {
	return &admission.Refusal{
		Request: request, Kind: api.KindQueueFull, Reason: "too many requests are on their way to admission",
		RetryAfter: time.Second,
	}
}

// report hands an event to the duty, which may have ended.
func (d *Dispatcher) report(e event) {
	select {
	case d.reports <- e:
	case <-d.done:
	}
}

// withdrawal takes back a submission whose caller waits no longer. If its turn
// has come, the reply is on its way already.
type withdrawal struct{ id string }

func (w withdrawal) apply(d *Dispatcher, _ time.Time) {
	asked, ok := d.waiting[w.id]
	if !ok || !d.queue.Cancel(w.id) {
		return
	}
	d.answer(w.id, turn{refusal: &admission.Refusal{
		Request: asked.request, Kind: api.KindQueueTimeout, Reason: "the caller's time ended while the request waited",
		RetryAfter: time.Second,
	}})
}

// finished gives a turn back.
type finished struct {
	id     string
	choice routing.Choice
	result routing.Result
	// ran says that the time was spent on a backend server's run.
	ran bool
	// account is that of the request.
	account string
}

func (f finished) apply(d *Dispatcher, _ time.Time) {
	if !f.result.Failed {
		d.budget.Answered(f.account)
	}
	d.table.Finished(f.choice.ID, f.result)
	service := time.Duration(0)
	if f.ran {
		service = f.result.Took
	}
	d.queue.Finish(f.id, service)
}

// retryQuestion asks whether an attempt without a whole answer is followed by
// another one.
type retryQuestion struct {
	attempt retry.Attempt
	request admission.Request
	tried   []string
	reply   chan retry.Decision
}

func (q retryQuestion) apply(d *Dispatcher, now time.Time) {
	q.attempt.Others = d.table.Takers(q.tried)
	q.attempt.Expected = d.queue.Expected(q.request)
	q.reply <- d.budget.Decide(q.attempt, now)
}

func (d *Dispatcher) mayRetry(question retryQuestion) retry.Decision {
	question.reply = make(chan retry.Decision, 1)
	d.report(question)
	select {
	case answer := <-question.reply:
		return answer
	case <-d.done:
		return retry.Decision{Reason: "this instance is shutting down"}
	}
}

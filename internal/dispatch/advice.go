package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// advice holds the placement advisor's answers for one step. The set of allowed workers does
// not change; the tickets expire.
type advice struct {
	tickets map[string]ticket
	// refused holds the workers that may not run the step.
	refused  map[string]bool
	inFlight bool
	// retryAt is the earliest time at which a failed request may be repeated.
	retryAt time.Time
}

type ticket struct {
	ticket     string
	validUntil time.Time
}

const (
	// maxConcurrentAdviceRequests bounds the requests in flight: the advisor answers one at a time
	// and rejects requests beyond a queue of 32.
	maxConcurrentAdviceRequests = 4
	// candidateFactor is the number of workers in a request per waiting task: some are refused,
	// and some are full by the time the answer arrives.
	candidateFactor = 3
	// maxAdviceRequestWorkers is the maximum number of workers in one request.
	maxAdviceRequestWorkers = 100
	// minAdviceRequestWorkers is the minimum number of workers in one request.
	minAdviceRequestWorkers = 12
	// minTicketValidity is the remaining validity that a ticket needs for a start to be sent
	// with it.
	minTicketValidity = 400 * time.Millisecond
	// adviceRequestTimeout is added to the advisor's declared decision time, for requests that wait
	// in its queue.
	adviceRequestTimeout = 2 * time.Second
	// adviceRequestRetryPause is the pause after an unanswered request.
	adviceRequestRetryPause = 500 * time.Millisecond
)

// workersWithTicket returns the workers that the step holds a valid ticket for, and requests
// more tickets if they are too few. Queues without an advisor allow every worker.
func (c *Core) workersWithTicket(u *pendingStep, workers []*workerCapacity) []*workerCapacity {
	if u.queue.Advice == nil {
		return workers
	}
	a := &u.step.advice
	var held, unknown []*workerCapacity
	slots := int64(0)
	for _, r := range workers {
		if t, ok := a.tickets[r.ID]; ok && t.validUntil.After(c.now.Add(minTicketValidity)) {
			held = append(held, r)
			slots += c.slots(u, r, r.free)
		} else if !a.refused[r.ID] {
			unknown = append(unknown, r)
		}
	}
	if slots < int64(len(u.tasks)) {
		c.askAdvisor(u, unknown)
	}
	return held
}

// askAdvisor requests tickets for the workers with the most free capacity.
func (c *Core) askAdvisor(u *pendingStep, workers []*workerCapacity) {
	a := &u.step.advice
	if a.inFlight || c.advisorCalls >= maxConcurrentAdviceRequests || len(workers) == 0 || c.now.Before(a.retryAt) {
		return
	}
	slices.SortStableFunc(workers, func(x, y *workerCapacity) int {
		return cmp.Compare(c.slots(u, y, y.free), c.slots(u, x, x.free))
	})
	n := min(max(candidateFactor*len(u.tasks), minAdviceRequestWorkers), maxAdviceRequestWorkers, len(workers))
	request := workload.AdviceRequest{Step: u.tasks[0].id()}
	for _, r := range workers[:n] {
		request.Workers = append(request.Workers, r.ID)
	}
	decisionTime := u.queue.Advice.DecisionMS + u.queue.Advice.PerItemMS*int64(n)
	request.Timeout = adviceRequestTimeout + time.Duration(decisionTime)*time.Millisecond
	a.inFlight = true
	c.advisorCalls++
	c.actions = append(c.actions, Action{Kind: ActAskAdvisor, AdviceRequest: request})
}

// AdviceAnswered processes the advisor's answer.
func (c *Core) AdviceAnswered(request workload.AdviceRequest, answer workload.AdviceResponse, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.advisorCalls--
	t := c.task(request.Step)
	if t == nil {
		return
	}
	a := &t.step.advice
	a.inFlight = false
	if answer.Err != nil {
		a.retryAt = now.Add(adviceRequestRetryPause)
		return
	}
	if a.tickets == nil {
		a.tickets, a.refused = make(map[string]ticket), make(map[string]bool)
	}
	for _, w := range request.Workers {
		a.refused[w] = true
	}
	for _, allowed := range answer.Allowed {
		delete(a.refused, allowed.Worker)
		a.tickets[allowed.Worker] = ticket{allowed.Ticket, now.Add(answer.ValidFor)}
	}
}

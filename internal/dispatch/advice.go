package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// advice is what the placement advisor said of one step. Which workers it allows
// does not change; its tickets run out.
type advice struct {
	tickets map[string]ticket
	// refused are workers that may not run the step.
	refused map[string]bool
	asking  bool
	// again is when a question that failed may be asked again.
	again time.Time
}

type ticket struct {
	ticket string
	until  time.Time
}

const (
	// askAtOnce bounds the questions under way: the advisor answers one at a time
	// and turns away what waits behind 32.
	askAtOnce = 4
	// askSpare is how many times the workers that a step needs are asked about:
	// some are refused, and some are full by the time of the answer.
	askSpare = 3
	// askMost bounds the workers of one question.
	askMost = 100
	// askFewest is asked about at least.
	askFewest = 12
	// ticketReserve is left of a ticket when a start is sent with it.
	ticketReserve = 400 * time.Millisecond
	// askWithin is added to what the advisor says that it takes, for questions
	// that wait their turn.
	askWithin = 2 * time.Second
	// askAgain is the pause after a question without an answer.
	askAgain = 500 * time.Millisecond
)

// allowed filters the workers that the step holds a ticket for, and asks for
// more tickets if those are too few. Queues without an advisor allow all.
func (c *Core) allowed(u *pendingStep, rooms []*room) []*room {
	if u.queue.Advice == nil {
		return rooms
	}
	a := &u.step.advice
	var held, unknown []*room
	slots := int64(0)
	for _, r := range rooms {
		if t, ok := a.tickets[r.ID]; ok && t.until.After(c.now.Add(ticketReserve)) {
			held = append(held, r)
			slots += c.slots(u, r, r.free)
		} else if !a.refused[r.ID] {
			unknown = append(unknown, r)
		}
	}
	if slots < int64(len(u.tasks)) {
		c.ask(u, unknown)
	}
	return held
}

// ask asks about the workers with the most free room.
func (c *Core) ask(u *pendingStep, rooms []*room) {
	a := &u.step.advice
	if a.asking || c.asking >= askAtOnce || len(rooms) == 0 || c.now.Before(a.again) {
		return
	}
	slices.SortStableFunc(rooms, func(x, y *room) int {
		return cmp.Compare(c.slots(u, y, y.free), c.slots(u, x, x.free))
	})
	n := min(max(askSpare*len(u.tasks), askFewest), askMost, len(rooms))
	question := workload.Question{Step: u.tasks[0].id()}
	for _, r := range rooms[:n] {
		question.Workers = append(question.Workers, r.ID)
	}
	took := u.queue.Advice.DecisionMS + u.queue.Advice.PerItemMS*int64(n)
	question.Within = askWithin + time.Duration(took)*time.Millisecond
	a.asking = true
	c.asking++
	c.actions = append(c.actions, Action{Kind: ActAsk, Ask: question})
}

// Advised takes the advisor's answer.
func (c *Core) Advised(question workload.Question, counsel workload.Counsel, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.asking--
	t := c.task(question.Step)
	if t == nil {
		return
	}
	a := &t.step.advice
	a.asking = false
	if counsel.Err != nil {
		a.again = now.Add(askAgain)
		return
	}
	if a.tickets == nil {
		a.tickets, a.refused = make(map[string]ticket), make(map[string]bool)
	}
	for _, w := range question.Workers {
		a.refused[w] = true
	}
	for _, allowed := range counsel.Allowed {
		delete(a.refused, allowed.Worker)
		a.tickets[allowed.Worker] = ticket{allowed.Ticket, now.Add(counsel.ValidFor)}
	}
}

package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// attemptsPerEpoch separates the attempt numbers of two epochs: an attempt is
// the epoch times this, plus a counter. So attempts rise over all leaders of
// the lease without a write.
const attemptsPerEpoch = 1_000_000

type run struct {
	task    *task
	worker  *worker
	attempt int64
	// state is one of charts/run.json.
	state chart.State
	gang  *gang
	// confirmed runs are there, as their worker has said; unanswered says that the call
	// with their start has ended without an answer.
	confirmed, unanswered bool
	// recorded says that the store knows that this attempt may be under way.
	recorded bool
	need     workload.Resources
	since    time.Time
	// settledBy is the sequence after which a poll is sure to know of the
	// run's start (running) or of its stop (stopping, unclear).
	settledBy uint64
	// order is the start, until it is answered, and copies how often it was sent.
	order  *workload.Order
	copies int
	// stops is how often a stop was sent, the last time at stopSent.
	stops    int
	stopSent time.Time
	reason   string
	percent  int
	// percentAtStart is above zero for a run that was met under way: how long it
	// has run in all is not known.
	percentAtStart int
	checkpoint     string
}

// start orders a run of a task.
func (c *Core) start(t *task, w *worker, attempt int64, g *gang, reason string) {
	r := &run{
		task: t, worker: w, attempt: attempt, state: runChart.Initial, gang: g, need: t.step.spec.Counted(), since: c.now,
		checkpoint: t.step.job.record.Saved[t.name()],
	}
	r.recorded = t.takeReserved(attempt)
	c.attach(r)
	c.ordered = append(c.ordered, r)
	until := w.clock(c.now) + startWithin.Milliseconds()
	w.lease(until)
	r.order = &workload.Order{
		Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Task: t.id(), Attempt: attempt, Epoch: c.epoch, UntilMS: until,
		Spec: t.step.job.Spec, Checkpoint: r.checkpoint, Ticket: t.step.advice.tickets[w.ID].ticket,
	}
	c.sendStart(r, reason)
}

func (c *Core) sendStart(r *run, reason string) {
	r.copies++
	c.actions = append(c.actions, Action{Kind: ActStart, Reason: reason, Order: *r.order})
}

// startWithin bounds, on the worker's clock, when a start may be carried out. A
// start without an answer is settled after it even where the worker stays out
// of reach; it is long enough for the first poll to extend the lease.
const startWithin = 1500 * time.Millisecond

func (c *Core) nextAttempt() int64 {
	c.attempts++
	return c.epoch*attemptsPerEpoch + c.attempts
}

func (c *Core) attach(r *run) {
	t := r.task
	t.runs = append(t.runs, r)
	t.step.job.runs++
	t.step.began = true
	t.step.job.began = true
	if r.gang != nil {
		r.gang.runs++
	}
	r.worker.runs[runKey{t.id(), r.attempt}] = r
	r.worker.used = r.worker.used.Add(r.need)
}

// detach forgets a run that surely neither runs nor can start any more.
func (c *Core) detach(r *run) {
	key := runKey{r.task.id(), r.attempt}
	if r.worker.runs[key] != r {
		return
	}
	r.step(runGone)
	if r.recorded {
		c.endAttempt(r.task, r.attempt)
	}
	delete(r.worker.runs, key)
	r.worker.used = r.worker.used.Sub(r.need)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	t.step.job.runs--
	if g := r.gang; g != nil {
		g.runs--
		if g.runs == 0 && t.step.gang == g {
			t.step.gang = nil
		}
	}
}

// stop orders a run to stop; a second call changes nothing.
func (c *Core) stop(r *run, reason string) {
	if r.stopping() {
		return
	}
	r.reason = reason
	r.step(runStop)
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	r.stops++
	c.actions = append(c.actions, Action{Kind: ActStop, Reason: r.reason, Order: workload.Order{
		Worker: r.worker.ID, Addr: r.worker.Addr, Zone: r.worker.Zone, Task: r.task.id(), Attempt: r.attempt, Epoch: c.epoch,
	}})
}

// answered finds the worker and the run that an answer is about, and takes the
// worker's clock from it. Both are nil where the worker is forgotten, the run
// alone where it is.
func (c *Core) answered(order workload.Order, receipt workload.Receipt, now time.Time, wallMS int64) (*worker, *run) {
	c.tick(now, wallMS)
	w := c.workers[order.Worker]
	if w == nil {
		return nil, nil
	}
	w.sample(receipt.ClockMS, now)
	return w, w.runs[runKey{order.Task, order.Attempt}]
}

// StartAnswered takes the answer to a start.
func (c *Core) StartAnswered(order workload.Order, receipt workload.Receipt, now time.Time, wallMS int64) {
	w, r := c.answered(order, receipt, now, wallMS)
	if r == nil && w != nil {
		c.startSettled(w, runKey{order.Task, order.Attempt}, receipt.Verdict)
	}
	if r == nil {
		return
	}
	c.startEnded(r)
	switch receipt.Verdict {
	case workload.VerdictDone:
		c.repeats.answered()
		r.step(runStarted)
		r.confirmed = true
		r.order = nil
		r.settledBy = c.sequence
	case workload.VerdictUnknown:
		if r.state == stRunRunning {
			return // the worker lists it, or has answered another copy
		}
		r.unanswered = true
		c.missed(w)
		c.unclear(r, "start without an answer")
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictGone:
		c.rejected(r, "start not sent: its worker is over")
		c.lostWorker(w)
	case workload.VerdictNoTicket:
		delete(r.task.step.advice.tickets, w.ID)
		c.rejected(r, "start rejected: "+receipt.Verdict.String())
	case workload.VerdictUnsent, workload.VerdictClosed:
		c.missed(w)
		c.rejected(r, "start not sent: "+receipt.Verdict.String())
	default:
		w.refused(now)
		c.rejected(r, "start rejected: "+receipt.Verdict.String())
	}
}

// unclear marks a run that may have started, or may yet. Its room stays taken
// until a stop has closed the attempt.
func (c *Core) unclear(r *run, reason string) {
	told := r.stopping()
	r.step(runUnanswered)
	c.breakGang(r, reason)
	if !told {
		r.reason = reason
		c.sendStop(r)
	}
}

// rejected drops a run whose start was surely not carried out. Of one that was sent
// twice the other copy may have been, or may be yet: a stop has to close the attempt.
func (c *Core) rejected(r *run, reason string) {
	switch {
	case r.copies <= 1:
		c.breakGang(r, reason)
		c.detach(r)
	case r.state == stRunOrdered:
		c.unclear(r, reason)
	}
}

// StopAnswered takes the answer to a stop.
func (c *Core) StopAnswered(order workload.Order, receipt workload.Receipt, now time.Time, wallMS int64) {
	w, r := c.answered(order, receipt, now, wallMS)
	if w == nil {
		return
	}
	switch receipt.Verdict {
	case workload.VerdictDone, workload.VerdictOld:
		c.repeats.answered()
		if r != nil {
			r.step(runStopAnswered)
			r.settledBy = c.sequence
			w.wantPoll = true
		}
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictGone:
		c.lostWorker(w)
	default:
		c.missed(w)
	}
}

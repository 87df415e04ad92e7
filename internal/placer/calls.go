package placer

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// Submission is a job with the verdict of the rules, as submitted to the placer.
type Submission struct {
	ID      string
	Job     api.JobSubmission
	Verdict rules.Verdict
}

// reply is the answer to a call on the core.
type reply struct {
	answer api.JobAnswer
	err    error
}

// admitJobCall checks whether a submission may be accepted.
type admitJobCall struct {
	submission Submission
	reply      chan reply
}

// jobAcceptedCall adds an accepted record to the queue.
type jobAcceptedCall struct {
	record jobstore.Record
	reply  chan reply
}

// getJobCall returns a job's answer. If callers may not see the final outcome yet,
// ended is added to the waiters of the job; a stopWaitingCall removes it.
type getJobCall struct {
	id    string
	ended chan struct{}
	reply chan reply
}

// stopWaitingCall removes the waiter of a getJobCall.
type stopWaitingCall struct {
	id    string
	ended chan struct{}
}

// cancelJobCall cancels a job.
type cancelJobCall struct {
	id    string
	reply chan reply
}

// cancelStoredCall cancels a job whose row was read from the store, because the core may not know it yet.
type cancelStoredCall struct {
	record jobstore.Record
	reply  chan reply
}

// checkGuaranteesCall checks whether guarantees pack into the zone's workers.
type checkGuaranteesCall struct {
	accounts []model.ClientAccount
	reply    chan reply
}

// statusCall returns the zone's status.
type statusCall struct {
	reply chan api.Status
}

var errNoPlacer = api.NewError(api.KindNoPlacer, "this instance does not hold the placer lease")

// checkActive returns an error unless this instance holds the lease and has
// recovered the zone's jobs.
func (c *core) checkActive() error {
	if !c.holdsLease || !c.recovered {
		return errNoPlacer
	}
	return nil
}

func (call admitJobCall) apply(c *core, now time.Time) {
	answer, err := c.admit(call.submission, now)
	call.reply <- reply{answer, err}
}

// admit checks a submission against the limits and refuses jobs that can never
// run or cannot finish in time. For a submission whose idempotency key belongs to
// a job in memory, it returns that job's answer.
func (c *core) admit(s Submission, now time.Time) (api.JobAnswer, error) {
	if err := c.checkActive(); err != nil {
		return api.JobAnswer{}, err
	}
	if e := c.jobByKey(s.Job); e != nil {
		if !jobstore.SameWork(e.record.Submission, s.Job) {
			return api.JobAnswer{}, api.NewError(api.KindKeyReused, "key %s was used for another job", s.Job.IdempotencyKey)
		}
		return c.answer(e), nil
	}
	if open := len(c.jobs) - len(c.ended); open >= c.maxJobs {
		return api.JobAnswer{}, api.NewError(api.KindQueueFull, "the placer holds %d jobs", open)
	}
	if err := c.checkAccountLimits(s); err != nil {
		return api.JobAnswer{}, err
	}
	e := &entry{record: c.newRecord(s, now)}
	finish, refusal := placement.Admit(c.snapshot(now), e.job())
	if refusal != nil && c.unreportedWorkers() > 0 {
		return api.JobAnswer{}, api.NewError(api.KindNoPlacer, "%d workers have not reported their accelerators yet", c.unreportedWorkers())
	}
	if refusal != nil {
		c.decide(now, e, "admit", "refuse", refusal.Reason, "")
		return api.JobAnswer{}, api.WithRetryAfter(api.NewError(refusal.Kind, "%s", refusal.Reason), refusal.RetryAfter)
	}
	c.decide(now, e, "admit", "accept", fmt.Sprintf("%s, expected to finish by %s", describeShape(s.Job.Shape), finish.UTC().Format(time.RFC3339)), "")
	return api.JobAnswer{ID: s.ID, Outcome: api.OutcomeAccepted, EstimatedFinish: &finish}, nil
}

// checkAccountLimits enforces the account's limit on open jobs and the rule's
// limit on waiting jobs.
func (c *core) checkAccountLimits(s Submission) error {
	if c.config == nil {
		return api.NewError(api.KindNotReady, "no configuration yet")
	}
	account, ok := c.config.Document.Account(s.Job.Account)
	if !ok {
		return api.NewError(api.KindUnknownAccount, "client account %q is not in configuration %d", s.Job.Account, c.config.Version)
	}
	open, waiting := 0, 0
	for _, e := range c.jobs {
		if c.gangChart.Final(e.state) || e.record.Submission.Account != s.Job.Account {
			continue
		}
		open++
		if e.state == stWaiting && e.record.Rule == s.Verdict.Rule {
			waiting++
		}
	}
	if account.MaxJobs > 0 && open >= account.MaxJobs {
		return api.NewError(api.KindAccountLimit, "client account %q has %d open jobs", s.Job.Account, open)
	}
	if s.Verdict.MaxQueued > 0 && waiting >= s.Verdict.MaxQueued {
		return api.NewError(api.KindQueueFull, "%d jobs wait under rule %q", waiting, s.Verdict.Rule)
	}
	return nil
}

func (c *core) newRecord(s Submission, now time.Time) jobstore.Record {
	return jobstore.Record{
		ID: s.ID, Zone: c.zone, Submission: s.Job, Rule: s.Verdict.Rule, Priority: s.Verdict.Priority,
		Borrow: s.Verdict.Borrow, MaxWaitMS: s.Verdict.MaxWaitMS, Phase: jobstore.PhaseAccepted, SubmittedAt: now,
	}
}

func (call jobAcceptedCall) apply(c *core, _ time.Time) {
	if err := c.checkActive(); err != nil {
		// The row is stored: the zone's next placer will find it.
		call.reply <- reply{api.JobAnswer{ID: call.record.ID, Outcome: api.OutcomeAccepted, AvailabilityZone: c.zone}, nil}
		return
	}
	e, known := c.jobs[call.record.ID]
	if !known {
		e = c.addWaiting(call.record)
		e.writtenThisEpoch = true // no other placer has read the row
	}
	call.reply <- reply{c.answer(e), nil}
}

func (call getJobCall) apply(c *core, _ time.Time) {
	if err := c.checkActive(); err != nil {
		call.reply <- reply{err: err}
		return
	}
	e, ok := c.jobs[call.id]
	if !ok {
		call.reply <- reply{err: api.NewError(api.KindNotFound, "no job %q in memory", call.id)}
		return
	}
	if call.ended != nil && !c.outcomeVisible(e) {
		e.waiters[call.ended] = true
	}
	call.reply <- reply{answer: c.answer(e)}
}

func (call stopWaitingCall) apply(c *core, _ time.Time) {
	if e, ok := c.jobs[call.id]; ok {
		delete(e.waiters, call.ended)
	}
}

func (call cancelJobCall) apply(c *core, now time.Time) {
	if err := c.checkActive(); err != nil {
		call.reply <- reply{err: err}
		return
	}
	e, ok := c.jobs[call.id]
	if !ok {
		call.reply <- reply{err: api.NewError(api.KindNotFound, "no open job %q", call.id)}
		return
	}
	c.cancelJob(e, now)
	call.reply <- reply{answer: c.answer(e)}
}

func (call cancelStoredCall) apply(c *core, now time.Time) {
	if _, known := c.jobs[call.record.ID]; !known && c.checkActive() == nil {
		c.adopt(call.record, nil, now)
	}
	cancelJobCall{call.record.ID, call.reply}.apply(c, now)
}

func (c *core) cancelJob(e *entry, now time.Time) {
	before := e.state
	if !c.transition(e, evCancel, "cancelled by the caller", now) {
		return
	}
	switch before {
	case stReserving:
		c.emit(releaseAction{ref: e.ref, parts: e.parts})
		c.setParts(e, nil)
	case stStarting, stRunning:
		c.sendStop(e, false, stopTimeout)
	}
}

func (call checkGuaranteesCall) apply(c *core, _ time.Time) {
	if err := c.checkActive(); err != nil {
		call.reply <- reply{err: err}
		return
	}
	call.reply <- reply{err: c.checkGuarantees(call.accounts)}
}

// checkGuarantees checks whether guarantees pack into the zone's workers. It
// returns KindNotReady while a worker has not reported, so that a placer that
// has just taken over does not refuse a configuration that fits.
func (c *core) checkGuarantees(accounts []model.ClientAccount) error {
	for _, w := range c.workers {
		if w.Accelerators == 0 {
			return api.NewError(api.KindNotReady, "worker %s has not reported yet", w.ID)
		}
	}
	if len(c.workers) == 0 {
		return api.NewError(api.KindNotReady, "no workers are known yet")
	}
	if err := placement.CheckGuarantees(c.zone, c.workerList(false), accounts); err != nil {
		return api.NewError(api.KindShapeNeverFits, "%v", err)
	}
	return nil
}

func (call statusCall) apply(c *core, now time.Time) {
	if c.checkActive() != nil {
		call.reply <- api.Status{Instance: c.instance}
		return
	}
	call.reply <- c.status(now)
}

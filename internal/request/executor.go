// Package request takes one caller's request from its rule to its only answer:
// admission, the claim of a keyed request that is not idempotent, dispatch to a
// backend server, and the retries that are allowed. Requests move by
// charts/request.json; the decisions are those of packages admission, routing,
// retry and slots.
package request

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// Backend sends a request to a backend server; package backend implements it.
type Backend interface {
	// Execute returns the whole answer to this very request. Errors:
	// KindNotReady if no byte of it can have arrived, KindNoBackendServer if
	// the backend server says that it did not run it, KindAnswerNotWhole,
	// KindBackendTimeout or KindResultUnknown if it may have run.
	Execute(ctx context.Context, server model.BackendServer, call api.Execute) (api.ExecuteAnswer, error)
}

// Executor answers requests. It is safe for concurrent use.
type Executor struct {
	Zone     string
	Instance string
	Config   config.Source
	Fleet    membership.View
	Claims   claim.Claims
	Backend  Backend
	Recorder *decision.Recorder
	// Dispatcher gives the turns; its duty must be running.
	Dispatcher *Dispatcher
	// Caller reaches instances of other availability zones.
	Caller peer.Caller
	// PlatformReachable says whether the store answered last.
	PlatformReachable func() bool
	// MaxAttempts bounds the calls to backend servers under way.
	MaxAttempts int

	setUp   sync.Once
	pool    pond.Pool
	flights flights
	late    sync.WaitGroup
}

// job is one request on its way.
type job struct {
	progress
	submission api.RequestSubmission
	verdict    rules.Verdict
	// admitted is what admission knows of it.
	admitted admission.Request
	// forwarded says that it was passed on between availability zones; it is
	// not passed on again.
	forwarded bool
	answer    api.RequestAnswer
	// mayRun is the error of an attempt in another zone that may have run.
	mayRun error
}

// NewID returns a fresh request id.
func NewID() string { return "r-" + strings.ToLower(rand.Text()) }

// Execute answers a caller's request. It always returns exactly one final
// answer. ctx must have a deadline.
func (x *Executor) Execute(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer {
	return x.execute(ctx, id, submission, false)
}

// ExecuteForwarded answers a request that another availability zone passed on;
// it is not passed on again.
func (x *Executor) ExecuteForwarded(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer {
	return x.execute(ctx, id, submission, true)
}

// Drain waits for the attempts whose callers have their answers already.
func (x *Executor) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		x.late.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (x *Executor) execute(ctx context.Context, id string, submission api.RequestSubmission, forwarded bool) api.RequestAnswer {
	x.setUp.Do(func() { x.pool = pond.NewPool(max(1, x.MaxAttempts)) })
	started := time.Now()
	answer, err := x.run(ctx, id, submission, forwarded)
	if err != nil {
		attempts := answer.Attempts
		answer = Refusal(id, answer.Rule, err)
		answer.Attempts = attempts
	}
	if answer.ErrorKind != api.KindUnknownAccount {
		observeAnswer(submission.Account, answer.Outcome, time.Since(started))
	}
	return answer
}

// Refusal is the answer to a request that has none from a backend server.
func Refusal(id, rule string, err error) api.RequestAnswer {
	outcome := api.OutcomeNotRun
	if mayHaveRun(err) {
		outcome = api.OutcomeUnknown
	}
	return api.RequestAnswer{
		ID: id, Outcome: outcome, ErrorKind: api.KindOf(err), Message: err.Error(),
		RetryAfterS: api.RetryAfterS(err), Rule: rule,
	}
}

func mayHaveRun(err error) bool {
	switch api.KindOf(err) {
	case api.KindResultUnknown, api.KindBackendTimeout, api.KindAnswerNotWhole, api.KindBackendFailed:
		return true
	}
	return false
}

func (x *Executor) run(ctx context.Context, id string, submission api.RequestSubmission, forwarded bool) (api.RequestAnswer, error) {
	none := api.RequestAnswer{ID: id}
	snapshot := x.Config.Current()
	if snapshot == nil {
		return none, api.NewError(api.KindNotReady, "no configuration yet")
	}
	if _, ok := snapshot.Document.Account(submission.Account); !ok {
		return none, api.NewError(api.KindUnknownAccount, "client account %q is not in configuration %d", submission.Account, snapshot.Version)
	}
	verdict := snapshot.Rules.Decide(x.situation(ctx, submission))
	j := &job{
		progress: newProgress(), submission: submission, verdict: verdict, forwarded: forwarded,
		admitted: admittedOf(ctx, id, submission, verdict), answer: api.RequestAnswer{ID: id, Rule: verdict.Rule},
	}
	if verdict.Refuse {
		j.step(eventRefuse)
		err := api.NewError(api.KindRefusedByRule, "rule %q refuses", verdict.Rule)
		x.decide(j, "admit", "refuse", err.Error(), "")
		return j.answer, api.WithRetryAfter(err, time.Duration(verdict.RetryAfterS*float64(time.Second)))
	}
	if spilled, done := x.spill(ctx, j, false); done {
		return spilled, nil
	}
	if !j.keyed() {
		j.step(eventQueue)
		return x.dispatch(ctx, j)
	}
	return x.claimed(ctx, j)
}

// admittedOf is what admission has to know.
func admittedOf(ctx context.Context, id string, submission api.RequestSubmission, verdict rules.Verdict) admission.Request {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(submission.DeadlineMS) * time.Millisecond)
	}
	return admission.Request{
		ID: id, Account: submission.Account, Kind: submission.Kind, Priority: verdict.Priority, Arrived: now,
		Deadline: deadline, MaxWait: time.Duration(verdict.MaxWaitMS) * time.Millisecond,
		MaxQueued: verdict.MaxQueued, Rule: verdict.Rule,
	}
}

func (x *Executor) situation(ctx context.Context, submission api.RequestSubmission) rules.Situation {
	situation := rules.Situation{
		Work: rules.WorkRequest, Account: submission.Account, Kind: submission.Kind, Zone: x.Zone,
		Idempotent: submission.Idempotent, Keyed: submission.IdempotencyKey != "",
		PlatformReachable: x.PlatformReachable(), Load: x.Dispatcher.Load(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		situation.HasDeadline = true
		situation.SlackS = time.Until(deadline).Seconds()
	}
	return situation
}

// refused turns admission's refusal into an error, and notes it.
func (x *Executor) refused(j *job, refusal *admission.Refusal) error {
	countRefusal(j.submission.Account, refusal.Kind)
	x.decide(j, "admit", "refuse", refusal.Reason, "")
	return api.WithRetryAfter(api.NewError(refusal.Kind, "%s", refusal.Reason), refusal.RetryAfter)
}

func (x *Executor) decide(j *job, step, choice, reason, secondBest string) {
	x.Recorder.Record(api.Decision{
		At: time.Now(), Step: step, Subject: j.answer.ID, Account: j.submission.Account,
		Rule: j.verdict.Rule, Choice: choice, Reason: reason, SecondBest: secondBest,
	})
}

// digest identifies what a submission asks for, apart from its deadline.
func digest(submission api.RequestSubmission) string {
	submission.DeadlineMS = 0
	body, err := json.Marshal(submission)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

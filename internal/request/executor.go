// Package request processes a caller's request from the matching rule to its
// single answer: admission, the claim for a keyed request that is not idempotent,
// dispatch to a backend server, and permitted retries. The states of a request
// are declared in charts/request.json; the decisions are made by packages
// admission, routing, retry and slots.
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
	// Execute returns the whole answer to exactly this request. Errors:
	// KindNotReady if no byte of the request can have arrived,
	// KindNoBackendServer if the backend server reports that it did not run it,
	// KindBackendFailed if the backend server reports a failure,
	// KindAnswerNotWhole, KindBackendTimeout or KindResultUnknown if it may have
	// run.
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
	// Dispatcher assigns slots; its Run method must be running.
	Dispatcher *Dispatcher
	// Caller calls instances of other availability zones.
	Caller peer.Caller
	// PlatformReachable reports whether the last call to the store was answered.
	PlatformReachable func() bool
	// MaxConcurrentAttempts bounds the calls to backend servers in flight.
	MaxConcurrentAttempts int

	poolOnce   sync.Once
	pool       pond.Pool
	keyedCalls keyedCalls
	background sync.WaitGroup
}

// activeRequest is the state of one request that is being processed.
type activeRequest struct {
	progress
	submission api.RequestSubmission
	verdict    rules.Verdict
	// admissionRequest is the request as admission sees it.
	admissionRequest admission.Request
	// forwarded reports that the request was forwarded between availability
	// zones; it is not forwarded again.
	forwarded bool
	answer    api.RequestAnswer
	// mayHaveRunErr is the error of an attempt in another zone that may have run.
	mayHaveRunErr error
}

// NewID returns a new random request id.
func NewID() string { return "r-" + strings.ToLower(rand.Text()) }

// Execute processes a caller's request and always returns exactly one final
// answer. ctx must have a deadline.
func (x *Executor) Execute(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer {
	return x.execute(ctx, id, submission, false)
}

// ExecuteForwarded processes a request that another availability zone forwarded;
// it is not forwarded again.
func (x *Executor) ExecuteForwarded(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer {
	return x.execute(ctx, id, submission, true)
}

// Drain waits for the attempts that continue after their callers were answered,
// until ctx ends.
func (x *Executor) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		x.background.Wait()
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
	x.poolOnce.Do(func() { x.pool = pond.NewPool(max(1, x.MaxConcurrentAttempts)) })
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

// Refusal returns the answer to a request that ended with err instead of an
// answer from a backend server.
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
	noAnswer := api.RequestAnswer{ID: id}
	snapshot := x.Config.Current()
	if snapshot == nil {
		return noAnswer, api.NewError(api.KindNotReady, "no configuration yet")
	}
	if _, ok := snapshot.Document.Account(submission.Account); !ok {
		return noAnswer, api.NewError(api.KindUnknownAccount, "client account %q is not in configuration %d", submission.Account, snapshot.Version)
	}
	verdict := snapshot.Rules.Decide(x.situation(ctx, submission))
	r := &activeRequest{
		progress: newProgress(), submission: submission, verdict: verdict, forwarded: forwarded,
		admissionRequest: newAdmissionRequest(ctx, id, submission, verdict), answer: api.RequestAnswer{ID: id, Rule: verdict.Rule},
	}
	if verdict.Refuse {
		r.transition(eventRefuse)
		err := api.NewError(api.KindRefusedByRule, "rule %q refuses", verdict.Rule)
		x.decide(r, "admit", "refuse", err.Error(), "")
		return r.answer, api.WithRetryAfter(err, time.Duration(verdict.RetryAfterS*float64(time.Second)))
	}
	if spilled, done := x.spill(ctx, r, false); done {
		return spilled, nil
	}
	if !r.needsClaim() {
		r.transition(eventQueue)
		return x.dispatch(ctx, r)
	}
	return x.runKeyed(ctx, r)
}

// newAdmissionRequest returns the request for admission. Without a deadline in
// ctx, the deadline is that of the submission.
func newAdmissionRequest(ctx context.Context, id string, submission api.RequestSubmission, verdict rules.Verdict) admission.Request {
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

// refusalError records a refusal by admission and converts it into an error.
func (x *Executor) refusalError(r *activeRequest, refusal *admission.Refusal) error {
	countRefusal(r.submission.Account, refusal.Kind)
	x.decide(r, "admit", "refuse", refusal.Reason, "")
	return api.WithRetryAfter(api.NewError(refusal.Kind, "%s", refusal.Reason), refusal.RetryAfter)
}

func (x *Executor) decide(r *activeRequest, step, choice, reason, secondBest string) {
	x.Recorder.Record(api.Decision{
		At: time.Now(), Step: step, Subject: r.answer.ID, Account: r.submission.Account,
		Rule: r.verdict.Rule, Choice: choice, Reason: reason, SecondBest: secondBest,
	})
}

// submissionDigest returns a digest of a submission without its deadline.
func submissionDigest(submission api.RequestSubmission) string {
	submission.DeadlineMS = 0
	body, err := json.Marshal(submission)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

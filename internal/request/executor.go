// Package request takes one caller's request from its rule to its only answer:
// admission, the claim of a keyed request that is not idempotent, dispatch to a
// backend server, and the retries that are allowed. Requests move by
// charts/request.json.
package request

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
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
	// PlatformReachable says whether the store answered last.
	PlatformReachable func() bool
}

// NewID returns a fresh request id.
func NewID() string { return "r-" + strings.ToLower(rand.Text()) }

// Execute answers one request. It always returns exactly one final answer.
func (x *Executor) Execute(ctx context.Context, id string, submission api.RequestSubmission) api.RequestAnswer {
	answer, err := x.run(ctx, id, submission)
	if err != nil {
		return Refusal(id, answer.Rule, err)
	}
	return answer
}

// Refusal is the answer to a request that did not run.
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

func (x *Executor) run(ctx context.Context, id string, submission api.RequestSubmission) (api.RequestAnswer, error) {
	snapshot := x.Config.Current()
	if snapshot == nil {
		return api.RequestAnswer{}, api.NewError(api.KindNotReady, "no configuration yet")
	}
	if _, ok := snapshot.Document.Account(submission.Account); !ok {
		return api.RequestAnswer{}, api.NewError(api.KindUnknownAccount, "client account %q is not in configuration %d", submission.Account, snapshot.Version)
	}
	verdict := snapshot.Rules.Decide(x.situation(ctx, submission))
	base := api.RequestAnswer{ID: id, Rule: verdict.Rule}
	if verdict.Refuse {
		err := api.NewError(api.KindRefusedByRule, "rule %q refuses", verdict.Rule)
		x.decide(id, submission, verdict, "refuse", err.Error())
		return base, api.WithRetryAfter(err, time.Duration(verdict.RetryAfterS*float64(time.Second)))
	}
	if submission.Idempotent || submission.IdempotencyKey == "" {
		return x.dispatch(ctx, base, submission, verdict)
	}
	return x.claimed(ctx, base, submission, verdict)
}

func (x *Executor) claimed(ctx context.Context, base api.RequestAnswer, submission api.RequestSubmission, verdict rules.Verdict) (api.RequestAnswer, error) {
	held, recorded, err := x.Claims.Claim(ctx, claim.Request{
		Account: submission.Account, Key: submission.IdempotencyKey, RequestID: base.ID,
		BodyDigest: digest(submission), Holder: x.Instance,
	})
	if err != nil {
		return base, err
	}
	if recorded != nil {
		recorded.Replayed = true
		return *recorded, nil
	}
	answer, err := x.dispatch(ctx, base, submission, verdict)
	if err != nil && !mayHaveRun(err) {
		if giveUpErr := held.GiveUp(context.WithoutCancel(ctx)); giveUpErr != nil {
			x.decide(base.ID, submission, verdict, "claim kept", giveUpErr.Error())
		}
		return answer, err
	}
	final := answer
	if err != nil {
		final = Refusal(base.ID, base.Rule, err)
	}
	if settleErr := held.Settle(context.WithoutCancel(ctx), final); settleErr != nil {
		x.decide(base.ID, submission, verdict, "answer not recorded", settleErr.Error())
	}
	return final, nil
}

// dispatch sends the request until it has an answer. Work that is not
// idempotent is sent again only if no backend server can have run it.
func (x *Executor) dispatch(ctx context.Context, base api.RequestAnswer, submission api.RequestSubmission, verdict rules.Verdict) (api.RequestAnswer, error) {
	tried := make(map[string]bool)
	var last error
	for base.Attempts = 0; base.Attempts <= verdict.Retries; {
		server, ok := x.choose(tried)
		if !ok {
			break
		}
		tried[server.ID] = true
		base.Attempts++
		x.decide(base.ID, submission, verdict, server.ID, "first ready backend server not tried yet")
		answer, err := x.Backend.Execute(ctx, server, api.Execute{ID: base.ID, Account: submission.Account, Kind: submission.Kind, Payload: submission.Payload})
		if err == nil {
			base.Outcome, base.BackendServer, base.Payload = api.OutcomeDone, server.ID, answer.Payload
			return base, nil
		}
		last = err
		if mayHaveRun(err) && !submission.Idempotent {
			return base, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = api.NewError(api.KindNoBackendServer, "no backend server is ready in %s", x.Zone)
	}
	return base, last
}

func (x *Executor) choose(tried map[string]bool) (model.BackendServer, bool) {
	for _, server := range x.Fleet.BackendServers(x.Zone) {
		usable := server.State == model.BackendReady || server.State == model.BackendRamping
		if usable && !tried[server.ID] {
			return server, true
		}
	}
	return model.BackendServer{}, false
}

func (x *Executor) situation(ctx context.Context, submission api.RequestSubmission) rules.Situation {
	situation := rules.Situation{
		Work: rules.WorkRequest, Account: submission.Account, Kind: submission.Kind, Zone: x.Zone,
		Idempotent: submission.Idempotent, Keyed: submission.IdempotencyKey != "", PlatformReachable: x.PlatformReachable(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		situation.HasDeadline = true
		situation.SlackS = time.Until(deadline).Seconds()
	}
	return situation
}

func (x *Executor) decide(id string, submission api.RequestSubmission, verdict rules.Verdict, choice, reason string) {
	x.Recorder.Record(api.Decision{
		At: time.Now(), Step: "route", Subject: id, Account: submission.Account,
		Rule: verdict.Rule, Choice: choice, Reason: reason,
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

package request

import (
	"context"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// attemptGracePeriod is how long an attempt may continue after its caller's
// deadline. The backend server is still working then, so the slot stays in use,
// and the answer to a keyed request is still recorded.
const attemptGracePeriod = 10 * time.Second

// attemptResult is the result of one dispatch.
type attemptResult struct {
	server string
	answer api.ExecuteAnswer
	err    error
}

// lateError reports that the caller's deadline passed during an attempt. The
// attempt continues, and its result is sent on the channel result.
type lateError struct {
	error
	result chan attemptResult
}

// Unwrap returns the cause, from which api.KindOf derives the kind.
func (e lateError) Unwrap() error { return e.error }

// dispatch sends the request to backend servers until it is answered or may not
// be retried. A request that is not idempotent is retried only if no backend
// server can have run it.
func (x *Executor) dispatch(ctx context.Context, r *activeRequest) (api.RequestAnswer, error) {
	var tried []string
	isRetry := false
	// mayHaveRunErr is the error of an attempt that may have run. Once set, the
	// request can no longer end as not run.
	mayHaveRunErr := r.mayHaveRunErr
	for {
		assigned := x.Dispatcher.acquireSlot(ctx, slotRequest{request: r.admissionRequest, tried: tried, isRetry: isRetry})
		if assigned.refusal != nil {
			return x.forwardOrRefuse(ctx, r, assigned.refusal, mayHaveRunErr)
		}
		r.transition(eventDispatch)
		r.answer.Attempts++
		observeWait(r.submission.Account, assigned.waited)
		x.decide(r, "route", assigned.choice.ID, assigned.choice.Reason(), assigned.choice.SecondBest)
		result := x.attempt(ctx, r, assigned)
		if result.err == nil {
			r.transition(eventAnswer)
			return r.complete(result), nil
		}
		tried = append(tried, assigned.choice.ID)
		if late, ok := result.err.(lateError); ok {
			r.transition(eventLose)
			return r.answer, late
		}
		if mayHaveRun(result.err) {
			mayHaveRunErr = result.err
		}
		decision := x.Dispatcher.retryDecision(retryQuery{
			attempt: retry.Attempt{
				Account: r.submission.Account, Idempotent: r.submission.Idempotent, NotRun: !mayHaveRun(result.err),
				Retries: r.answer.Attempts - 1, MaxRetries: r.verdict.Retries, Deadline: r.admissionRequest.Deadline,
			},
			request: r.admissionRequest, tried: slices.Clone(tried),
		})
		x.decide(r, "retry", retryChoice(decision), decision.Reason, result.err.Error())
		if !decision.Retry {
			return r.answer, x.finishWithError(r, result.err, mayHaveRunErr)
		}
		countRetry(r.submission.Account)
		r.transition(eventRetry)
		isRetry = true
	}
}

// forwardOrRefuse ends a request that admission refused: it is forwarded to another
// zone if one has free capacity, no claim is held here and this instance is not
// shutting down, and otherwise refused. If an earlier attempt may have run, it is
// neither forwarded nor reported as not run.
func (x *Executor) forwardOrRefuse(ctx context.Context, r *activeRequest, refusal *admission.Refusal, mayHaveRunErr error) (api.RequestAnswer, error) {
	if mayHaveRunErr == nil && !r.needsClaim() && refusal.Kind != api.KindStopping {
		if answer, done := x.spill(ctx, r, true); done {
			r.transitions(eventDispatch, eventAnswer)
			return answer, nil
		}
		mayHaveRunErr = r.mayHaveRunErr
	}
	return r.answer, x.finishWithError(r, x.refusalError(r, refusal), mayHaveRunErr)
}

// needsClaim reports whether the request needs the claim of its idempotency key.
func (r *activeRequest) needsClaim() bool {
	return !r.submission.Idempotent && r.submission.IdempotencyKey != ""
}

// finishWithError ends the request and returns its error: err, or mayHaveRunErr if
// err alone would report a request that may have run as not run.
func (x *Executor) finishWithError(r *activeRequest, err, mayHaveRunErr error) error {
	if mayHaveRunErr != nil && !mayHaveRun(err) {
		err = mayHaveRunErr
	}
	r.transition(endEvent(err))
	return err
}

func retryChoice(decision retry.Decision) string {
	if decision.Retry {
		return "again"
	}
	return "end"
}

func (r *activeRequest) complete(result attemptResult) api.RequestAnswer {
	r.answer.Outcome, r.answer.BackendServer, r.answer.Payload = api.OutcomeDone, result.server, result.answer.Payload
	return r.answer
}

// attempt makes one dispatch. If the caller's deadline passes first, it returns a
// lateError, and the attempt continues for at most attemptGracePeriod.
func (x *Executor) attempt(ctx context.Context, r *activeRequest, assigned assignment) attemptResult {
	result := make(chan attemptResult, 1)
	call := api.Execute{ID: r.answer.ID, Account: r.submission.Account, Kind: r.submission.Kind, Payload: r.submission.Payload}
	callDeadline := r.admissionRequest.Deadline.Add(attemptGracePeriod)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), callDeadline)
	x.background.Add(1)
	err := x.pool.Go(func() {
		defer x.background.Done()
		defer cancel()
		result <- x.callBackend(detached, assigned, call)
	})
	if err != nil {
		cancel()
		x.background.Done()
		x.Dispatcher.postEvent(finishedEvent{id: call.ID, choice: assigned.choice, result: routing.Result{Failed: true}})
		return attemptResult{err: api.NewError(api.KindStopping, "no attempt can start: %v", err)}
	}
	select {
	case ended := <-result:
		return ended
	case <-ctx.Done():
		timeoutErr := api.NewError(api.KindBackendTimeout, "backend server %s did not answer by the deadline", assigned.choice.ID)
		return attemptResult{err: lateError{error: timeoutErr, result: result}}
	}
}

// callBackend calls the backend server and then releases the slot.
func (x *Executor) callBackend(ctx context.Context, assigned assignment, call api.Execute) attemptResult {
	started := time.Now()
	server := model.BackendServer{ID: assigned.choice.ID, Addr: assigned.choice.Addr, Zone: x.Zone, Incarnation: assigned.choice.Incarnation}
	answer, err := x.Backend.Execute(ctx, server, call)
	took := time.Since(started)
	observeAttempt(took, err)
	x.Dispatcher.postEvent(finishedEvent{
		id: call.ID, choice: assigned.choice, account: call.Account, chargeable: err == nil || (mayHaveRun(err) && !api.IsKind(err, api.KindBackendFailed)),
		result: routing.Result{
			Failed: err != nil, Took: took, Expected: assigned.expected, Incarnation: assigned.choice.Incarnation,
		},
	})
	return attemptResult{server: assigned.choice.ID, answer: answer, err: err}
}

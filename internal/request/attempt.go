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

// overrun is how long an attempt goes on after its caller's time has ended. The
// backend server is still at work then, so its slot stays taken; and the answer
// to a keyed request is still worth recording.
const overrun = 10 * time.Second

// attemptResult is how one dispatch ended.
type attemptResult struct {
	server string
	answer api.ExecuteAnswer
	err    error
}

// lateError says that the caller's time ended while an attempt was under way.
// Its result comes later.
type lateError struct {
	error
	result chan attemptResult
}

// Unwrap lets the kind of the cause be found.
func (e lateError) Unwrap() error { return e.error }

// dispatch sends the request until it has an answer. Work that is not
// idempotent is sent again only if no backend server can have run it.
func (x *Executor) dispatch(ctx context.Context, j *job) (api.RequestAnswer, error) {
	var tried []string
	again := false
	// mayRun is the error of an attempt that may have run; after it the request
	// can no longer end as not run.
	mayRun := j.mayRun
	for {
		got := x.Dispatcher.acquire(ctx, submission{request: j.admitted, tried: tried, again: again})
		if got.refusal != nil {
			return x.turnedAway(ctx, j, got.refusal, mayRun)
		}
		j.step(eventDispatch)
		j.answer.Attempts++
		observeTurn(j.submission.Account, got.waited)
		x.decide(j, "route", got.choice.ID, got.choice.Reason(), got.choice.SecondBest)
		result := x.attempt(ctx, j, got)
		if result.err == nil {
			j.step(eventAnswer)
			return j.done(result), nil
		}
		tried = append(tried, got.choice.ID)
		if late, ok := result.err.(lateError); ok {
			j.step(eventLose)
			return j.answer, late
		}
		if mayHaveRun(result.err) {
			mayRun = result.err
		}
		verdict := x.Dispatcher.mayRetry(retryQuestion{
			attempt: retry.Attempt{
				Account: j.submission.Account, Idempotent: j.submission.Idempotent, NotRun: !mayHaveRun(result.err),
				Retries: j.answer.Attempts - 1, MaxRetries: j.verdict.Retries, Deadline: j.admitted.Deadline,
			},
			request: j.admitted, tried: slices.Clone(tried),
		})
		x.decide(j, "retry", retryChoice(verdict), verdict.Reason, result.err.Error())
		if !verdict.Again {
			return j.answer, x.ended(j, result.err, mayRun)
		}
		countRetry(j.submission.Account)
		j.step(eventRetry)
		again = true
	}
}

// turnedAway ends a request that gets no turn here: in another zone if one has
// room and no claim is held here, else with a refusal. If an earlier attempt may
// have run, the refusal would not be true.
func (x *Executor) turnedAway(ctx context.Context, j *job, refusal *admission.Refusal, mayRun error) (api.RequestAnswer, error) {
	if mayRun == nil && !j.keyed() && refusal.Kind != api.KindStopping {
		if answer, done := x.spill(ctx, j, true); done {
			j.steps(eventDispatch, eventAnswer)
			return answer, nil
		}
		mayRun = j.mayRun
	}
	return j.answer, x.ended(j, x.refused(j, refusal), mayRun)
}

// keyed says that the request needs the claim of its idempotency key.
func (j *job) keyed() bool { return !j.submission.Idempotent && j.submission.IdempotencyKey != "" }

func (x *Executor) ended(j *job, err, mayRun error) error {
	if mayRun != nil && !mayHaveRun(err) {
		err = mayRun
	}
	j.step(endEvent(err))
	return err
}

func retryChoice(verdict retry.Decision) string {
	if verdict.Again {
		return "again"
	}
	return "end"
}

func (j *job) done(result attemptResult) api.RequestAnswer {
	j.answer.Outcome, j.answer.BackendServer, j.answer.Payload = api.OutcomeDone, result.server, result.answer.Payload
	return j.answer
}

// attempt makes one dispatch. When the caller's time ends first, it returns a
// lateError, and the attempt goes on for at most overrun.
func (x *Executor) attempt(ctx context.Context, j *job, got turn) attemptResult {
	result := make(chan attemptResult, 1)
	call := api.Execute{ID: j.answer.ID, Account: j.submission.Account, Kind: j.submission.Kind, Payload: j.submission.Payload}
	until := j.admitted.Deadline.Add(overrun)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	x.late.Add(1)
	err := x.pool.Go(func() {
		defer x.late.Done()
		defer cancel()
		result <- x.send(detached, got, call)
	})
	if err != nil {
		cancel()
		x.late.Done()
		x.Dispatcher.report(finished{id: call.ID, choice: got.choice, result: routing.Result{Failed: true}})
		return attemptResult{err: api.NewError(api.KindStopping, "no attempt can start: %v", err)}
	}
	select {
	case ended := <-result:
		return ended
	case <-ctx.Done():
		lost := api.NewError(api.KindBackendTimeout, "backend server %s did not answer by the deadline", got.choice.ID)
		return attemptResult{err: lateError{error: lost, result: result}}
	}
}

// send calls the backend server and gives the turn back.
func (x *Executor) send(ctx context.Context, got turn, call api.Execute) attemptResult {
	started := time.Now()
	server := model.BackendServer{ID: got.choice.ID, Addr: got.choice.Addr, Zone: x.Zone, Incarnation: got.choice.Incarnation}
	answer, err := x.Backend.Execute(ctx, server, call)
	took := time.Since(started)
	observeAttempt(took, err)
	x.Dispatcher.report(finished{
		id: call.ID, choice: got.choice, account: call.Account, ran: err == nil || (mayHaveRun(err) && !api.IsKind(err, api.KindBackendFailed)),
		result: routing.Result{
			Failed: err != nil, Took: took, Expected: got.expected, Incarnation: got.choice.Incarnation,
		},
	})
	return attemptResult{server: got.choice.ID, answer: answer, err: err}
}

package request

import (
	"context"
	"errors"
	"sync"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
)

// runKeyed runs a keyed request that is not idempotent, at most once for its key.
// Further arrivals of a key that is in flight in this instance wait for its answer
// here, so that a frequently repeated key uses neither slots nor reads of the
// store.
func (x *Executor) runKeyed(ctx context.Context, r *activeRequest) (api.RequestAnswer, error) {
	key := callKey{r.submission.Account, r.submission.IdempotencyKey, submissionDigest(r.submission)}
	for {
		call, isFirst := x.keyedCalls.join(key)
		if isFirst {
			answer, err := x.claimAndRun(ctx, r, key.digest)
			x.keyedCalls.finish(key, call, answer, err)
			return answer, err
		}
		select {
		case <-call.done:
			if answer, ok := call.replayedAnswer(); ok {
				r.transitions(eventQueue, eventClaim, eventReplay)
				countReplay(r.submission.Account)
				return answer, nil
			}
		case <-ctx.Done():
			r.transitions(eventQueue, eventClaim, eventLose)
			return r.answer, api.NewError(api.KindResultUnknown, "an earlier arrival of the key has not ended")
		}
	}
}

// claimAndRun takes the claim without holding a slot, and dispatches the request
// if the claim was granted. The claim precedes admission, so that a key whose
// answer is recorded is answered under any load and never refused as not run.
func (x *Executor) claimAndRun(ctx context.Context, r *activeRequest, digest string) (api.RequestAnswer, error) {
	r.transitions(eventQueue, eventClaim)
	held, recorded, err := x.Claims.Claim(ctx, claim.Request{
		Account: r.submission.Account, Key: r.submission.IdempotencyKey, RequestID: r.answer.ID,
		BodyDigest: digest, Holder: x.Instance,
	})
	if err != nil {
		r.transition(endEvent(err))
		x.decide(r, "claim", "refuse", err.Error(), "")
		return r.answer, err
	}
	if recorded != nil {
		r.transition(eventReplay)
		recorded.Replayed = true
		countReplay(r.submission.Account)
		return *recorded, nil
	}
	r.transition(eventClaimed)
	answer, err := x.dispatch(ctx, r)
	return x.settle(ctx, r, held, answer, err)
}

// settle records the final answer, or releases the claim if the request cannot
// have run. The answer of an attempt still in flight is recorded when it ends.
func (x *Executor) settle(ctx context.Context, r *activeRequest, held claim.Held, answer api.RequestAnswer, err error) (api.RequestAnswer, error) {
	ctx = context.WithoutCancel(ctx)
	var late lateError
	if errors.As(err, &late) {
		x.background.Go(func() { x.settleLate(ctx, r, held, late) })
		return answer, err
	}
	if err != nil && !mayHaveRun(err) {
		if releaseErr := held.Release(ctx); releaseErr != nil {
			x.decide(r, "claim", "kept", releaseErr.Error(), "")
		}
		return answer, err
	}
	x.recordAnswer(ctx, r, held, finalAnswer(answer, err))
	return answer, err
}

func finalAnswer(answer api.RequestAnswer, err error) api.RequestAnswer {
	if err == nil {
		return answer
	}
	attempts := answer.Attempts
	answer = Refusal(answer.ID, answer.Rule, err)
	answer.Attempts = attempts
	return answer
}

// settleLate waits for the late attempt and records its answer for later arrivals
// of the key.
func (x *Executor) settleLate(ctx context.Context, r *activeRequest, held claim.Held, late lateError) {
	result := <-late.result
	answer := r.answer
	if result.err == nil {
		answer = r.complete(result)
	}
	if result.err != nil && !mayHaveRun(result.err) {
		// The caller has already received the outcome unknown, so the key
		// keeps it.
		result.err = late.error
	}
	x.recordAnswer(ctx, r, held, finalAnswer(answer, result.err))
}

func (x *Executor) recordAnswer(ctx context.Context, r *activeRequest, held claim.Held, answer api.RequestAnswer) {
	if err := held.Settle(ctx, answer); err != nil {
		x.decide(r, "claim", "answer not recorded", err.Error(), "")
	}
}

// callKey identifies a keyed request with its body.
type callKey struct{ account, key, digest string }

// keyedCall is a keyed request in flight in this instance.
type keyedCall struct {
	done chan struct{}
	// answer and err are written before done is closed.
	answer api.RequestAnswer
	err    error
}

// replayedAnswer returns the answer for another arrival of the key, and false if
// the call failed, so that the arrival must try the claim itself.
func (c *keyedCall) replayedAnswer() (api.RequestAnswer, bool) {
	answer := c.answer
	answer.Replayed = true
	return answer, c.err == nil
}

// keyedCalls holds the keyed requests in flight. It is safe for concurrent use.
type keyedCalls struct {
	mu    sync.Mutex
	byKey map[callKey]*keyedCall
}

// join returns the call of the key, and whether it is new, in which case the
// caller of join must finish it.
func (c *keyedCalls) join(key callKey) (*keyedCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.byKey[key]; ok {
		return existing, false
	}
	if c.byKey == nil {
		c.byKey = make(map[callKey]*keyedCall)
	}
	call := &keyedCall{done: make(chan struct{})}
	c.byKey[key] = call
	return call, true
}

func (c *keyedCalls) finish(key callKey, call *keyedCall, answer api.RequestAnswer, err error) {
	call.answer, call.err = answer, err
	c.mu.Lock()
	delete(c.byKey, key)
	c.mu.Unlock()
	close(call.done)
}

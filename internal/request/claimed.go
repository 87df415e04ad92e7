package request

import (
	"context"
	"errors"
	"sync"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
)

// claimed runs a keyed request that is not idempotent: at most one dispatch for
// its key, ever. Arrivals of a key that is under way in this instance wait for
// its answer here, so that a hot key costs neither slots nor reads of the store.
func (x *Executor) claimed(ctx context.Context, j *job) (api.RequestAnswer, error) {
	key := flightKey{j.submission.Account, j.submission.IdempotencyKey, digest(j.submission)}
	for {
		flight, leads := x.flights.join(key)
		if leads {
			answer, err := x.claimAndRun(ctx, j, key.digest)
			x.flights.land(key, flight, answer, err)
			return answer, err
		}
		select {
		case <-flight.landed:
			if answer, ok := flight.shared(); ok {
				j.steps(eventQueue, eventClaim, eventReplay)
				countReplay(j.submission.Account)
				return answer, nil
			}
		case <-ctx.Done():
			j.steps(eventQueue, eventClaim, eventLose)
			return j.answer, api.NewError(api.KindResultUnknown, "an earlier arrival of the key has not ended")
		}
	}
}

// claimAndRun takes the claim, without holding a slot meanwhile, and dispatches
// if it is held. The claim comes before admission: a key that has its answer gets
// it under any load, and is never refused as not run.
func (x *Executor) claimAndRun(ctx context.Context, j *job, digest string) (api.RequestAnswer, error) {
	j.steps(eventQueue, eventClaim)
	held, recorded, err := x.Claims.Claim(ctx, claim.Request{
		Account: j.submission.Account, Key: j.submission.IdempotencyKey, RequestID: j.answer.ID,
		BodyDigest: digest, Holder: x.Instance,
	})
	if err != nil {
		j.step(endEvent(err))
		x.decide(j, "claim", "refuse", err.Error(), "")
		return j.answer, err
	}
	if recorded != nil {
		j.step(eventReplay)
		recorded.Replayed = true
		countReplay(j.submission.Account)
		return *recorded, nil
	}
	j.step(eventClaimed)
	answer, err := x.dispatch(ctx, j)
	return x.settle(ctx, j, held, answer, err)
}

// settle records the final answer, or gives the claim up if nothing can have
// run. The answer of an attempt that is still under way is recorded when it ends.
func (x *Executor) settle(ctx context.Context, j *job, held claim.Held, answer api.RequestAnswer, err error) (api.RequestAnswer, error) {
	ctx = context.WithoutCancel(ctx)
	var late lateError
	if errors.As(err, &late) {
		x.late.Go(func() { x.settleLate(ctx, j, held, late) })
		return answer, err
	}
	if err != nil && !mayHaveRun(err) {
		if giveUpErr := held.GiveUp(ctx); giveUpErr != nil {
			x.decide(j, "claim", "kept", giveUpErr.Error(), "")
		}
		return answer, err
	}
	x.record(ctx, j, held, final(answer, err))
	return answer, err
}

func final(answer api.RequestAnswer, err error) api.RequestAnswer {
	if err == nil {
		return answer
	}
	attempts := answer.Attempts
	answer = Refusal(answer.ID, answer.Rule, err)
	answer.Attempts = attempts
	return answer
}

// settleLate waits for the attempt and records its answer for later arrivals.
func (x *Executor) settleLate(ctx context.Context, j *job, held claim.Held, late lateError) {
	result := <-late.result
	answer := j.answer
	if result.err == nil {
		answer = j.done(result)
	}
	if result.err != nil && !mayHaveRun(result.err) {
		// The caller was told unknown, so the key stays with that answer.
		result.err = late.error
	}
	x.record(ctx, j, held, final(answer, result.err))
}

func (x *Executor) record(ctx context.Context, j *job, held claim.Held, answer api.RequestAnswer) {
	if err := held.Settle(ctx, answer); err != nil {
		x.decide(j, "claim", "answer not recorded", err.Error(), "")
	}
}

// flightKey identifies a keyed request and its body.
type flightKey struct{ account, key, digest string }

// flight is a keyed request under way in this instance.
type flight struct {
	landed chan struct{}
	// answer and err are written before landed is closed.
	answer api.RequestAnswer
	err    error
}

// shared returns the answer for another arrival of the key; false if there is
// none yet, so that the arrival has to look for itself.
func (f *flight) shared() (api.RequestAnswer, bool) {
	answer := f.answer
	answer.Replayed = true
	return answer, f.err == nil
}

// flights holds the keyed requests under way. It is safe for concurrent use.
type flights struct {
	mu    sync.Mutex
	byKey map[flightKey]*flight
}

// join returns the flight of the key, and whether the caller leads it and must
// land it.
func (f *flights) join(key flightKey) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if present, ok := f.byKey[key]; ok {
		return present, false
	}
	if f.byKey == nil {
		f.byKey = make(map[flightKey]*flight)
	}
	mine := &flight{landed: make(chan struct{})}
	f.byKey[key] = mine
	return mine, true
}

func (f *flights) land(key flightKey, mine *flight, answer api.RequestAnswer, err error) {
	mine.answer, mine.err = answer, err
	f.mu.Lock()
	delete(f.byKey, key)
	f.mu.Unlock()
	close(mine.landed)
}

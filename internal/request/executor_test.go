package request

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/slots"
)

func (i *instance) executeForwarded(ctx context.Context, call *peerpb.ExecuteCall) []byte {
	var submission api.RequestSubmission
	_ = json.Unmarshal(call.GetSubmission(), &submission)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	answer, _ := json.Marshal(i.executor.ExecuteForwarded(ctx, call.GetId(), submission))
	return answer
}

// execute runs one request with a deadline and returns the answer and the time
// taken.
func (i *instance) execute(id string, deadline time.Duration, submission api.RequestSubmission) (api.RequestAnswer, time.Duration) {
	if submission.Account == "" {
		submission.Account = "a"
	}
	submission.Kind, submission.DeadlineMS = "check", deadline.Milliseconds()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	started := time.Now()
	return i.executor.Execute(ctx, id, submission), time.Since(started)
}

func TestRequestOutcomes(t *testing.T) {
	failsOnce := func(kind api.Kind) func(context.Context, string, api.Execute) (api.ExecuteAnswer, error) {
		var calls atomic.Int32
		return func(ctx context.Context, server string, call api.Execute) (api.ExecuteAnswer, error) {
			if calls.Add(1) == 1 {
				return failsWith(kind)(ctx, server, call)
			}
			return answersAfter(time.Millisecond)(ctx, server, call)
		}
	}
	idempotent, nonIdempotent := api.RequestSubmission{Idempotent: true}, api.RequestSubmission{}
	keyed := api.RequestSubmission{IdempotencyKey: "k"}
	refuse := rules.Rule{Name: "no", When: rules.When{Accounts: []string{"b"}}, Then: rules.Then{Refuse: true, RetryAfterS: 7}}
	for name, c := range map[string]struct {
		run        func(context.Context, string, api.Execute) (api.ExecuteAnswer, error)
		submission api.RequestSubmission
		outcome    api.Outcome
		kind       api.Kind
		dispatches int
	}{
		"a whole answer": {answersAfter(time.Millisecond), nonIdempotent, api.OutcomeDone, "", 1},
		"idempotent work is retried on another server after a loss":     {failsOnce(api.KindAnswerNotWhole), idempotent, api.OutcomeDone, "", 2},
		"non-idempotent work is not retried: its result is unknown":     {failsOnce(api.KindAnswerNotWhole), nonIdempotent, api.OutcomeUnknown, api.KindAnswerNotWhole, 1},
		"keyed work is not retried either":                              {failsOnce(api.KindBackendTimeout), keyed, api.OutcomeUnknown, api.KindBackendTimeout, 1},
		"any work is retried if the server reports that it did not run": {failsOnce(api.KindNoBackendServer), nonIdempotent, api.OutcomeDone, "", 2},
		"any work is retried if no byte was sent":                       {failsOnce(api.KindNotReady), keyed, api.OutcomeDone, "", 2},
		"no server runs it": {failsWith(api.KindNoBackendServer), nonIdempotent, api.OutcomeNotRun, api.KindNoBackendServer, 2},
		"idempotent work that may have run is never reported as not run": {failsWith(api.KindAnswerNotWhole), idempotent, api.OutcomeUnknown, api.KindAnswerNotWhole, 2},
		"a rule refuses":     {answersAfter(0), api.RequestSubmission{Account: "b"}, api.OutcomeNotRun, api.KindRefusedByRule, 0},
		"an unknown account": {answersAfter(0), api.RequestSubmission{Account: "c\"\n"}, api.OutcomeNotRun, api.KindUnknownAccount, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := startSingle(t, c.run, refuse)
				answer, _ := i.execute("r1", time.Second, c.submission)
				assert.Equal(t, answer.Outcome, c.outcome, answer.Message)
				assert.Equal(t, answer.ErrorKind, c.kind)
				assert.Equal(t, i.backend.dispatched(), c.dispatches)
				assert.Equal(t, answer.Attempts, c.dispatches)
				assert.Equal(t, answer.ID, "r1")
			})
		})
	}
}

// TestRequestThatMayHaveRunIsNotReportedAsNotRun covers a request whose retry is
// refused after a first attempt that may have run.
func TestRequestThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, func(ctx context.Context, server string, call api.Execute) (api.ExecuteAnswer, error) {
			if call.ID != "r1" {
				return answersAfter(time.Minute)(ctx, server, call)
			}
			for n := range 20 {
				go currentInstance(t).execute(fmt.Sprintf("long%d", n), 5*time.Minute, api.RequestSubmission{Account: "b"})
			}
			time.Sleep(10 * time.Millisecond)
			return api.ExecuteAnswer{}, api.NewError(api.KindAnswerNotWhole, "connection lost during the answer")
		})
		current.Store(i)
		answer, _ := i.execute("r1", 2*time.Second, api.RequestSubmission{Idempotent: true})
		assert.Equal(t, answer.Outcome, api.OutcomeUnknown, answer.Message)
		time.Sleep(3 * time.Minute)
	})
}

// current is the instance under test, for use in a backend function.
var current atomic.Pointer[instance]

func currentInstance(t *testing.T) *instance {
	t.Helper()
	return current.Load()
}

func TestRefusalIsImmediateAndHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(time.Second))
		i.execute("first", 10*time.Second, api.RequestSubmission{})
		var running sync.WaitGroup
		for n := range 450 {
			running.Go(func() { i.execute(fmt.Sprint("r", n), 30*time.Second, api.RequestSubmission{}) })
		}
		time.Sleep(10 * time.Millisecond)
		answer, took := i.execute("late", 30*time.Second, api.RequestSubmission{})
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, answer.ErrorKind, api.KindDeadlineUnreachable)
		assert.Assert(t, answer.RetryAfterS > 1, "%v", answer.RetryAfterS)
		assert.Equal(t, took, time.Duration(0))
		running.Wait()
	})
}

func TestConcurrentKeyedRequestsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(200*time.Millisecond))
		var running sync.WaitGroup
		var replayed atomic.Int32
		for n := range 30 {
			running.Go(func() {
				answer, _ := i.execute(fmt.Sprint("r", n), 5*time.Second, api.RequestSubmission{IdempotencyKey: "k"})
				assert.Check(t, answer.Outcome == api.OutcomeDone, answer.Message)
				if answer.Replayed {
					replayed.Add(1)
				}
			})
		}
		running.Wait()
		assert.Equal(t, i.backend.dispatched(), 1)
		assert.Equal(t, replayed.Load(), int32(29))
	})
}

func TestKeyedRequestWithoutStoreIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(time.Millisecond))
		i.claims.err = api.NewError(api.KindStoreUnavailable, "down")
		answer, _ := i.execute("r1", time.Second, api.RequestSubmission{IdempotencyKey: "k"})
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, answer.ErrorKind, api.KindStoreUnavailable)
		assert.Equal(t, i.backend.dispatched(), 0)
		plain, _ := i.execute("r2", time.Second, api.RequestSubmission{})
		assert.Equal(t, plain.Outcome, api.OutcomeDone)
	})
}

func TestClaimIsReleasedWhenNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, failsWith(api.KindNoBackendServer))
		answer, _ := i.execute("r1", time.Second, api.RequestSubmission{IdempotencyKey: "k"})
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, i.claims.released, 1)
	})
}

func TestLateAnswerIsRecordedForItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(3*time.Second))
		answer, took := i.execute("r1", time.Second, api.RequestSubmission{IdempotencyKey: "k"})
		assert.Equal(t, answer.Outcome, api.OutcomeUnknown)
		assert.Equal(t, took, time.Second)
		assert.NilError(t, i.executor.Drain(t.Context()))
		answer, _ = i.execute("r2", time.Second, api.RequestSubmission{IdempotencyKey: "k"})
		assert.Equal(t, answer.Outcome, api.OutcomeDone)
		assert.Assert(t, answer.Replayed)
		assert.Equal(t, i.backend.dispatched(), 1)
	})
}

func TestSlotStaysInUseAfterTheCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(4*time.Second))
		var running sync.WaitGroup
		for n := range 60 {
			running.Go(func() { i.execute(fmt.Sprint("r", n), time.Second, api.RequestSubmission{Idempotent: true}) })
		}
		running.Wait()
		assert.Assert(t, i.backend.maxConcurrentCalls() <= slots.MaxPerInstance, "%d at once", i.backend.maxConcurrentCalls())
		assert.NilError(t, i.executor.Drain(t.Context()))
	})
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := startSingle(t, answersAfter(time.Millisecond))
		i.fleet.setLeaving(0)
		time.Sleep(2 * tickInterval)
		for n := range 20 {
			answer, _ := i.execute(fmt.Sprint("r", n), time.Second, api.RequestSubmission{})
			assert.Equal(t, answer.BackendServer, "b2")
		}
	})
}

func TestInstancesOfAZoneShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, backend := &fakeCaller{}, &fakeBackend{run: answersAfter(100 * time.Millisecond)}
		fleet := &fakeFleet{zone: "z1", members: []string{"i1", "i2", "i3"}, servers: twoServers()}
		for _, id := range fleet.members {
			start(t, id, fleet, backend, caller, configuration())
		}
		time.Sleep(slots.ViewWindow + 2*time.Second)
		busy, _ := caller.instance("i2")
		var running sync.WaitGroup
		var done atomic.Int32
		for n := range 600 {
			running.Go(func() {
				if answer, _ := busy.execute(fmt.Sprint("r", n), time.Minute, api.RequestSubmission{}); answer.Outcome == api.OutcomeDone {
					done.Add(1)
				}
			})
		}
		time.Sleep(3500 * time.Millisecond)
		assert.Assert(t, busy.backend.maxConcurrentCalls() >= slots.MaxPerInstance-1, "the busy instance got %d of 8", busy.backend.maxConcurrentCalls())
		running.Wait()
		for n := range 600 {
			member, _ := caller.instance(fleet.members[n%3])
			running.Go(func() {
				if answer, _ := member.execute(fmt.Sprint("s", n), time.Minute, api.RequestSubmission{}); answer.Outcome == api.OutcomeDone {
					done.Add(1)
				}
			})
		}
		running.Wait()
		assert.Equal(t, done.Load(), int32(1200))
		assert.Assert(t, backend.maxConcurrentCalls() <= 8, "%d at once on one server", backend.maxConcurrentCalls())
	})
}

func TestSpillFromZoneWithoutServers(t *testing.T) {
	for name, c := range map[string]struct {
		loseResponses bool
		submission    api.RequestSubmission
		outcome       api.Outcome
	}{
		"the other zone answers":                                       {false, api.RequestSubmission{}, api.OutcomeDone},
		"keyed work is claimed in the other zone":                      {false, api.RequestSubmission{IdempotencyKey: "k"}, api.OutcomeDone},
		"a lost response leaves the result unknown":                    {true, api.RequestSubmission{}, api.OutcomeUnknown},
		"a lost response of idempotent work that cannot run elsewhere": {true, api.RequestSubmission{Idempotent: true}, api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &fakeCaller{loseResponses: c.loseResponses}
				remote := start(t, "i2", &fakeFleet{zone: "z2", members: []string{"i2"}, servers: twoServers()}, &fakeBackend{run: answersAfter(time.Millisecond)}, caller, configuration())
				remoteState := membership.ReceivedState{State: &peerpb.State{Instance: "i2", AvailabilityZone: "z2"}, ReceivedAt: time.Now(), Fresh: true}
				fleet := &fakeFleet{zone: "z1", members: []string{"i1"}, peers: map[string]membership.ReceivedState{"i2": remoteState}}
				local := start(t, "i1", fleet, &fakeBackend{run: answersAfter(0)}, caller, configuration())
				time.Sleep(slots.ViewWindow + time.Second)
				answer, _ := local.execute("r1", time.Second, c.submission)
				assert.Equal(t, answer.Outcome, c.outcome, answer.Message)
				assert.Equal(t, remote.backend.dispatched(), 1)
				assert.Equal(t, local.backend.dispatched(), 0)
			})
		})
	}
}

func TestWaitingRequestIsRefusedWhenItsCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fakeFleet{zone: "z1", members: []string{"i1"}, servers: []model.BackendServer{}}
		i := start(t, "i1", fleet, &fakeBackend{}, &fakeCaller{}, configuration())
		ctx, cancel := context.WithCancel(t.Context())
		assignments := make(chan assignment, 1)
		go func() {
			assignments <- i.dispatcher.acquireSlot(ctx, slotRequest{request: newAdmissionRequest(ctx, "r1", api.RequestSubmission{Account: "a", DeadlineMS: 60000}, rules.Verdict{})})
		}()
		time.Sleep(time.Second)
		cancel()
		got := <-assignments
		assert.Assert(t, got.refusal != nil)
	})
}

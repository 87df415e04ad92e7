package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

func request(id, digest string) claim.Request {
	return claim.Request{Account: "acme", Key: "k", RequestID: id, BodyDigest: digest, Holder: "i1"}
}

// instance is the claim store of one process on a shared platform.
type instance struct {
	*claim.Store
	stack *platform.Stack
}

// startInstance returns an instance whose sweep runs until the test ends.
func startInstance(t *testing.T, service *fake.Platform) instance {
	t.Helper()
	stack := platform.NewStack(service)
	store := claim.New(stack)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		store.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		stack.Close()
	})
	return instance{store, stack}
}

func mustClaim(t *testing.T, store claim.Claims, id string) claim.Held {
	t.Helper()
	held, answer, err := store.Claim(t.Context(), request(id, "d"))
	assert.NilError(t, err)
	assert.Assert(t, answer == nil && held != nil)
	return held
}

var doneAnswer = api.RequestAnswer{ID: "r1", Outcome: api.OutcomeDone, Payload: []byte(`1`)}

func TestClaim(t *testing.T) {
	cases := map[string]func(t *testing.T, service *fake.Platform, a, b instance){
		"settled claim answers a later arrival on another instance": func(t *testing.T, _ *fake.Platform, a, b instance) {
			assert.NilError(t, mustClaim(t, a, "r1").Settle(t.Context(), doneAnswer))
			held, answer, err := b.Claim(t.Context(), request("r2", "d"))
			assert.NilError(t, err)
			assert.Assert(t, held == nil && answer.Replayed)
			assert.Equal(t, answer.ID, "r1")
		},
		"key with another body is refused": func(t *testing.T, _ *fake.Platform, a, b instance) {
			mustClaim(t, a, "r1")
			_, _, err := b.Claim(t.Context(), request("r2", "other"))
			assert.Assert(t, api.IsKind(err, api.KindKeyReused))
		},
		"arrival waits for the earlier one to settle": func(t *testing.T, _ *fake.Platform, a, b instance) {
			held := mustClaim(t, a, "r1")
			time.AfterFunc(3*time.Second, func() { _ = held.Settle(t.Context(), doneAnswer) })
			_, answer, err := b.Claim(t.Context(), request("r2", "d"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome, api.OutcomeDone)
		},
		"claim of a crashed holder has an unknown outcome and never runs": func(t *testing.T, _ *fake.Platform, a, b instance) {
			mustClaim(t, a, "r1")
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			held, answer, err := b.Claim(ctx, request("r2", "d"))
			assert.NilError(t, err)
			assert.Assert(t, held == nil)
			assert.Equal(t, answer.Outcome, api.OutcomeUnknown)
		},
		"claim given up can be taken by another arrival": func(t *testing.T, _ *fake.Platform, a, b instance) {
			assert.NilError(t, mustClaim(t, a, "r1").Release(t.Context()))
			mustClaim(t, b, "r2")
		},
		"arrival that claims again after giving up holds a new claim": func(t *testing.T, _ *fake.Platform, a, b instance) {
			assert.NilError(t, mustClaim(t, a, "r1").Release(t.Context()))
			mustClaim(t, a, "r1")
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			held, answer, err := b.Claim(ctx, request("r2", "d"))
			assert.NilError(t, err)
			assert.Assert(t, held == nil)
			assert.Equal(t, answer.Outcome, api.OutcomeUnknown)
		},
		"claim ends once": func(t *testing.T, _ *fake.Platform, a, b instance) {
			held := mustClaim(t, a, "r1")
			assert.NilError(t, held.Settle(t.Context(), doneAnswer))
			assert.Assert(t, api.IsKind(held.Release(t.Context()), api.KindConflict))
			_, answer, err := b.Claim(t.Context(), request("r2", "d"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome, api.OutcomeDone)
		},
		"no claim while the store is down": func(t *testing.T, service *fake.Platform, a, _ instance) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			_, _, err := a.Claim(t.Context(), request("r1", "d"))
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
		},
		"unrecorded outcome is recorded when the store returns": func(t *testing.T, service *fake.Platform, a, b instance) {
			held := mustClaim(t, a, "r1")
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			assert.Assert(t, api.IsKind(held.Settle(t.Context(), doneAnswer), api.KindStoreUnavailable))
			_, answer, err := a.Claim(t.Context(), request("r2", "d"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome, api.OutcomeDone)
			service.SetFault(nil)
			time.Sleep(10 * time.Second)
			assert.Equal(t, a.Unsettled(), 0)
			_, answer, err = b.Claim(t.Context(), request("r3", "d"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome, api.OutcomeDone)
		},
		"drain records the outcomes that the store missed": func(t *testing.T, service *fake.Platform, a, b instance) {
			held := mustClaim(t, a, "r1")
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			assert.Assert(t, api.IsKind(held.Settle(t.Context(), doneAnswer), api.KindStoreUnavailable))
			assert.Assert(t, api.IsKind(a.Drain(t.Context()), api.KindStoreUnavailable))
			service.SetFault(nil)
			time.Sleep(300 * time.Millisecond)
			assert.NilError(t, a.Drain(t.Context()))
			_, answer, err := b.Claim(t.Context(), request("r2", "d"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome, api.OutcomeDone)
		},
		"late insertion is fenced and the key is free again": func(t *testing.T, service *fake.Platform, a, b instance) {
			service.SetFault(func(call fake.Call) fake.Fault {
				if call.Op == "commit" {
					return fake.Fault{AppliesAfter: time.Minute}
				}
				return fake.Fault{Down: true}
			})
			_, _, err := a.Claim(t.Context(), request("r1", "d"))
			assert.Assert(t, api.IsKind(err, api.KindResultUnknown), "%v", err)
			service.SetFault(nil)
			time.Sleep(10 * time.Second)
			assert.Equal(t, a.Unsettled(), 0)
			time.Sleep(2 * time.Minute)
			mustClaim(t, b, "r2")
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				check(t, service, startInstance(t, service), startInstance(t, service))
			})
		})
	}
}

// TestMissedOutcomesAreRecordedInBatches checks that the outcomes of many
// claims held during an outage share commits when the store returns.
func TestMissedOutcomesAreRecordedInBatches(t *testing.T) {
	const claims = 500
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		a := startInstance(t, service)
		var calls sync.WaitGroup
		held := make([]claim.Held, claims)
		for i := range held {
			calls.Go(func() {
				own, _, err := a.Claim(t.Context(), claim.Request{Account: "acme", Key: fmt.Sprint(i), RequestID: fmt.Sprint(i)})
				assert.Check(t, err)
				held[i] = own
			})
		}
		calls.Wait()
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
		for i := range held {
			calls.Go(func() { _ = held[i].Settle(t.Context(), doneAnswer) })
		}
		calls.Wait()
		assert.Equal(t, a.Unsettled(), claims)
		service.SetFault(nil)
		before := service.Calls("commit")
		time.Sleep(10 * time.Second)
		assert.Equal(t, a.Unsettled(), 0)
		commits := service.Calls("commit") - before
		assert.Assert(t, commits <= claims/10, "%d commits", commits)
	})
}

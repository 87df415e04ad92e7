package invariants

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// claimsCase is a set of faults for the test of the order of claims.
type claimsCase struct {
	storeFaults float64
	outages     int
	planted     protocolFault
}

var claimsCases = map[string]claimsCase{
	"callers race":                     {},
	"answers of the store are lost":    {storeFaults: 0.3},
	"the platform is down":             {outages: 1},
	"lost answers and two outages":     {storeFaults: 0.4, outages: 2},
	"lost answers, repeatedly":         {storeFaults: 0.7},
	"the platform is down three times": {outages: 3},
}

// claimOp is an operation on a key as observed by its caller.
type claimOp struct {
	kind claimOpKind
	id   string
	// answerOf is the id of the request whose answer was replayed.
	answerOf string
	// unresolved marks an operation that may take effect later, or never.
	unresolved bool
}

type claimOpKind int

const (
	opGranted claimOpKind = iota
	opReplayed
	opSettled
	opReleased
)

// claimState is the state of a key in the model.
type claimState struct {
	holder  string
	settled bool
}

// claimModel models the claim of a key: it is granted only while it has no
// holder, and once it is settled every caller gets the settled answer.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{claimState{}} },
	Step: func(state, input, _ any) []any {
		next, ok := stepClaim(state.(claimState), input.(claimOp))
		switch op := input.(claimOp); {
		case ok && op.unresolved:
			return []any{state, next}
		case ok:
			return []any{next}
		case op.unresolved:
			return []any{state}
		}
		return nil
	},
}

func stepClaim(state claimState, op claimOp) (next claimState, ok bool) {
	isHolder := state.holder == op.id && !state.settled
	switch op.kind {
	case opGranted:
		return claimState{holder: op.id}, state.holder == ""
	case opReplayed:
		return state, state.settled && state.holder == op.answerOf
	case opSettled:
		return claimState{holder: op.id, settled: true}, isHolder
	default:
		return claimState{}, isHolder
	}
}

// TestClaimsAreLinearizable checks that claims, replays, settlements and
// releases of a key at several instances are linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	forEachCase(t, claimsCases, 5, func(t *testing.T, test claimsCase, seed uint64) []string {
		return simulateClaims(t, test, seed)
	})
}

func TestClaimsOrderCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []protocolFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return simulateClaims(t, claimsCase{storeFaults: 0.4, planted: fault}, seed)
			})
		})
	}
}

// claimsRecorder collects the history of operations on one key.
type claimsRecorder struct {
	mu         sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

func (r *claimsRecorder) add(op claimOp, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := int64(time.Since(r.started))
	if op.unresolved {
		end = math.MaxInt64
	}
	r.operations = append(r.operations, porcupine.Operation{ClientId: len(r.operations), Input: op, Call: call, Return: end})
}

func simulateClaims(t *testing.T, test claimsCase, seed uint64) []string {
	var result porcupine.CheckResult
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		faults := rand.New(rand.NewPCG(seed, 80))
		service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		recorder := &claimsRecorder{started: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		var loops, callers sync.WaitGroup
		var stacks []*platform.Stack
		for i := range 3 {
			random := rand.New(rand.NewPCG(seed, 90+uint64(i)))
			node := &faultyNode{}
			stack := platform.NewStack(&platformLink{Platform: service, node: node, fault: test.planted})
			stacks = append(stacks, stack)
			store := claim.New(stack)
			loops.Go(func() { store.Run(ctx) })
			for range test.outages {
				time.AfterFunc(time.Duration(random.IntN(20000))*time.Millisecond, func() { node.cutOff(5 * time.Second) })
			}
			for n := range 4 {
				source := rand.New(rand.NewPCG(seed, 100+uint64(10*i+n)))
				callers.Go(func() { recorder.claimAndResolve(ctx, store, fmt.Sprintf("r%d-%d", i, n), source) })
			}
		}
		callers.Wait()
		cancel()
		loops.Wait()
		for _, stack := range stacks {
			stack.Close()
		}
		time.Sleep(time.Minute)
		result = porcupine.CheckOperationsTimeout(claimModel.ToModel(), recorder.operations, time.Minute)
	})
	if result != porcupine.Ok {
		return []string{fmt.Sprintf("the history is not linearizable: %v", result)}
	}
	return nil
}

// claimAndResolve claims the key after a random delay, and settles or releases
// the claim if it is granted.
func (r *claimsRecorder) claimAndResolve(ctx context.Context, store *claim.Store, id string, random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(20000)) * time.Millisecond)
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(1+random.IntN(8))*time.Second)
	defer cancel()
	call := int64(time.Since(r.started))
	heldClaim, answer, err := store.Claim(claimCtx, claim.Request{Account: "acme", Key: "k", RequestID: id, BodyDigest: "d", Holder: id})
	switch {
	case err != nil:
		return
	case answer != nil && answer.Outcome == api.OutcomeDone:
		r.add(claimOp{kind: opReplayed, id: id, answerOf: answer.ID}, call)
		return
	case heldClaim == nil:
		return
	}
	r.add(claimOp{kind: opGranted, id: id}, call)
	time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	call = int64(time.Since(r.started))
	if random.IntN(3) > 0 {
		err = heldClaim.Release(ctx)
		r.add(claimOp{kind: opReleased, id: id, unresolved: err != nil}, call)
		return
	}
	err = heldClaim.Settle(ctx, api.RequestAnswer{ID: id, Outcome: api.OutcomeDone})
	r.add(claimOp{kind: opSettled, id: id, unresolved: err != nil}, call)
}

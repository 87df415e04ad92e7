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

// claimsCase is one row of the fault table for the order of claims.
type claimsCase struct {
	storeFaults float64
	outages     int
	planted     stateFault
}

var claimsCases = map[string]claimsCase{
	"arrivals race":                  {},
	"answers of the store are lost":  {storeFaults: 0.3},
	"the platform is down":           {outages: 1},
	"lost answers and two outages":   {storeFaults: 0.4, outages: 2},
	"lost answers again and again":   {storeFaults: 0.7},
	"the platform is down and again": {outages: 3},
}

// claimOp is one operation on a key as its caller saw it.
type claimOp struct {
	kind claimOpKind
	id   string
	// answerOf is the id that a replayed answer belongs to.
	answerOf string
	// open says that the operation may take effect later, or never.
	open bool
}

type claimOpKind int

const (
	opGranted claimOpKind = iota
	opReplayed
	opSettled
	opGivenUp
)

// claimState is the state of one key in the model.
type claimState struct {
	holder  string
	settled bool
}

// claimModel is a key's claim: it is granted only while nobody holds it, and
// after it is settled everybody gets that answer.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{claimState{}} },
	Step: func(state, input, _ any) []any {
		next, ok := stepClaim(state.(claimState), input.(claimOp))
		switch op := input.(claimOp); {
		case ok && op.open:
			return []any{state, next}
		case ok:
			return []any{next}
		case op.open:
			return []any{state}
		}
		return nil
	},
}

func stepClaim(state claimState, op claimOp) (next claimState, ok bool) {
	mine := state.holder == op.id && !state.settled
	switch op.kind {
	case opGranted:
		return claimState{holder: op.id}, state.holder == ""
	case opReplayed:
		return state, state.settled && state.holder == op.answerOf
	case opSettled:
		return claimState{holder: op.id, settled: true}, mine
	default:
		return claimState{}, mine
	}
}

// TestClaimsAreLinearizable checks the order of claims, replays, settlements
// and releases of single keys at several instances.
func TestClaimsAreLinearizable(t *testing.T) {
	everyCase(t, claimsCases, 5, func(t *testing.T, test claimsCase, seed uint64) []string {
		return playClaims(t, test, seed)
	})
}

func TestClaimsOrderCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []stateFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return playClaims(t, claimsCase{storeFaults: 0.4, planted: fault}, seed)
			})
		})
	}
}

// claimsRecorder collects the history of one key.
type claimsRecorder struct {
	mu         sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

func (r *claimsRecorder) add(op claimOp, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := int64(time.Since(r.started))
	if op.open {
		end = math.MaxInt64
	}
	r.operations = append(r.operations, porcupine.Operation{ClientId: len(r.operations), Input: op, Call: call, Return: end})
}

func playClaims(t *testing.T, test claimsCase, seed uint64) []string {
	var result porcupine.CheckResult
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		faults := rand.New(rand.NewPCG(seed, 80))
		service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		recorder := &claimsRecorder{started: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		var duties, arrivals sync.WaitGroup
		var stacks []*platform.Stack
		for i := range 3 {
			random := rand.New(rand.NewPCG(seed, 90+uint64(i)))
			node := &stateNode{}
			stack := platform.NewStack(&nodeLink{Platform: service, node: node, fault: test.planted})
			stacks = append(stacks, stack)
			store := claim.New(stack)
			duties.Go(func() { store.Run(ctx) })
			for range test.outages {
				time.AfterFunc(time.Duration(random.IntN(20000))*time.Millisecond, func() { node.cutOff(5 * time.Second) })
			}
			for n := range 4 {
				source := rand.New(rand.NewPCG(seed, 100+uint64(10*i+n)))
				arrivals.Go(func() { recorder.arrive(ctx, store, fmt.Sprintf("r%d-%d", i, n), source) })
			}
		}
		arrivals.Wait()
		cancel()
		duties.Wait()
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

// arrive claims the key after a while, and settles or gives up what it holds.
func (r *claimsRecorder) arrive(ctx context.Context, store *claim.Store, id string, random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(20000)) * time.Millisecond)
	limited, cancel := context.WithTimeout(ctx, time.Duration(1+random.IntN(8))*time.Second)
	defer cancel()
	call := int64(time.Since(r.started))
	held, answer, err := store.Claim(limited, claim.Request{Account: "acme", Key: "k", RequestID: id, BodyDigest: "d", Holder: id})
	switch {
	case err != nil:
		return
	case answer != nil && answer.Outcome == api.OutcomeDone:
		r.add(claimOp{kind: opReplayed, id: id, answerOf: answer.ID}, call)
		return
	case held == nil:
		return
	}
	r.add(claimOp{kind: opGranted, id: id}, call)
	time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	call = int64(time.Since(r.started))
	if random.IntN(3) > 0 {
		err = held.GiveUp(ctx)
		r.add(claimOp{kind: opGivenUp, id: id, open: err != nil}, call)
		return
	}
	err = held.Settle(ctx, api.RequestAnswer{ID: id, Outcome: api.OutcomeDone})
	r.add(claimOp{kind: opSettled, id: id, open: err != nil}, call)
}

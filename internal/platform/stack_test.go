package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// faultFirst returns a fault function that injects fault into the first n commits.
func faultFirst(n int, fault fake.Fault) func(fake.Call) fake.Fault {
	return func(call fake.Call) fake.Fault {
		if call.Op != "commit" || n == 0 {
			return fake.Fault{}
		}
		n--
		return fault
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	cases := map[string]struct {
		faults    func(fake.Call) fake.Fault
		rowExists bool
		want      platform.CommitState
	}{
		"lost before the write: the repeat writes":     {faultFirst(1, fake.Fault{LoseRequest: true}), false, platform.CommitDone},
		"lost after the write: the repeat reads back":  {faultFirst(1, fake.Fault{LoseAnswer: true}), false, platform.CommitDone},
		"lost twice after the write":                   {faultFirst(2, fake.Fault{LoseAnswer: true}), false, platform.CommitDone},
		"a delayed write: the repeat is applied first": {faultFirst(1, fake.Fault{AppliesAfter: time.Minute}), false, platform.CommitDone},
		"a conflict after a lost answer is not done":   {faultFirst(1, fake.Fault{LoseRequest: true}), true, platform.CommitNotDone},
		"always lost: unknown":                         {faultFirst(1000, fake.Fault{LoseRequest: true}), false, platform.CommitUnknown},
		"down from the start: not done":                {faultFirst(1000, fake.Fault{Down: true}), false, platform.CommitNotDone},
		"lost, then down: unknown, may be written":     {lostThenDown(), false, platform.CommitUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				stack := platform.NewStack(service)
				defer stack.Close()
				if test.rowExists {
					service.Commit(t.Context(), platform.PurposeClaim, put("other", "a", 0, `0`))
				}
				service.SetFault(test.faults)
				result := stack.Commit(t.Context(), platform.PurposeClaim, put("w1", "a", 0, `1`))
				assert.Equal(t, result.State, test.want)
				service.SetFault(nil)
				time.Sleep(2 * time.Minute)
				row := readOne(t, service, "a")
				switch {
				case test.want == platform.CommitDone:
					assert.Equal(t, row.WriteID, "w1")
				case test.want == platform.CommitNotDone:
					assert.Assert(t, row.WriteID != "w1")
				}
			})
		})
	}
}

func lostThenDown() func(fake.Call) fake.Fault {
	commits := 0
	return func(call fake.Call) fake.Fault {
		if call.Op != "commit" {
			return fake.Fault{Down: true}
		}
		commits++
		return fake.Fault{LoseAnswer: commits == 1, Down: commits > 1}
	}
}

// TestReadBackFromAStoreWithoutWriteIDs uses a store that keeps no write ids. A lost
// answer must be resolved by the write id of the row, for single and for grouped
// transactions.
func TestReadBackFromAStoreWithoutWriteIDs(t *testing.T) {
	for name, transactions := range map[string]int{"alone": 1, "in a group": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				service.SetForgetsWriteIDs(true)
				service.SetFault(faultFirst(1, fake.Fault{LoseAnswer: true}))
				stack := platform.NewStack(service)
				defer stack.Close()
				states := make([]platform.CommitState, transactions)
				var calls sync.WaitGroup
				for i := range states {
					calls.Go(func() {
						tx := put(fmt.Sprintf("w%d", i), fmt.Sprintf("k%d", i), 0, `1`)
						states[i] = stack.Commit(t.Context(), platform.PurposeClaim, tx).State
					})
				}
				calls.Wait()
				for i, state := range states {
					assert.Equal(t, state, platform.CommitDone, "transaction %d", i)
				}
			})
		})
	}
}

func TestGroupedWritesIsolateConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		service.Commit(t.Context(), platform.PurposeClaim, put("taken", "k7", 0, `0`))
		before := service.Calls("commit")
		stack := platform.NewStack(service)
		defer stack.Close()
		states := make([]platform.CommitState, 40)
		var calls sync.WaitGroup
		for i := range states {
			calls.Go(func() {
				tx := put(fmt.Sprintf("w%d", i), fmt.Sprintf("k%d", i), 0, `1`)
				states[i] = stack.Commit(t.Context(), platform.PurposeClaim, tx).State
			})
		}
		calls.Wait()
		for i, state := range states {
			want := platform.CommitDone
			if i == 7 {
				want = platform.CommitNotDone
			}
			assert.Equal(t, state, want, "transaction %d", i)
		}
		assert.Equal(t, service.Calls("commit")-before, 2)
	})
}

func TestBudgetServesPurposesByPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		budget := platform.NewBudgetedTables(service)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var submissions sync.WaitGroup
		for i := range 50 {
			submissions.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					time.Sleep(time.Millisecond)
					budget.Commit(ctx, platform.PurposeSubmission, put(fmt.Sprintf("f%d-%d", i, n), fmt.Sprintf("f%d", i), 0, `1`))
				}
			})
		}
		time.Sleep(time.Second)
		for i := range 5 {
			began := time.Now()
			result := budget.Commit(ctx, platform.PurposeLease, put(fmt.Sprintf("l%d", i), fmt.Sprintf("l%d", i), 0, `1`))
			assert.Equal(t, result.State, platform.CommitDone)
			assert.Assert(t, time.Since(began) == 0, "a lease write waited %v behind submissions", time.Since(began))
		}
		submissions.Wait()
		limit := 11 * platform.StoreWritesPerSecond / 8
		assert.Assert(t, service.Calls("commit") <= limit, "%d commits, at most %d", service.Calls("commit"), limit)
	})
}

func TestBudgetFollowsTheNumberOfInstances(t *testing.T) {
	cases := map[string]int{"alone": 1, "two instances": 2, "eight instances": 8}
	for name, instances := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				budget := platform.NewBudgetedTables(service)
				budget.SetInstances(instances)
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				for ctx.Err() == nil {
					time.Sleep(100 * time.Microsecond)
					_, _ = budget.Read(ctx, platform.PurposeLease, ref("a"))
				}
				share := platform.StoreReadsPerSecond / instances
				got := service.Calls("read")
				assert.Assert(t, got >= 4*share*9/10 && got <= 5*share+1, "%d reads, share %d", got, share)
			})
		})
	}
}

func TestBreakerFailsFastAndSpreadsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		stacks := make([]*platform.Stack, 8)
		for i := range stacks {
			stacks[i] = platform.NewStack(service)
			defer stacks[i].Close()
		}
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{LoseRequest: true} })
		for _, stack := range stacks {
			for range 3 {
				_, _ = stack.Read(t.Context(), platform.PurposeClaim, ref("a"))
			}
			assert.Assert(t, !stack.Reachable())
			began := time.Now()
			result := stack.Commit(t.Context(), platform.PurposeClaim, put(platform.NewWriteID(), "a", 0, `1`))
			assert.Equal(t, result.State, platform.CommitNotDone)
			assert.Assert(t, time.Since(began) == 0)
		}
		before := service.Calls("read")
		time.Sleep(time.Minute)
		probes := service.Calls("read") - before
		assert.Assert(t, probes <= 8*70, "%d probes in a minute", probes)
		service.SetFault(nil)
		time.Sleep(3 * time.Second)
		for _, stack := range stacks {
			assert.Assert(t, stack.Reachable())
		}
		assert.Equal(t, service.Calls("commit"), 0)
	})
}

func TestStackMetricsCountStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stack := platform.NewStack(fake.New())
		defer stack.Close()
		stack.Commit(t.Context(), platform.PurposeClaim, put("w1", "a", 0, `1`))
		var out strings.Builder
		stack.WriteMetrics(&out)
		assert.Assert(t, strings.Contains(out.String(), `corianderbank_store_calls_total{kind="write"} 1`), out.String())
		assert.Assert(t, strings.Contains(out.String(), "corianderbank_store_reachable 1"), out.String())
	})
}

// TestStackUnderRandomFaults checks under random faults that transactions reported
// as done are in the table and that those reported as not done never appear there.
func TestStackUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			faults := rand.New(rand.NewPCG(seed, 2))
			service := fake.New()
			service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, 0.4) })
			stack := platform.NewStack(service)
			states := make([]platform.CommitState, 60)
			var calls sync.WaitGroup
			for i := range states {
				delay := time.Duration(random.IntN(2000)) * time.Millisecond
				key := fmt.Sprintf("k%d", random.IntN(30))
				calls.Go(func() {
					time.Sleep(delay)
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					states[i] = stack.Commit(ctx, platform.PurposeClaim, put(fmt.Sprintf("w%d", i), key, 0, fmt.Sprint(i))).State
				})
			}
			calls.Wait()
			stack.Close()
			time.Sleep(time.Minute)
			service.SetFault(nil)
			written := make(map[string]bool)
			for i := range 30 {
				written[string(readOne(t, service, fmt.Sprintf("k%d", i)).Value)] = true
			}
			for i, state := range states {
				present := written[fmt.Sprint(i)]
				assert.Assert(t, state != platform.CommitDone || present, "seed %d: transaction %d was done but is absent", seed, i)
				assert.Assert(t, state != platform.CommitNotDone || !present, "seed %d: transaction %d was not done but is present", seed, i)
			}
		})
	}
}

// TestReturnAfterOutageStaysInsideTheBudget lets the store recover while eight
// instances have many pending writes, and counts the commits that reach it each second.
func TestReturnAfterOutageStaysInsideTheBudget(t *testing.T) {
	const writers = 60
	synctest.Test(t, func(t *testing.T) {
		service := fake.New()
		began := time.Now()
		perSecond := make(map[int]int)
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var calls sync.WaitGroup
		for i := range 8 {
			stack := platform.NewStack(service)
			defer stack.Close()
			for w := range writers {
				calls.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						id := fmt.Sprintf("%d-%d-%d", i, w, n)
						if stack.Commit(ctx, platform.PurposeOutcome, put(id, id, 0, `1`)).State != platform.CommitDone {
							time.Sleep(time.Second)
						}
					}
				})
			}
		}
		time.Sleep(20 * time.Second)
		service.SetFault(func(call fake.Call) fake.Fault {
			if call.Op == "commit" {
				perSecond[int(time.Since(began)/time.Second)]++
			}
			return fake.Fault{Delay: 5 * time.Millisecond}
		})
		calls.Wait()
		most, total := 0, 0
		for _, count := range perSecond {
			most, total = max(most, count), total+count
		}
		t.Logf("%d commits in 10 s, at most %d in one second", total, most)
		assert.Assert(t, most <= 2*platform.StoreWritesPerSecond, "%d commits in one second", most)
		assert.Assert(t, total > 5*platform.StoreWritesPerSecond, "%d commits in 10 s", total)
	})
}

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func sound() Attempt {
	return Attempt{
		Idempotent: true, MaxRetries: 2, Deadline: now.Add(time.Second),
		Expected: 100 * time.Millisecond, Others: 3,
	}
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		change func(*Attempt)
		again  bool
	}{
		"idempotent work within budget and deadline goes again":   {func(*Attempt) {}, true},
		"work that may have run twice with harm does not":         {func(a *Attempt) { a.Idempotent = false }, false},
		"non-idempotent work that certainly did not run does":     {func(a *Attempt) { a.Idempotent, a.NotRun = false, true }, true},
		"the rule's bound holds":                                  {func(a *Attempt) { a.Retries = 2 }, false},
		"a rule without retries holds for work that did not run":  {func(a *Attempt) { a.NotRun, a.MaxRetries = true, 0 }, false},
		"no time left for the expected run time":                  {func(a *Attempt) { a.Expected = 2 * time.Second }, false},
		"no other backend server":                                 {func(a *Attempt) { a.Others = 0 }, false},
		"exactly enough time left":                                {func(a *Attempt) { a.Expected = time.Second }, true},
		"a request past its deadline":                             {func(a *Attempt) { a.Deadline = now.Add(-1) }, false},
		"non-idempotent work that may have run, with no deadline": {func(a *Attempt) { a.Idempotent, a.Retries = false, 2 }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			attempt := sound()
			c.change(&attempt)
			decision := NewBudget().Decide(attempt, now)
			assert.Equal(t, decision.Again, c.again, decision.Reason)
			assert.Assert(t, decision.Reason != "")
		})
	}
}

func TestBudgetBoundsRetriesWhenEveryAttemptFails(t *testing.T) {
	budget, retries := NewBudget(), 0
	const firsts = 1000
	for range firsts {
		budget.First()
		if budget.Decide(sound(), now).Again {
			retries++
		}
	}
	assert.Assert(t, retries <= int(Burst+Ratio*firsts), "%d retries", retries)
	assert.Assert(t, retries >= int(Ratio*firsts)-1, "%d retries", retries)
}

func TestBudgetCheckCatchesAnUnlimitedBudget(t *testing.T) {
	budget, retries := NewUnlimited(), 0
	for range 1000 {
		budget.First()
		if budget.Decide(sound(), now).Again {
			retries++
		}
	}
	assert.Equal(t, retries, 1000)
}

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func retryableAttempt() Attempt {
	return Attempt{
		Account: "a", Idempotent: true, MaxRetries: 2, Deadline: now.Add(time.Second),
		Expected: 100 * time.Millisecond, Others: 3,
	}
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		change  func(*Attempt)
		retried bool
	}{
		"idempotent work within budget and deadline is retried":        {func(*Attempt) {}, true},
		"non-idempotent work that may have run is not retried":         {func(a *Attempt) { a.Idempotent = false }, false},
		"non-idempotent work that definitely did not run is retried":   {func(a *Attempt) { a.Idempotent, a.NotRun = false, true }, true},
		"the rule's limit applies":                                     {func(a *Attempt) { a.Retries = 2 }, false},
		"a rule without retries also applies to work that did not run": {func(a *Attempt) { a.NotRun, a.MaxRetries = true, 0 }, false},
		"no time left for the expected run time":                       {func(a *Attempt) { a.Expected = 2 * time.Second }, false},
		"no other backend server":                                      {func(a *Attempt) { a.Others = 0 }, false},
		"exactly enough time left":                                     {func(a *Attempt) { a.Expected = time.Second }, true},
		"a request past its deadline":                                  {func(a *Attempt) { a.Deadline = now.Add(-1) }, false},
		"non-idempotent work that may have run, with no retries left":  {func(a *Attempt) { a.Idempotent, a.Retries = false, 2 }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			attempt := retryableAttempt()
			c.change(&attempt)
			decision := NewBudget().Decide(attempt, now)
			assert.Equal(t, decision.Retry, c.retried, decision.Reason)
			assert.Assert(t, decision.Reason != "")
		})
	}
}

// countRetries simulates attempts, of which every failEvery-th fails, and
// returns the number of retries allowed.
func countRetries(budget *Budget, attempts, failEvery int) int {
	retries := 0
	for i := range attempts {
		if i%failEvery != 0 {
			budget.RecordAnswer("a")
			continue
		}
		if budget.Decide(retryableAttempt(), now).Retry {
			retries++
		}
	}
	return retries
}

func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		budget     *Budget
		failEvery  int
		minRetries int
		maxRetries int
	}{
		"an account whose requests all fail gets the burst":                  {NewBudget(), 1, Burst, Burst},
		"an account that fails on a third of the servers has enough retries": {NewBudget(), 3, 333, 334},
		"planted fault: an unlimited budget multiplies the attempts":         {NewUnlimited(), 1, 1000, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			retries := countRetries(c.budget, 1000, c.failEvery)
			assert.Assert(t, retries >= c.minRetries && retries <= c.maxRetries, "%d retries", retries)
		})
	}
}

func TestAccountsHaveSeparateBudgets(t *testing.T) {
	budget := NewBudget()
	countRetries(budget, 1000, 1)
	other := retryableAttempt()
	other.Account = "b"
	assert.Assert(t, budget.Decide(other, now).Retry)
}

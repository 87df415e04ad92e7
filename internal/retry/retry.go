// Package retry decides whether a request is dispatched again after an attempt
// that failed or returned no whole answer. It does no I/O: the time is passed in,
// and the caller must serialize the calls.
//
// Load pattern: one backend server or all of them fail or are slow, so many
// attempts end without an answer at the same time.
//
// Without a budget, each failed attempt causes up to MaxRetries more, and the
// load multiplies when the backend servers have the least capacity: requests of
// one account that fail everywhere occupy the slots of all other accounts.
// Without the idempotence rule, a request that must run at most once could run
// twice.
//
// Thresholds: an account earns one retry for every two answers. Retries are
// earned by answers rather than attempts, so an account whose requests all fail
// soon has none left, while one that fails on a third of the backend servers has
// enough. The burst of ten allows accounts with little load to retry at all.
package retry

import "time"

const (
	// RetriesPerAnswer is the part of a retry that each answer earns.
	RetriesPerAnswer = 0.5
	// Burst is the initial and maximum number of retries in an account's budget.
	Burst = 10.0
)

// Attempt describes an attempt that failed or returned no whole answer.
type Attempt struct {
	// Account is the client account.
	Account string
	// Idempotent reports whether running the request twice does no harm.
	Idempotent bool
	// NotRun reports that the request definitely did not run and will not run,
	// because the backend server rejected it or the connection failed.
	NotRun bool
	// Retries is the number of retries so far.
	Retries int
	// MaxRetries is the rule's limit on Retries.
	MaxRetries int
	// Deadline is the time by which the caller must have its answer.
	Deadline time.Time
	// Expected is the expected run time of the request.
	Expected time.Duration
	// Others is the number of backend servers that accept work and have not
	// been tried yet.
	Others int
}

// Decision is the result of Budget.Decide and its reason.
type Decision struct {
	Retry  bool
	Reason string
}

// Budget holds the retry budgets of the client accounts in one entry instance.
// It is not safe for concurrent use.
type Budget struct {
	tokens map[string]float64
	// unlimited disables the budget, as a baseline for measurements.
	unlimited bool
}

// NewBudget returns a budget in which every account has Burst retries.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64)} }

// NewUnlimited returns a budget that never runs out, the baseline for
// measurements.
func NewUnlimited() *Budget { return &Budget{tokens: make(map[string]float64), unlimited: true} }

// RecordAnswer credits the account with RetriesPerAnswer for a whole answer that
// reports no failure.
func (b *Budget) RecordAnswer(account string) {
	b.tokens[account] = min(b.Tokens(account)+RetriesPerAnswer, Burst)
}

// Tokens returns the number of retries left to the account.
func (b *Budget) Tokens(account string) float64 {
	tokens, ok := b.tokens[account]
	if !ok {
		return Burst
	}
	return tokens
}

// Decide reports whether the request is dispatched again, and if so takes one
// retry from the account's budget.
func (b *Budget) Decide(attempt Attempt, now time.Time) Decision {
	switch {
	case !attempt.Idempotent && !attempt.NotRun:
		return Decision{Reason: "not idempotent and may have run"}
	case attempt.Retries >= attempt.MaxRetries:
		return Decision{Reason: "the rule allows no more retries"}
	case attempt.Others <= 0:
		return Decision{Reason: "no other backend server takes work"}
	case now.Add(attempt.Expected).After(attempt.Deadline):
		return Decision{Reason: "the time left is shorter than the expected run time"}
	case b.Tokens(attempt.Account) < 1 && !b.unlimited:
		return Decision{Reason: "the retry budget of the account is spent"}
	}
	if !b.unlimited {
		b.tokens[attempt.Account] = b.Tokens(attempt.Account) - 1
	}
	return Decision{Retry: true, Reason: "another backend server may answer in time"}
}

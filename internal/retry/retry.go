// Package retry decides whether a request is dispatched again after an attempt
// that brought no whole answer. It is pure; the caller serializes the calls.
//
// Load pattern: a backend server, or all of them, fail or are slow, so that many
// attempts end without an answer at the same time.
//
// Without a budget each failed attempt brings up to Retries more, and the load
// multiplies just when the backend servers can carry the least: requests of one
// account that fail everywhere take the slots of all others. Without the rule on
// idempotence a request that must run at most once runs twice.
//
// Thresholds: an account earns one retry by two answers. It is earned by answers
// and not by attempts, so that an account whose requests all fail soon has
// none, while one that fails on a third of the backend servers has enough. The
// burst of ten lets an account with little load retry at all.
package retry

import "time"

const (
	// Ratio is how much of a retry each answer earns.
	Ratio = 0.5
	// Burst is the most that an account saves up, and what it starts with.
	Burst = 10.0
)

// Attempt is what is known after an attempt that brought no whole answer.
type Attempt struct {
	// Account is the client account.
	Account string
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// NotRun says that the backend server, or the failed connect, made certain
	// that the request did not run and will not run.
	NotRun bool
	// Retries is how often the request was dispatched again so far.
	Retries int
	// MaxRetries is the rule's bound.
	MaxRetries int
	// Deadline is when the caller's answer is due.
	Deadline time.Time
	// Expected is the run time to plan with.
	Expected time.Duration
	// Others is the number of backend servers not yet tried that take work.
	Others int
}

// Decision says whether to dispatch again, and why.
type Decision struct {
	Again  bool
	Reason string
}

// Budget is the retry budget of one entry instance, by client account.
type Budget struct {
	tokens map[string]float64
	// unlimited switches the budget off, for measuring what it is worth.
	unlimited bool
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64)} }

// NewUnlimited returns a budget that never runs out. It is the baseline.
func NewUnlimited() *Budget { return &Budget{tokens: make(map[string]float64), unlimited: true} }

// Answered earns a part of a retry for a whole answer.
func (b *Budget) Answered(account string) {
	b.tokens[account] = min(b.Tokens(account)+Ratio, Burst)
}

// Tokens returns the number of retries that the account has left.
func (b *Budget) Tokens(account string) float64 {
	tokens, ok := b.tokens[account]
	if !ok {
		return Burst
	}
	return tokens
}

// Decide says whether the request is dispatched again, and takes the retry out
// of the budget if so.
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
	return Decision{Again: true, Reason: "another backend server may answer in time"}
}

// Package retry decides whether a request is dispatched again after an attempt
// that brought no whole answer. It is pure; the caller serializes the calls.
//
// Load pattern: a backend server, or all of them, fail or are slow, so that many
// attempts end without an answer at the same time.
//
// Without a budget each failed attempt brings up to Retries more, and the load
// multiplies just when the backend servers can carry the least. Without the rule
// on idempotence a request that must run at most once runs twice.
//
// Thresholds: one retry for ten first attempts bounds the added load to 10%,
// which a deployment at 90% of its capacity still carries. The burst of ten
// lets an instance with little load retry at all.
package retry

import "time"

const (
	// Ratio is how much of a retry each first attempt earns.
	Ratio = 0.1
	// Burst is the most that an instance saves up, and what it starts with.
	Burst = 10.0
)

// Attempt is what is known after an attempt that brought no whole answer.
type Attempt struct {
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

// Budget is the retry budget of one entry instance.
type Budget struct {
	tokens float64
	// unlimited switches the budget off, for measuring what it is worth.
	unlimited bool
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// NewUnlimited returns a budget that never runs out. It is the baseline.
func NewUnlimited() *Budget { return &Budget{unlimited: true} }

// First earns a part of a retry for a first attempt.
func (b *Budget) First() { b.tokens = min(b.tokens+Ratio, Burst) }

// Tokens returns the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

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
	case b.tokens < 1 && !b.unlimited:
		return Decision{Reason: "the retry budget is spent"}
	}
	if !b.unlimited {
		b.tokens--
	}
	return Decision{Again: true, Reason: "another backend server may answer in time"}
}

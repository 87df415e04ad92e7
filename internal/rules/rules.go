// Package rules implements decisions by an ordered list of when-then rules: the first
// rule whose when part matches a situation decides. The package is pure.
package rules

import "math"

// Work is the type of work that a rule or a situation concerns.
type Work string

// The types of work.
const (
	WorkRequest Work = "request"
	WorkJob     Work = "job"
)

// When is the condition of a rule. An absent field matches everything; all present
// fields must match.
type When struct {
	// Work restricts the rule to requests or jobs.
	Work Work `json:"work,omitempty"`
	// Accounts, Kinds and Zones match if they contain the situation's value.
	Accounts []string `json:"accounts,omitempty"`
	Kinds    []string `json:"kinds,omitempty"`
	Zones    []string `json:"availability_zones,omitempty"`
	// MinAccelerators and MaxAccelerators bound a job's total, inclusively.
	MinAccelerators *int `json:"min_accelerators,omitempty"`
	MaxAccelerators *int `json:"max_accelerators,omitempty"`
	// SlackBelowS matches work with a deadline and less slack, in seconds.
	SlackBelowS *float64 `json:"slack_below_s,omitempty"`
	// SlackAtLeastS matches work with at least this slack, or no deadline.
	SlackAtLeastS *float64 `json:"slack_at_least_s,omitempty"`
	// Idempotent matches work by whether it is declared idempotent.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Keyed matches work by whether it carries an idempotency key.
	Keyed *bool `json:"keyed,omitempty"`
	// Urgent matches jobs by whether they are declared urgent; a request is never urgent.
	Urgent *bool `json:"urgent,omitempty"`
	// PlatformReachable matches by whether the zone can reach the platform's store.
	PlatformReachable *bool `json:"platform_reachable,omitempty"`
	// LoadAtLeast and LoadBelow compare the load level: running and waiting work
	// divided by the work that the zone can run concurrently.
	LoadAtLeast *float64 `json:"load_at_least,omitempty"`
	LoadBelow   *float64 `json:"load_below,omitempty"`
}

// Then is the decision of a rule. Absent fields take the defaults of Verdict.
type Then struct {
	// Refuse turns the work away; callers may retry after RetryAfterS, in seconds.
	Refuse      bool    `json:"refuse,omitempty"`
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
	// Priority orders work within a client account; higher goes first.
	Priority int `json:"priority,omitempty"`
	// MaxQueued bounds the account's waiting work that this rule admitted.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxWaitMS bounds the wait, in milliseconds.
	MaxWaitMS int64 `json:"max_wait_ms,omitempty"`
	// Retries bounds the dispatches after the first, for idempotent work.
	Retries *int `json:"retries,omitempty"`
	// Borrow lets a job use accelerators beyond its account's guarantee.
	Borrow *bool `json:"borrow,omitempty"`
	// Spill lets work run in another availability zone.
	Spill *bool `json:"spill,omitempty"`
}

// Rule is one entry of an ordered list of rules.
type Rule struct {
	Name string `json:"name"`
	When When   `json:"when"`
	Then Then   `json:"then"`
}

// Situation holds the values that rules are matched against.
type Situation struct {
	Work         Work    `json:"work"`
	Account      string  `json:"account"`
	Kind         string  `json:"kind"`
	Zone         string  `json:"availability_zone"`
	Accelerators int     `json:"accelerators"`
	HasDeadline  bool    `json:"has_deadline"`
	SlackS       float64 `json:"slack_s"`
	Idempotent   bool    `json:"idempotent"`
	Keyed        bool    `json:"keyed"`
	Urgent       bool    `json:"urgent"`
	// PlatformReachable reports whether the zone can reach the platform's store.
	PlatformReachable bool `json:"platform_reachable"`
	// Load is the load level of the zone.
	Load float64 `json:"load"`
}

// Verdict is the decision of the first matching rule with defaults filled in.
type Verdict struct {
	Rule        string
	Refuse      bool
	RetryAfterS float64
	Priority    int
	MaxQueued   int
	MaxWaitMS   int64
	Retries     int
	Borrow      bool
	Spill       bool
}

// Defaults of a then part.
const (
	DefaultRetryAfterS = 60
	DefaultRetries     = 2
	DefaultBorrow      = true
	DefaultSpill       = true
)

// Set is an ordered list of rules. It is immutable.
type Set struct {
	rules []Rule
}

// NewSet returns a set of rules that Check has found to be valid.
func NewSet(list []Rule) *Set { return &Set{rules: list} }

// Rules returns the rules in order. The caller must not change them.
func (s *Set) Rules() []Rule { return s.rules }

// Decide returns the verdict of the first matching rule. A valid set ends with a rule
// that matches everything; without one, unmatched work is refused.
func (s *Set) Decide(situation Situation) Verdict {
	for _, rule := range s.rules {
		if firstMismatch(rule.When, situation) == "" {
			return verdictOf(rule)
		}
	}
	return Verdict{Refuse: true, RetryAfterS: DefaultRetryAfterS}
}

func verdictOf(rule Rule) Verdict {
	then := rule.Then
	verdict := Verdict{
		Rule: rule.Name, Refuse: then.Refuse, RetryAfterS: then.RetryAfterS, Priority: then.Priority,
		MaxQueued: then.MaxQueued, MaxWaitMS: then.MaxWaitMS,
		Retries: DefaultRetries, Borrow: DefaultBorrow, Spill: DefaultSpill,
	}
	if verdict.Refuse && verdict.RetryAfterS == 0 {
		verdict.RetryAfterS = DefaultRetryAfterS
	}
	if then.Retries != nil {
		verdict.Retries = *then.Retries
	}
	if then.Borrow != nil {
		verdict.Borrow = *then.Borrow
	}
	if then.Spill != nil {
		verdict.Spill = *then.Spill
	}
	return verdict
}

// Step is the result of one rule in an explanation.
type Step struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"matched"`
	// MismatchedField names the first field that did not match; empty for a match.
	MismatchedField string `json:"why,omitempty"`
	// Detail describes how that field differs from the situation.
	Detail string `json:"detail,omitempty"`
}

// Explain returns the rules up to the one that decides, with the reason why each rule
// before it did not match.
func (s *Set) Explain(situation Situation) []Step {
	var steps []Step
	for _, rule := range s.rules {
		field := firstMismatch(rule.When, situation)
		steps = append(steps, Step{Rule: rule.Name, Matched: field == "", MismatchedField: field, Detail: mismatchDetail(field, rule.When, situation)})
		if field == "" {
			break
		}
	}
	return steps
}

// firstMismatch returns the name of the first field of when that does not match, or an
// empty string if all do.
func firstMismatch(when When, s Situation) string {
	slack := math.Inf(1)
	if s.HasDeadline {
		slack = s.SlackS
	}
	checks := []struct {
		field string
		ok    bool
	}{
		{"work", when.Work == "" || when.Work == s.Work},
		{"accounts", listMatches(when.Accounts, s.Account)},
		{"kinds", listMatches(when.Kinds, s.Kind)},
		{"availability_zones", listMatches(when.Zones, s.Zone)},
		{"min_accelerators", when.MinAccelerators == nil || s.Accelerators >= *when.MinAccelerators},
		{"max_accelerators", when.MaxAccelerators == nil || s.Accelerators <= *when.MaxAccelerators},
		{"slack_below_s", when.SlackBelowS == nil || slack < *when.SlackBelowS},
		{"slack_at_least_s", when.SlackAtLeastS == nil || slack >= *when.SlackAtLeastS},
		{"idempotent", flagMatches(when.Idempotent, s.Idempotent)},
		{"keyed", flagMatches(when.Keyed, s.Keyed)},
		{"urgent", flagMatches(when.Urgent, s.Urgent)},
		{"platform_reachable", flagMatches(when.PlatformReachable, s.PlatformReachable)},
		{"load_at_least", when.LoadAtLeast == nil || s.Load >= *when.LoadAtLeast},
		{"load_below", when.LoadBelow == nil || s.Load < *when.LoadBelow},
	}
	for _, check := range checks {
		if !check.ok {
			return check.field
		}
	}
	return ""
}

// listMatches reports whether a list contains a value. An empty list matches everything.
func listMatches(list []string, value string) bool {
	if len(list) == 0 {
		return true
	}
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}

// flagMatches reports whether a value is the wanted one; nil matches both values.
func flagMatches(want *bool, value bool) bool { return want == nil || *want == value }

package rules

import (
	"fmt"
	"slices"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Check finds the problems of a list of rules that the schema of the configuration
// cannot express: duplicate names, unknown client accounts, conditions that match
// nothing, contradictory decisions, rules that can never decide, and a missing
// catch-all. path is the JSON pointer of the list in the file that positions indexes.
// accounts are the names of the configured client accounts.
func Check(list []Rule, accounts []string, path string, positions *strictjson.Positions) []api.Problem {
	c := &checker{list: list, accounts: accounts, path: path, positions: positions}
	c.checkNames()
	for i, rule := range list {
		c.checkAccounts(i, rule.When)
		c.checkWhen(i, rule.When)
		c.checkThen(i, rule)
	}
	c.checkReachability()
	c.checkCatchAll()
	return c.problems
}

type checker struct {
	list      []Rule
	accounts  []string
	path      string
	positions *strictjson.Positions
	problems  []api.Problem
	// contradictory marks the rules whose condition has been found to match nothing.
	contradictory map[int]bool
}

// addProblem adds a problem of rule i; subpath is the JSON pointer below the rule.
func (c *checker) addProblem(i int, subpath, format string, args ...any) {
	at := fmt.Sprintf("%s/%d%s", c.path, i, subpath)
	c.problems = append(c.problems, c.positions.Problem(at, fmt.Sprintf(format, args...)))
}

func (c *checker) checkNames() {
	first := make(map[string]int, len(c.list))
	for i, rule := range c.list {
		if j, taken := first[rule.Name]; taken {
			c.addProblem(i, "/name", "duplicate name %q, first used by rule %d", rule.Name, j+1)
			continue
		}
		first[rule.Name] = i
	}
}

func (c *checker) checkAccounts(i int, when When) {
	for k, account := range when.Accounts {
		if !slices.Contains(c.accounts, account) {
			c.addProblem(i, fmt.Sprintf("/when/accounts/%d", k), "unknown client account %q", account)
		}
	}
}

// checkWhen finds conditions that match nothing regardless of other rules.
func (c *checker) checkWhen(i int, when When) {
	contradiction := func(subpath, format string, args ...any) {
		if c.contradictory == nil {
			c.contradictory = make(map[int]bool)
		}
		c.contradictory[i] = true
		c.addProblem(i, "/when"+subpath, "matches nothing: "+format, args...)
	}
	if low, high := when.MinAccelerators, when.MaxAccelerators; low != nil && high != nil && *low > *high {
		contradiction("/min_accelerators", "min_accelerators %d is above max_accelerators %d", *low, *high)
	}
	if low, high := when.SlackAtLeastS, when.SlackBelowS; low != nil && high != nil && *low >= *high {
		contradiction("/slack_at_least_s", "slack_at_least_s %g is not below slack_below_s %g", *low, *high)
	}
	if low, high := when.LoadAtLeast, when.LoadBelow; low != nil && high != nil && *low >= *high {
		contradiction("/load_at_least", "load_at_least %g is not below load_below %g", *low, *high)
	}
	if when.Work == WorkRequest && when.MinAccelerators != nil && *when.MinAccelerators > 0 {
		contradiction("/min_accelerators", "a request has no accelerators")
	}
	if when.Work == WorkRequest && when.Urgent != nil && *when.Urgent {
		contradiction("/urgent", "a request is never urgent")
	}
	if when.Work == WorkJob && when.MaxAccelerators != nil && *when.MaxAccelerators < 1 {
		contradiction("/max_accelerators", "a job has at least one accelerator")
	}
}

// checkThen finds decisions that contradict themselves or their condition.
func (c *checker) checkThen(i int, rule Rule) {
	then := rule.Then
	if then.Refuse {
		for _, field := range admissionFields(then) {
			c.addProblem(i, "/then/"+field, "%s has no meaning beside refuse", field)
		}
	}
	if !then.Refuse && then.RetryAfterS != 0 {
		c.addProblem(i, "/then/retry_after_s", "retry_after_s has no meaning without refuse")
	}
	if rule.When.Work == WorkRequest && then.Borrow != nil {
		c.addProblem(i, "/then/borrow", "borrow has no meaning for requests")
	}
	if rule.When.Work == WorkJob && then.Retries != nil {
		c.addProblem(i, "/then/retries", "retries has no meaning for jobs")
	}
}

// admissionFields returns the present fields that apply only to admitted work.
func admissionFields(then Then) []string {
	var fields []string
	add := func(present bool, field string) {
		if present {
			fields = append(fields, field)
		}
	}
	add(then.Priority != 0, "priority")
	add(then.MaxQueued != 0, "max_queued")
	add(then.MaxWaitMS != 0, "max_wait_ms")
	add(then.Retries != nil, "retries")
	add(then.Borrow != nil, "borrow")
	add(then.Spill != nil, "spill")
	return fields
}

func (c *checker) checkReachability() {
	analysis := newReachability(c.list)
	for i := range c.list {
		if c.contradictory[i] {
			continue
		}
		if len(analysis.pieces(i)) == 0 {
			c.addProblem(i, "/when", "matches nothing: no request and no job is like that")
			continue
		}
		switch above := analysis.shadowedBy(i); {
		case len(above) == 1:
			c.addProblem(i, "", "can never decide: rule %s above matches everything it matches", quoted(above))
		case len(above) > 1:
			c.addProblem(i, "", "can never decide: the rules %s above together match everything it matches", quoted(above))
		}
	}
}

func (c *checker) checkCatchAll() {
	last := len(c.list) - 1
	if last < 0 {
		c.problems = append(c.problems, c.positions.Problem(c.path, "there is no rule; the last one must match everything"))
		return
	}
	if !isCatchAll(c.list[last].When) {
		c.addProblem(last, "/when", "the last rule must match everything: its condition must be empty")
	}
}

func isCatchAll(when When) bool {
	return firstMismatch(when, Situation{}) == "" && len(presentFields(when)) == 0
}

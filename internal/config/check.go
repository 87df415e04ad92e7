package config

import (
	"fmt"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Check is the Checker of a whole document: unique names of client accounts,
// guarantees that contradict neither themselves nor the account's limit,
// objectives, and the rules. It knows nothing of the workers there are; whether
// the guarantees pack is for the placement to say.
func Check(document *Document, positions *strictjson.Positions) []api.Problem {
	c := &documentChecker{positions: positions}
	seen := make(map[string]bool, len(document.Accounts))
	names := make([]string, 0, len(document.Accounts))
	for i, account := range document.Accounts {
		path := fmt.Sprintf("/client_accounts/%d", i)
		if seen[account.Name] {
			c.problem(path+"/name", "duplicate client account %q", account.Name)
		}
		seen[account.Name] = true
		names = append(names, account.Name)
		c.account(path, account)
	}
	if weights := document.Objectives; weights.CompletionTime == 0 && weights.Fragmentation == 0 && c.has("/objectives") {
		c.problem("/objectives", "both weights are zero")
	}
	problems := append(c.problems, rules.Check(document.Rules, names, "/rules", positions)...)
	strictjson.Sort(problems)
	return problems
}

type documentChecker struct {
	positions *strictjson.Positions
	problems  []api.Problem
}

func (c *documentChecker) problem(path, format string, args ...any) {
	c.problems = append(c.problems, c.positions.Problem(path, fmt.Sprintf(format, args...)))
}

// has reports whether the file has a value at path.
func (c *documentChecker) has(path string) bool { return c.positions.Has(path) }

func (c *documentChecker) account(path string, account model.ClientAccount) {
	for zone, shapes := range account.Guarantees {
		at := path + "/guarantees/" + zone
		seen := make(map[api.Shape]bool, len(shapes))
		for k, shape := range shapes {
			if seen[shape.Shape] {
				c.problem(fmt.Sprintf("%s/%d", at, k), "the shape is listed twice; raise its count in place of that")
			}
			seen[shape.Shape] = true
		}
		total := account.GuaranteedAccelerators(zone)
		if account.MaxAccelerators > 0 && total > account.MaxAccelerators {
			c.problem(at, "guarantees %d accelerators, above the account's max_accelerators %d", total, account.MaxAccelerators)
		}
	}
}

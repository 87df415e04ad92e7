package config

import (
	"fmt"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Check is the Checker of a whole document. It checks the client accounts, the
// objectives and the rules: names of client accounts must be unique, and the guarantees
// in a zone must not list a shape twice or exceed the account's limit. It does not
// consider the existing workers: whether the guarantees fit on them is checked by the
// placement.
func Check(document *Document, positions *strictjson.Positions) []api.Problem {
	c := &documentChecker{positions: positions}
	seen := make(map[string]bool, len(document.Accounts))
	names := make([]string, 0, len(document.Accounts))
	for i, account := range document.Accounts {
		path := fmt.Sprintf("/client_accounts/%d", i)
		if seen[account.Name] {
			c.addProblem(path+"/name", "duplicate client account %q", account.Name)
		}
		seen[account.Name] = true
		names = append(names, account.Name)
		c.checkAccount(path, account)
	}
	if weights := document.Objectives; weights.CompletionTime == 0 && weights.Fragmentation == 0 && c.has("/objectives") {
		c.addProblem("/objectives", "both weights are zero")
	}
	problems := append(c.problems, rules.Check(document.Rules, names, "/rules", positions)...)
	strictjson.Sort(problems)
	return problems
}

type documentChecker struct {
	positions *strictjson.Positions
	problems  []api.Problem
}

func (c *documentChecker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, c.positions.Problem(path, fmt.Sprintf(format, args...)))
}

// has reports whether the file has a value at path.
func (c *documentChecker) has(path string) bool { return c.positions.Has(path) }

func (c *documentChecker) checkAccount(path string, account model.ClientAccount) {
	for zone, shapes := range account.Guarantees {
		at := path + "/guarantees/" + zone
		seen := make(map[api.Shape]bool, len(shapes))
		for k, shape := range shapes {
			if seen[shape.Shape] {
				c.addProblem(fmt.Sprintf("%s/%d", at, k), "the shape is listed twice; raise its count instead")
			}
			seen[shape.Shape] = true
		}
		total := account.GuaranteedAccelerators(zone)
		if account.MaxAccelerators > 0 && total > account.MaxAccelerators {
			c.addProblem(at, "guarantees %d accelerators, above the account's max_accelerators %d", total, account.MaxAccelerators)
		}
	}
}

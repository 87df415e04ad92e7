package config

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

const exampleFile = "../../examples/configuration.json"

func TestCheck(t *testing.T) {
	const lastRule = `"rules": [{"name": "all", "when": {}, "then": {}}]`
	cases := map[string]struct {
		text string
		want string
	}{
		"a valid document": {`{"client_accounts": [{"name": "a"}], ` + lastRule + `}`, ""},
		"two accounts with the same name": {
			`{"client_accounts": [{"name": "a"}, {"name": "a"}], ` + lastRule + `}`, `/client_accounts/1/name: duplicate client account "a"`,
		},
		"a guarantee above the account's limit": {
			`{"client_accounts": [{"name": "a", "max_accelerators": 7, "guarantees": {"z": [{"tasks": 2, "accelerators_per_task": 4, "count": 1}]}}], ` + lastRule + `}`,
			"/client_accounts/0/guarantees/z: guarantees 8 accelerators",
		},
		"a shape that is listed twice": {
			`{"client_accounts": [{"name": "a", "guarantees": {"z": [{"tasks": 1, "accelerators_per_task": 4, "count": 1}, {"tasks": 1, "accelerators_per_task": 4, "count": 2}]}}], ` + lastRule + `}`,
			"/client_accounts/0/guarantees/z/1: the shape is listed twice",
		},
		"objectives without weight": {
			`{"client_accounts": [], "objectives": {"completion_time": 0, "fragmentation": 0}, ` + lastRule + `}`, "/objectives: both weights are zero",
		},
		"rules are checked too": {`{"client_accounts": [], "rules": [{"name": "r", "when": {"accounts": ["x"]}, "then": {}}]}`, `unknown client account "x"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			document, err := Parse("f", []byte(tc.text))
			assert.NilError(t, err)
			problems := (&strictjson.Error{Problems: Check(document, strictjson.Index("f", []byte(tc.text)))}).Error()
			if tc.want == "" {
				assert.Equal(t, problems, "")
				return
			}
			assert.Assert(t, strings.Contains(problems, tc.want), problems)
		})
	}
}

func FuzzConfiguration(f *testing.F) {
	example, err := os.ReadFile(exampleFile)
	assert.NilError(f, err)
	f.Add(string(example))
	f.Add(`{"client_accounts":[],"rules":[{"name":"r","when":{},"then":{}}]}`)
	f.Add(`{"client_accounts":[{"name":"a"},{"name":"a"}],"rules":[{"name":"r","when":{"load_below":0.0001},"then":{"refuse":true,"priority":1}}]}`)
	f.Add(`{"client_accounts":[{"name":"a","name":"b"}],"rules":[]}`)
	f.Add(`{"rules":[{"name":"r","when":{"min_accelerators":9e99},"then":{}}],"client_accounts":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		if len(Check(document, strictjson.Index("f", []byte(text)))) > 0 {
			return
		}
		if rules.NewSet(document.Rules).Decide(rules.Situation{Work: rules.WorkRequest}).Rule == "" {
			t.Fatal("an accepted list of rules decides nothing")
		}
	})
}

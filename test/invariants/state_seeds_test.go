package invariants

import (
	"sort"
	"strings"
	"testing"
)

// everyCase plays every row of a fault table under every seed. A broken
// promise fails the test with the command that plays its seed again.
func everyCase[T any](t *testing.T, cases map[string]T, seeds uint64, play func(t *testing.T, test T, seed uint64) []string) {
	t.Helper()
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		test := t.Name()
		t.Run(name, func(t *testing.T) {
			for seed := range soakSeeds(seeds) {
				if problems := play(t, cases[name], seed); len(problems) > 0 {
					t.Fatalf("seed %d: %s\nrun it again: SOAK_FIRST=%d SOAK_SEEDS=1 go test -count=1 -run '^%s$/^%s$' ./test/invariants",
						seed, strings.Join(problems, "; "), seed, test, strings.ReplaceAll(name, " ", "_"))
				}
			}
		})
	}
}

// assertCaught fails unless play finds a problem under one of the seeds.
func assertCaught(t *testing.T, seeds uint64, play func(seed uint64) []string) {
	t.Helper()
	for seed := range seeds {
		if problems := play(seed); len(problems) > 0 {
			t.Logf("caught with seed %d: %s", seed, problems[0])
			return
		}
	}
	t.Fatalf("the planted fault was not caught by %d seeds", seeds)
}

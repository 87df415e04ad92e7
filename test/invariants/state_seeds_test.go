package invariants

import (
	"sort"
	"strings"
	"testing"
)

// forEachCase runs every case with every seed. A violation fails the test and
// prints the command that runs its seed again.
func forEachCase[T any](t *testing.T, cases map[string]T, seeds uint64, simulate func(t *testing.T, test T, seed uint64) []string) {
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
				if violations := simulate(t, cases[name], seed); len(violations) > 0 {
					t.Fatalf("seed %d: %s\nrun it again: SOAK_FIRST=%d SOAK_SEEDS=1 go test -count=1 -run '^%s$/^%s$' ./test/invariants",
						seed, strings.Join(violations, "; "), seed, test, strings.ReplaceAll(name, " ", "_"))
				}
			}
		})
	}
}

// assertCaught fails unless simulate returns a violation for one of the seeds.
func assertCaught(t *testing.T, seeds uint64, simulate func(seed uint64) []string) {
	t.Helper()
	for seed := range seeds {
		if violations := simulate(seed); len(violations) > 0 {
			t.Logf("caught with seed %d: %s", seed, violations[0])
			return
		}
	}
	t.Fatalf("none of %d seeds detected the planted fault", seeds)
}

// Package soak plays the real program as separate processes against stand-ins of the store and of
// workers, under faults that are drawn from a seed, and holds what workers and callers have seen
// against the rules. A run draws its faults beforehand; what they meet depends on real time.
package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The environment of a run by hand.
const (
	seedsVariable  = "SOAK_SEEDS"   // how many seeds
	firstVariable  = "SOAK_FIRST"   // the first seed
	lengthVariable = "SOAK_SECONDS" // how long faults are played
	treeVariable   = "SOAK_TREE"    // the source tree of the program under test
	reportVariable = "SOAK_REPORT"  // a file for the report
	keepVariable   = "KEEP"         // keep the logs of all processes
)

// What CI plays.
const (
	fewSeeds    = 2
	fixedSeed   = 1
	shortLength = 15
)

func number(t *testing.T, variable string, otherwise int) int {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err, variable)
	return n
}

// result is the outcome of one seed.
type result struct {
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Jobs     int            `json:"jobs"`
	Counts   map[string]int `json:"counts"`
	Findings []finding      `json:"findings"`
	Logs     string         `json:"logs"`

	plan  *plan
	start time.Time
	lines map[string][]string // of the logs, by job
}

const (
	// mostJobsTold bounds the jobs of one seed whose log lines are printed.
	mostJobsTold = 5
	// mostToldAtOnce bounds the findings of one seed that are printed as soon as it was played.
	mostToldAtOnce = 5
)

func TestRulesHoldWithRealProcessesUnderFaults(t *testing.T) {
	tree := "../.."
	if other := os.Getenv(treeVariable); other != "" {
		tree = other
	}
	folder, err := os.MkdirTemp("", "soak-")
	assert.NilError(t, err)
	program, err := buildProgram(tree, folder)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if os.Getenv(keepVariable) == "" {
			_ = os.RemoveAll(folder)
		}
	})
	results := playSeeds(t, program, folder)
	for _, rule := range rules {
		t.Run(rule, func(t *testing.T) {
			for _, r := range results {
				r.fail(t, rule)
			}
		})
	}
	report(t, results)
}

func playSeeds(t *testing.T, program, folder string) []result {
	first, seeds := number(t, firstVariable, fixedSeed), number(t, seedsVariable, fewSeeds)
	length := time.Duration(number(t, lengthVariable, shortLength)) * time.Second
	var mu sync.Mutex // guards results
	var results []result
	t.Run("plays", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
				t.Parallel()
				r := playSeed(t, uint64(seed), length, program, filepath.Join(folder, fmt.Sprint(seed)))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
				fmt.Fprintf(os.Stderr, "soak: seed %d, %d of %d, %d findings\n", seed, len(results), seeds, len(r.Findings))
				for _, f := range r.Findings[:min(len(r.Findings), mostToldAtOnce)] {
					fmt.Fprintf(os.Stderr, "soak: seed %d, %s: %s\n", seed, f.Rule, f.Text)
				}
			})
		}
	})
	slices.SortFunc(results, func(a, b result) int { return int(a.Seed) - int(b.Seed) })
	return results
}

func playSeed(t *testing.T, seed uint64, length time.Duration, program, folder string) result {
	start := time.Now()
	assert.NilError(t, os.Mkdir(folder, 0o700))
	p := newPlan(seed, length)
	y, err := newPlay(t.Context(), p, program, folder)
	if y != nil {
		defer y.close()
	}
	assert.NilError(t, err)
	r := result{Seed: seed, Findings: y.run(), Jobs: len(p.Jobs), Seconds: time.Since(start).Seconds(), Logs: folder, plan: p, start: y.record.start}
	y.record.mu.Lock()
	r.Counts = maps.Clone(y.record.counts)
	for _, j := range p.Jobs {
		r.Counts["jobs shown as "+j.final]++
	}
	y.record.mu.Unlock()
	_, r.Counts["epochs"] = y.store.leader()
	r.lines = make(map[string][]string)
	for _, f := range r.Findings {
		if f.Job != "" && r.lines[f.Job] == nil && len(r.lines) < mostJobsTold {
			r.lines[f.Job] = y.logLines(f.Job)
		}
	}
	return r
}

// logLines returns what all instances logged of a job, in the order of time.
func (y *play) logLines(job string) []string {
	lines := []string{}
	for _, i := range y.instances {
		lines = append(lines, i.logLines(job)...)
	}
	slices.Sort(lines) // each begins with its time
	return lines
}

// fail fails the test of a rule with the findings of a seed.
func (r result) fail(t *testing.T, rule string) {
	told := make(map[string]bool)
	for _, f := range r.Findings {
		if f.Rule != rule {
			continue
		}
		if len(told) == 0 {
			t.Errorf("seed %d, logs in %s, times from %s; %s=1 %s=%d %s=%.0f %s=1 go test -count=1 ./test/soak plays it:\n%s", r.Seed, r.Logs,
				r.start.Format(time.StampMilli), seedsVariable, firstVariable, r.Seed, lengthVariable, r.plan.Length.Seconds(), keepVariable, r.plan)
		}
		t.Error(f.Text)
		if !told[f.Job] {
			t.Log(strings.Join(r.lines[f.Job], "\n"))
		}
		told[f.Job] = true
	}
}

// report writes the report as text, and as JSON if a file is named.
func report(t *testing.T, results []result) {
	total, broken := make(map[string]int), 0
	for _, r := range results {
		for what, n := range r.Counts {
			total[what] += n
		}
		verdict := "holds"
		if len(r.Findings) > 0 {
			broken++
			verdict = fmt.Sprintf("%d findings", len(r.Findings))
		}
		t.Logf("seed %d: %s; %d jobs, %d runs, %.0f s", r.Seed, verdict, r.Jobs, r.Counts["runs"], r.Seconds)
	}
	var text strings.Builder
	for _, what := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(&text, "; %s %d", what, total[what])
	}
	t.Logf("%d seeds, %d broken%s", len(results), broken, text.String())
	if file := os.Getenv(reportVariable); file != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file, data, 0o600))
	}
}

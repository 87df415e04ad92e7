package chart

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/charts"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	entries, err := charts.Files.ReadDir(".")
	assert.NilError(t, err)
	assert.Assert(t, len(entries) >= 6)
	for _, entry := range entries {
		name := strings.TrimSuffix(entry.Name(), ".json")
		chart, err := loadFrom(charts.Files, name)
		assert.NilError(t, err)
		assert.Equal(t, chart.Name, name)
	}
}

func TestUndeclaredTransitionIsAnError(t *testing.T) {
	chart := MustLoad("instance")
	next, err := chart.Next("ready", "stop")
	assert.NilError(t, err)
	assert.Equal(t, next, State("draining"))
	_, err = chart.Next("ready", "explode")
	var transition *TransitionError
	assert.Assert(t, errors.As(err, &transition))
	_, err = chart.Next("nowhere", "stop")
	assert.Assert(t, errors.As(err, &transition))
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct{ data, want string }{
		"an unreachable state":            {`{"name":"x","doc":"d","initial":"a","events":["e"],"states":{"a":{"doc":"d","on":{"e":"a"}},"b":{"doc":"d","final":true,"ignore":["e"]}}}`, `state "b" is not reachable`},
		"an unhandled event":              {`{"name":"x","doc":"d","initial":"a","events":["e"],"states":{"a":{"doc":"d","final":true}}}`, `event "e" is not handled`},
		"a final state with a transition": {`{"name":"x","doc":"d","initial":"a","events":["e"],"states":{"a":{"doc":"d","final":true,"on":{"e":"a"}}}}`, `final must be set`},
		"an unknown state":                {`{"name":"x","doc":"d","initial":"a","events":["e"],"states":{"a":{"doc":"d","on":{"e":"c"}}}}`, `undeclared state "c"`},
		"an unknown field":                {`{"name":"x","colour":"red"}`, `unknown field`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Load([]byte(test.data))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestChartsPageIsCurrent compares docs/charts.md with the charts. Run it
// with UPDATE_DOCS=1 to regenerate the page.
func TestChartsPageIsCurrent(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "charts.md")
	want := renderChartsPage(t)
	if os.Getenv("UPDATE_DOCS") != "" {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

func renderChartsPage(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	out.WriteString("# State charts\n\nDrawn from the files in `charts/` by `UPDATE_DOCS=1 go test ./internal/chart`.\n")
	entries, err := charts.Files.ReadDir(".")
	assert.NilError(t, err)
	for _, entry := range entries {
		chart := MustLoad(strings.TrimSuffix(entry.Name(), ".json"))
		out.WriteString("\n## " + chart.Name + "\n\n" + chart.Doc + "\n\n```mermaid\n" + chart.Mermaid() + "```\n")
	}
	return out.String()
}

package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newRow(policy string, slowdown, met float64) Row {
	return Row{
		Part: "gangs", Pattern: "burst", Deployment: "d", Policy: policy,
		Figures: []Figure{{Name: "slowdown", Value: slowdown}, {Name: "met", Value: met, Unit: "%"}},
	}
}

func TestWriteTable(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, WriteTable(&out, []Row{newRow("ours", 1.234, 99.96), newRow("theirs", 1234.5, 0)}))
	assert.Equal(t, out.String(), `
### gangs: burst, d

| policy | slowdown | met (%) |
|---|---:|---:|
| ours | 1.23 | 100.0 |
| theirs | 1234 | 0 |
`)
}

func TestWriteShortfalls(t *testing.T) {
	figures := []ComparedFigure{{Name: "slowdown", Direction: LowerIsBetter}, {Name: "met", Direction: HigherIsBetter}}
	cases := map[string]struct {
		product Row
		want    []string
	}{
		"better than both":           {newRow("ours", 1, 100), nil},
		"worse within the tolerance": {newRow("ours", 2.1, 86), nil},
		"higher slowdown is listed":  {newRow("ours", 2.2, 100), []string{"slowdown 2.20 against 2.00 (b)"}},
		"lower share met is listed":  {newRow("ours", 1, 80), []string{"met 80.0 against 90.0 (a)"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			count, err := WriteShortfalls(&out, []Row{c.product, newRow("a", 3, 90), newRow("b", 2, 50)}, "ours", []string{"a", "b"}, figures)
			assert.NilError(t, err)
			assert.Equal(t, count, len(c.want))
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(out.String(), want), out.String())
			}
		})
	}
}

func TestBarChartIsWrittenAsSVG(t *testing.T) {
	chart := NewBarChart([]Row{newRow("ours", 1, 2), newRow("theirs", 3, 4)}, "gangs", "d", "met", []string{"ours", "theirs"})
	assert.DeepEqual(t, chart.Values, [][]float64{{2}, {4}})
	path := filepath.Join(t.TempDir(), "bars.svg")
	assert.NilError(t, chart.WriteSVG(path))
	svg, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "<svg"))
}

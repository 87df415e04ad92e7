package measure

import (
	"fmt"
	"io"
	"strings"
)

// Better says which way a figure improves.
type Better int

// The directions.
const (
	Lower Better = iota
	Higher
)

// Compared is a figure by which policies are compared.
type Compared struct {
	Name   string
	Better Better
}

// tolerance is by how much a row may be worse than the best baseline.
const tolerance = 0.05

// WriteWorse lists where the product is worse than the best baseline by more
// than the tolerance, one line for each pattern, deployment and figure. It
// returns the number of lines.
func WriteWorse(out io.Writer, rows []Row, product string, baselines []string, figures []Compared) (int, error) {
	var text strings.Builder
	count := 0
	for i := range rows {
		if rows[i].Policy != product {
			continue
		}
		for _, figure := range figures {
			line := worseLine(rows, &rows[i], baselines, figure)
			if line != "" {
				count++
				text.WriteString(line)
			}
		}
	}
	_, err := io.WriteString(out, text.String())
	return count, err
}

// worseLine describes how far a row is behind its best baseline, or is empty.
func worseLine(rows []Row, row *Row, baselines []string, figure Compared) string {
	value, ok := row.Find(figure.Name)
	if !ok {
		return ""
	}
	best, name := 0.0, ""
	for i := range rows {
		other := &rows[i]
		if other.Part != row.Part || other.Pattern != row.Pattern || other.Deployment != row.Deployment || !contains(baselines, other.Policy) {
			continue
		}
		if v, ok := other.Find(figure.Name); ok && (name == "" || ahead(v, best, figure.Better, 0)) {
			best, name = v, other.Policy
		}
	}
	if name == "" || !ahead(best, value, figure.Better, tolerance) {
		return ""
	}
	return fmt.Sprintf("- %s, %s: %s %s against %s (%s)\n",
		row.Pattern, row.Deployment, figure.Name, FormatValue(value), FormatValue(best), name)
}

// ahead reports whether a is better than b by more than the share.
func ahead(a, b float64, better Better, share float64) bool {
	if better == Higher {
		return b < a*(1-share)
	}
	return b > a*(1+share)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

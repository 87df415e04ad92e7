package measure

import (
	"fmt"
	"io"
	"strings"
)

// Direction is the direction in which a figure improves.
type Direction int

// The directions in which a figure can improve.
const (
	LowerIsBetter Direction = iota
	HigherIsBetter
)

// ComparedFigure is a figure that is compared between policies.
type ComparedFigure struct {
	Name      string
	Direction Direction
}

// shortfallTolerance is the share by which a figure may be worse than that of
// the best baseline.
const shortfallTolerance = 0.05

// WriteShortfalls lists the figures in which the product is worse than the best
// baseline by more than the tolerance, with one line for each pattern,
// deployment and figure. It returns the number of lines.
func WriteShortfalls(out io.Writer, rows []Row, product string, baselines []string, figures []ComparedFigure) (int, error) {
	var text strings.Builder
	count := 0
	for i := range rows {
		if rows[i].Policy != product {
			continue
		}
		for _, figure := range figures {
			line := shortfallLine(rows, &rows[i], baselines, figure)
			if line != "" {
				count++
				text.WriteString(line)
			}
		}
	}
	_, err := io.WriteString(out, text.String())
	return count, err
}

// shortfallLine describes by how much a row is worse than its best baseline. It
// returns an empty string if the row is within the tolerance.
func shortfallLine(rows []Row, row *Row, baselines []string, figure ComparedFigure) string {
	value, ok := row.Find(figure.Name)
	if !ok {
		return ""
	}
	best, bestPolicy := 0.0, ""
	for i := range rows {
		other := &rows[i]
		if other.Part != row.Part || other.Pattern != row.Pattern || other.Deployment != row.Deployment || !contains(baselines, other.Policy) {
			continue
		}
		if v, ok := other.Find(figure.Name); ok && (bestPolicy == "" || betterBy(v, best, figure.Direction, 0)) {
			best, bestPolicy = v, other.Policy
		}
	}
	if bestPolicy == "" || !betterBy(best, value, figure.Direction, shortfallTolerance) {
		return ""
	}
	return fmt.Sprintf("- %s, %s: %s %s against %s (%s)\n",
		row.Pattern, row.Deployment, figure.Name, FormatValue(value), FormatValue(best), bestPolicy)
}

// betterBy reports whether a is better than b by more than margin, which is a
// share of a.
func betterBy(a, b float64, direction Direction, margin float64) bool {
	if direction == HigherIsBetter {
		return b < a*(1-margin)
	}
	return b > a*(1+margin)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

package measure

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// WriteTable writes rows as Markdown tables, one for each pattern and
// deployment, with a line for each policy. The rows of one table must be
// consecutive.
func WriteTable(out io.Writer, rows []Row) error {
	var text strings.Builder
	for i := range rows {
		if i == 0 || !sameTable(&rows[i-1], &rows[i]) {
			writeTableHeader(&text, &rows[i])
		}
		writeTableRow(&text, &rows[i])
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func sameTable(a, b *Row) bool {
	return a.Part == b.Part && a.Pattern == b.Pattern && a.Deployment == b.Deployment && len(a.Figures) == len(b.Figures)
}

func writeTableHeader(text *strings.Builder, row *Row) {
	fmt.Fprintf(text, "\n### %s: %s, %s\n\n| policy |", row.Part, row.Pattern, row.Deployment)
	for _, figure := range row.Figures {
		fmt.Fprintf(text, " %s |", columnHeader(figure))
	}
	text.WriteString("\n|---|")
	text.WriteString(strings.Repeat("---:|", len(row.Figures)))
	text.WriteString("\n")
}

func columnHeader(figure Figure) string {
	if figure.Unit == "" {
		return figure.Name
	}
	return figure.Name + " (" + figure.Unit + ")"
}

func writeTableRow(text *strings.Builder, row *Row) {
	fmt.Fprintf(text, "| %s |", row.Policy)
	for _, figure := range row.Figures {
		text.WriteString(" " + FormatValue(figure.Value) + " |")
	}
	text.WriteString("\n")
}

// FormatValue formats a value with two decimals, with one if its magnitude is 10 or
// more, and with none if it is 100 or more or if the value is 0.
func FormatValue(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 100 || value <= -100:
		return strconv.FormatFloat(value, 'f', 0, 64)
	case value >= 10 || value <= -10:
		return strconv.FormatFloat(value, 'f', 1, 64)
	default:
		return strconv.FormatFloat(value, 'f', 2, 64)
	}
}

// Find returns the value of the named figure and reports whether the row has it.
func (r *Row) Find(name string) (float64, bool) {
	for _, figure := range r.Figures {
		if figure.Name == name {
			return figure.Value, true
		}
	}
	return 0, false
}

package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// table writes aligned columns; fill calls row once for each line.
func table(w io.Writer, fill func(row func(cells ...any))) {
	writer := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fill(func(cells ...any) {
		text := make([]string, len(cells))
		for i, cell := range cells {
			text[i] = strings.ReplaceAll(fmt.Sprint(cell), "\t", " ")
		}
		_, _ = fmt.Fprintln(writer, strings.Join(text, "\t"))
	})
	_ = writer.Flush()
}

// rowIfSet writes a row unless its value is empty.
func rowIfSet(row func(...any), name, value string) {
	if value != "" {
		row(name, value)
	}
}

func formatTime(t *time.Time) string {
	if t == nil {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

func formatSeconds(s float64) string { return fmt.Sprintf("%.1f", s) }

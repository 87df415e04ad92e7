package cli

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLogLineBytes bounds a line of a log file.
const maxLogLineBytes = 1 << 20

// logLine is a log line that contains the id being traced.
type logLine struct {
	At, File, Text string
}

// expectedEvents are the events of a job in order. Events missing from the files are
// reported.
var expectedEvents = []struct{ pattern, description string }{
	{"msg=submit", "its submission"},
	{"order=start", "a start"},
	{"msg=end", "an end of a task"},
	{`msg="job ended"`, "its end"},
}

// traceLogs prints all lines of the files that contain an id, sorted by time, and
// reports the expected events that are missing.
func (inv *invocation) traceLogs(id string, files []string) error {
	var lines []logLine
	for _, file := range files {
		found, err := findLines(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.At, b.At) })
	return inv.print(lines, func(w io.Writer) {
		for _, line := range lines {
			_, _ = fmt.Fprintf(w, "%s\n", line.Text)
		}
		for _, expected := range expectedEvents {
			if !slices.ContainsFunc(lines, func(l logLine) bool { return strings.Contains(l.Text, expected.pattern) }) {
				_, _ = fmt.Fprintf(w, "not found in %d files: %s\n", len(files), expected.description)
			}
		}
	})
}

// findLines returns the lines of a file that contain an id as a value, or after "for" in
// the text of a reason.
func findLines(file, id string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.Contains(text+" ", "="+id+" ") || strings.Contains(text, " for "+id) {
			lines = append(lines, logLine{At: timestampOf(text), File: file, Text: text})
		}
	}
	return lines, scanner.Err()
}

// timestampOf returns the timestamp of a line, which sorts as text.
func timestampOf(line string) string {
	_, rest, _ := strings.Cut(line, "ts=")
	at, _, _ := strings.Cut(rest, " ")
	return at
}

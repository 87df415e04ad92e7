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

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// logLine is a line of a log that names the subject.
type logLine struct {
	At, File, Text string
}

// expectedLines are the events of a job's way, in order; what the files lack of
// them is said.
var expectedLines = []struct{ match, meaning string }{
	{"msg=submit", "its submission"},
	{"order=start", "a start"},
	{"msg=end", "an end of a task"},
	{`msg="job ended"`, "its end"},
}

// trace prints every line of the files that names an id, in the order of their
// times, and says what it did not find.
func (s *shell) trace(id string, files []string) error {
	var lines []logLine
	for _, file := range files {
		found, err := linesOf(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.At, b.At) })
	return s.print(lines, func(w io.Writer) {
		for _, line := range lines {
			_, _ = fmt.Fprintf(w, "%s\n", line.Text)
		}
		for _, expected := range expectedLines {
			if !slices.ContainsFunc(lines, func(l logLine) bool { return strings.Contains(l.Text, expected.match) }) {
				_, _ = fmt.Fprintf(w, "not found in %d files: %s\n", len(files), expected.meaning)
			}
		}
	})
}

// linesOf returns the lines of a file that name an id as a value.
func linesOf(file, id string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.Contains(text+" ", "="+id+" ") || strings.Contains(text, " for "+id) {
			lines = append(lines, logLine{At: timeOf(text), File: file, Text: text})
		}
	}
	return lines, scanner.Err()
}

// timeOf returns the time of a line, which sorts as text.
func timeOf(line string) string {
	_, rest, _ := strings.Cut(line, "ts=")
	at, _, _ := strings.Cut(rest, " ")
	return at
}

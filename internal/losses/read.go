// Package losses reads the logs of a deployment's instances and reports which jobs
// completed late or not at all, and where their time went. It analyses all jobs
// together: the aim is to find what most of them waited for, rather than why a single
// job was late. It needs only the log lines.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds a line of a log file.
const maxLineBytes = 1 << 20

// line is a parsed log line.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]string
}

// Reader collects the lines of one or more log files.
type Reader struct {
	lines []line
	// unparsed counts lines that contain a timestamp field but cannot be parsed.
	unparsed int
}

// Read reads the lines of one file. Text before "ts=" on a line comes from a log
// collector and is ignored, as are lines without a timestamp.
func (r *Reader) Read(file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.Index(scanner.Bytes(), []byte("ts="))
		if start < 0 {
			continue
		}
		parsed, ok := parseLine(scanner.Bytes()[start:])
		if !ok {
			r.unparsed++
			continue
		}
		r.lines = append(r.lines, parsed)
	}
	return scanner.Err()
}

func parseLine(text []byte) (line, bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	l := line{fields: make(map[string]string)}
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		l.fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["ts"])
	if err != nil || decoder.Err() != nil {
		return line{}, false
	}
	l.at, l.instance, l.message = at, l.fields["instance"], l.fields["msg"]
	return l, true
}

// sortedLines returns the lines in the order of their timestamps.
func (r *Reader) sortedLines() []line {
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return r.lines
}

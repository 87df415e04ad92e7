// Package losses reads the logs of a deployment's instances and says which jobs
// ended late or not at all, and where their time went. It answers the question
// that follows a bad day: not why one job was late, but what most of them waited
// for. It needs nothing but the lines.
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

// maxLine bounds a line of a log file.
const maxLine = 1 << 20

// line is one log line.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]string
}

// Reader collects lines of one or more log files.
type Reader struct {
	lines []line
	// unread counts lines that name a time and cannot be read all the same.
	unread int
}

// Read takes the lines of one file. What stands before "ts=" on a line is a
// collector's own and is left out, as are lines without a time.
func (r *Reader) Read(file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		at := bytes.Index(scanner.Bytes(), []byte("ts="))
		if at < 0 {
			continue
		}
		parsed, ok := parse(scanner.Bytes()[at:])
		if !ok {
			r.unread++
			continue
		}
		r.lines = append(r.lines, parsed)
	}
	return scanner.Err()
}

func parse(text []byte) (line, bool) {
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

// sorted returns the lines in the order of their times.
func (r *Reader) sorted() []line {
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return r.lines
}

package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnreadLogDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe() // unbuffered: a write waits for its reader
	b := NewBoundedWriter(writer)
	const lines = 3 * maxPendingLines
	for n := range lines {
		_, err := fmt.Fprintf(b, "line=%d\n", n)
		assert.NilError(t, err)
	}
	b.Close() // discards the remaining lines after closeTimeout
	assert.Assert(t, b.dropped.Load() >= lines-maxPendingLines-maxBatchLines)
	_ = reader.Close()
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func TestLinesStayInOrderAndDroppedLinesAreReported(t *testing.T) {
	var out lockedBuffer
	b := NewBoundedWriter(&out)
	for n := range 3 {
		_, _ = fmt.Fprintf(b, "line=%d\n", n)
	}
	b.dropped.Add(7)
	b.Close()
	var lines, reports []string
	for line := range strings.Lines(out.buf.String()) {
		if strings.Contains(line, "log lines dropped") {
			reports = append(reports, line) // it may come before lines that are written later
			continue
		}
		lines = append(lines, line)
	}
	assert.DeepEqual(t, lines, []string{"line=0\n", "line=1\n", "line=2\n"})
	assert.Equal(t, len(reports), 1)
	assert.Assert(t, strings.Contains(reports[0], "lines=7"), reports[0])
}

// recordingWriter stores each write separately.
type recordingWriter struct {
	mu     sync.Mutex
	writes [][]byte
}

func (r *recordingWriter) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, bytes.Clone(b))
	return len(b), nil
}

func TestEachWriteIsOfWholeLinesAndFitsAPipe(t *testing.T) {
	var out recordingWriter
	b := NewBoundedWriter(&out)
	const lines = 200
	for n := range lines {
		_, _ = fmt.Fprintf(b, "line=%d %s\n", n, strings.Repeat("x", 250))
	}
	_, _ = fmt.Fprintf(b, "long=%s\n", strings.Repeat("y", maxWriteBytes))
	_, _ = fmt.Fprintf(b, "last\n")
	b.Close()
	written := 0
	for _, write := range out.writes {
		assert.Assert(t, bytes.HasSuffix(write, []byte("\n")))
		count := bytes.Count(write, []byte("\n"))
		assert.Assert(t, count == 1 || len(write) <= maxWriteBytes, "%d lines in %d bytes", count, len(write))
		written += count
	}
	assert.Equal(t, written, lines+2)
}

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

func TestALogThatNobodyReadsBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe() // unbuffered: a write waits for its reader
	b := NewBounded(writer)
	const lines = 3 * pendingLines
	for n := range lines {
		_, err := fmt.Fprintf(b, "line=%d\n", n)
		assert.NilError(t, err)
	}
	b.Close() // gives up on the rest
	assert.Assert(t, b.dropped.Load() >= lines-pendingLines-lineBatch)
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

func TestLinesComeWholeAndInOrderAndDroppedOnesAreCounted(t *testing.T) {
	var out lockedBuffer
	b := NewBounded(&out)
	for n := range 3 {
		_, _ = fmt.Fprintf(b, "line=%d\n", n)
	}
	b.dropped.Add(7)
	b.Close()
	text := out.buf.String()
	assert.Assert(t, strings.Contains(text, "line=0\nline=1\nline=2\n"), text)
	assert.Assert(t, strings.Contains(text, "lines=7"), text)
}

// pieces keeps each write apart.
type pieces struct {
	mu   sync.Mutex
	list [][]byte
}

func (p *pieces) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, bytes.Clone(b))
	return len(b), nil
}

func TestEachWriteIsOfWholeLinesAndFitsAPipe(t *testing.T) {
	var out pieces
	b := NewBounded(&out)
	const lines = 200
	for n := range lines {
		_, _ = fmt.Fprintf(b, "line=%d %s\n", n, strings.Repeat("x", 250))
	}
	_, _ = fmt.Fprintf(b, "long=%s\n", strings.Repeat("y", writeMost))
	_, _ = fmt.Fprintf(b, "last\n")
	b.Close()
	written := 0
	for _, piece := range out.list {
		assert.Assert(t, bytes.HasSuffix(piece, []byte("\n")))
		count := bytes.Count(piece, []byte("\n"))
		assert.Assert(t, count == 1 || len(piece) <= writeMost, "%d lines in %d bytes", count, len(piece))
		written += count
	}
	assert.Equal(t, written, lines+2)
}

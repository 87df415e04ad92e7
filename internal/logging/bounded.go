package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/internal/ring"
)

const (
	// maxPendingLines limits the queued lines, and thereby their memory.
	maxPendingLines = 2048
	// maxLinesPerSecond limits the long-term rate of lines.
	maxLinesPerSecond = 800
)

var metricDropped = metrics.NewCounter("corianderbank_log_lines_dropped_total")

// BoundedWriter writes lines to an io.Writer from a goroutine of its own, so that
// callers never wait for the log. A line that arrives while the queue is full,
// because the log is not read or too much is logged, is dropped and counted.
// The number of dropped lines is logged once there is space again.
type BoundedWriter struct {
	w       io.Writer
	lines   *ring.Refusing[[]byte]
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewBoundedWriter returns a BoundedWriter for w and starts its goroutine; Close stops it.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, lines: ring.NewRefusing[[]byte](maxPendingLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a copy of line. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
		metricDropped.Inc()
	}
	return len(line), nil
}

// run writes queued lines until Close, at most maxLinesPerSecond in the long term.
func (b *BoundedWriter) run() {
	defer close(b.stopped)
	for {
		select {
		case line := <-b.lines.C():
			b.writeBatch(line)
		case <-b.stop:
			b.flush()
			return
		}
		select {
		case <-time.After(time.Second / maxLinesPerSecond * maxBatchLines):
		case <-b.stop:
			b.flush()
			return
		}
	}
}

// maxBatchLines limits the lines written per wake-up. Waking up for each line
// would cost more than writing it.
const maxBatchLines = 40

// maxWriteBytes limits the size of a write that combines several whole lines. A
// pipe accepts a write of up to this size atomically; of a larger write, a
// collector may read only a part and see a line split in two.
const maxWriteBytes = 4096

func (b *BoundedWriter) writeBatch(first []byte) {
	text := first
	for range maxBatchLines - 1 {
		select {
		case line := <-b.lines.C():
			if len(text)+len(line) > maxWriteBytes {
				b.write(text)
				text = nil
			}
			text = append(text, line...)
			continue
		default:
		}
		break
	}
	b.write(text)
	b.reportDropped()
}

// write writes whole lines. It ignores errors, as there is nowhere to report them.
func (b *BoundedWriter) write(text []byte) { _, _ = b.w.Write(text) }

func (b *BoundedWriter) reportDropped() {
	if n := b.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.w, "ts=%s level=warn msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// flush writes the remaining lines.
func (b *BoundedWriter) flush() {
	for b.lines.Len() > 0 {
		b.writeBatch(<-b.lines.C())
	}
	b.reportDropped()
}

// closeTimeout limits the final flush, because the log may have no reader.
const closeTimeout = 200 * time.Millisecond

// Close flushes the remaining lines and stops the goroutine. It waits at most
// closeTimeout and must be called only once.
func (b *BoundedWriter) Close() {
	close(b.stop)
	select {
	case <-b.stopped:
	case <-time.After(closeTimeout):
	}
}

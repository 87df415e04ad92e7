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
	// pendingLines bounds the memory of lines that wait for a reader of the log.
	pendingLines = 2048
	// linesEachSecond bounds the volume in the long run.
	linesEachSecond = 800
)

var metricDropped = metrics.NewCounter("corianderbank_log_lines_dropped_total")

// Bounded writes lines to w from a duty of its own. A line that comes while the
// ring is full, because nobody reads the log or a loop writes too much of it, is
// dropped and counted; nobody ever waits for the log. Once there is room again
// one line says how many were dropped.
type Bounded struct {
	w       io.Writer
	lines   *ring.Refusing[[]byte]
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewBounded starts the duty; Close ends it.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{w: w, lines: ring.NewRefusing[[]byte](pendingLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
		metricDropped.Inc()
	}
	return len(line), nil
}

// run writes lines, at most linesEachSecond in the long run.
func (b *Bounded) run() {
	defer close(b.stopped)
	for {
		select {
		case line := <-b.lines.C():
			b.batch(line)
		case <-b.stop:
			b.rest()
			return
		}
		select {
		case <-time.After(time.Second / linesEachSecond * lineBatch):
		case <-b.stop:
			b.rest()
			return
		}
	}
}

// lineBatch lines are written for each wake-up: one for each line would cost more than
// the line.
const lineBatch = 40

// writeMost bounds one write in bytes, of whole lines. A pipe takes up to this many as
// one piece; of a larger write a collector may see a part, and a line cut in two.
const writeMost = 4096

func (b *Bounded) batch(first []byte) {
	text := first
	for range lineBatch - 1 {
		select {
		case line := <-b.lines.C():
			if len(text)+len(line) > writeMost {
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
	b.report()
}

// write writes whole lines; a log that cannot be written has nobody to tell.
func (b *Bounded) write(text []byte) { _, _ = b.w.Write(text) }

func (b *Bounded) report() {
	if n := b.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.w, "ts=%s level=warn msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// rest writes what is left at the end.
func (b *Bounded) rest() {
	for b.lines.Len() > 0 {
		b.batch(<-b.lines.C())
	}
	b.report()
}

// closeWithin bounds writing the rest: nobody may read it.
const closeWithin = 200 * time.Millisecond

// Close writes what is left, if somebody reads it, and ends the duty.
func (b *Bounded) Close() {
	close(b.stop)
	select {
	case <-b.stopped:
	case <-time.After(closeWithin):
	}
}

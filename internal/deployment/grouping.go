package deployment

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers a store that is slow. It carries out the transactions of a table one
// after the other; when each takes 0.3 s instead of 3 ms, three a second fit, and it turns
// away what would wait for more than a second. With a transaction for each job, renewal
// and record, 36 instances had nearly every job turned away for three seconds. So while a
// transaction is under way what else is to be written waits and goes into the next one,
// and all instances write through the one that schedules.

const (
	// slowStore is the time of an answer from which the store is slow: it takes 4 ms.
	slowStore = 60 * time.Millisecond
	// loneFor is how long a transaction holds others back at least, twice as long with
	// each further one that has no answer: one whose answer is lost must not hold up the
	// others for long, and a store that has just turned slow must not get one after the
	// other. From a slow store its answer is waited for loneTimes as long as it takes of
	// late.
	loneFor   = 150 * time.Millisecond
	loneTimes = 3
	// mostDoublings bounds the former to 2.4 s.
	mostDoublings = 4
	// groupTimeout bounds a group of writes; callers may give up sooner.
	groupTimeout = 4 * time.Second
	// speedUp is the weight of an answer that is faster than those before it; a slower
	// one counts at once.
	speedUp = 0.3
)

// grouping is a store whose writes go out one after the other, those that wait together.
// It implements workload.Store.
type grouping struct {
	workload.Store

	mu sync.Mutex
	// queue holds the writes that wait, busy the group under way since busySince.
	queue     []*queuedWrite
	busy      *writeGroup
	busySince time.Time
	// unanswered is the number of groups under way.
	unanswered int
	// took is the time of an answer of late, pending when the calls began that are not
	// answered.
	took    time.Duration
	pending map[*time.Time]bool
}

// queuedWrite is a write that waits, or is under way.
type queuedWrite struct {
	write workload.Write
	// sent writes may be performed; alone ones go without company; those given up are
	// not sent again.
	sent, alone, givenUp bool
	result               chan writeResult // capacity 1
}

type writeResult struct {
	written workload.Written
	err     error
}

// slowness is how long the store takes to answer of late.
func (g *grouping) slowness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.took
}

// isSlow reports whether the store is slow, or leaves a call without an answer.
func (g *grouping) isSlow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.took >= slowStore {
		return true
	}
	now := bootTime()
	for began := range g.pending {
		if now.Sub(*began) >= slowStore {
			return true
		}
	}
	return false
}

// calling notes that a call begins; the function it returns that it has ended.
func (g *grouping) calling() func(err error) {
	began := bootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = make(map[*time.Time]bool)
	}
	g.pending[&began] = true
	return func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.pending, &began)
		if err == nil {
			g.answered(bootTime().Sub(began))
		}
	}
}

// answered notes how long an answer took.
func (g *grouping) answered(took time.Duration) {
	if took < g.took {
		took = g.took - time.Duration(speedUp*float64(g.took-took))
	}
	g.took = took
}

// Read implements workload.Store.
func (g *grouping) Read(ctx context.Context, source workload.Source, from, to string) (workload.Page, error) {
	ended := g.calling()
	page, err := g.Store.Read(ctx, source, from, to)
	ended(err)
	return page, err
}

// Write implements workload.Store.
func (g *grouping) Write(ctx context.Context, write workload.Write) (workload.Written, error) {
	q := &queuedWrite{write: write, result: make(chan writeResult, 1)}
	g.mu.Lock()
	g.queue = append(g.queue, q)
	g.mu.Unlock()
	g.next()
	for {
		release := time.NewTimer(g.heldBack())
		select {
		case r := <-q.result:
			release.Stop()
			return r.written, r.err
		case <-release.C:
			g.next()
		case <-ctx.Done():
			release.Stop()
			return workload.Written{}, g.withdraw(q, context.Cause(ctx))
		}
	}
}

// heldBack is how long the group under way holds others back yet.
func (g *grouping) heldBack() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.holdsFor()-bootTime().Sub(g.busySince), time.Millisecond)
}

func (g *grouping) holdsFor() time.Duration {
	return max(loneFor<<min(max(g.unanswered-1, 0), mostDoublings), loneTimes*g.took)
}

// withdraw takes a write back whose caller has given up. One that was sent may be
// performed.
func (g *grouping) withdraw(q *queuedWrite, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	q.givenUp = true
	if q.sent {
		return fmt.Errorf("write: %w: %w", workload.ErrUnknown, cause)
	}
	g.queue = slices.DeleteFunc(g.queue, func(other *queuedWrite) bool { return other == q })
	return fmt.Errorf("write: %w: it waited for others: %w", workload.ErrNotDone, cause)
}

// next sends what waits, unless a group holds it back.
func (g *grouping) next() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 || g.busy != nil && bootTime().Sub(g.busySince) < g.holdsFor() {
		return
	}
	group := &writeGroup{}
	g.queue = slices.DeleteFunc(g.queue, group.take)
	g.busy, g.busySince = group, bootTime()
	g.unanswered++
	go g.send(group)
}

// send writes a group and tells each of its writes what became of it.
func (g *grouping) send(group *writeGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	ended := g.calling()
	written, err := g.Store.Write(ctx, group.write)
	ended(err)
	g.mu.Lock()
	g.queue = append(group.settle(written, err), g.queue...)
	if g.busy == group {
		g.busy = nil
	}
	g.unanswered--
	g.mu.Unlock()
	g.next()
}

// writeGroup is some writes as one transaction.
type writeGroup struct {
	members []*queuedWrite
	write   workload.Write
	// expected are the versions that rows must have, changed the rows that are put or
	// removed.
	expected map[string]int64
	changed  map[string]bool
}

// take adds a write, if it may go with those that are in the group.
func (w *writeGroup) take(q *queuedWrite) bool {
	if !w.fits(q) {
		return false
	}
	if w.expected == nil {
		w.expected, w.changed = make(map[string]int64), make(map[string]bool)
	}
	for _, row := range q.write.Expect {
		if _, known := w.expected[row.Key]; !known {
			w.expected[row.Key] = row.Version
			w.write.Expect = append(w.write.Expect, row)
		}
	}
	for _, row := range q.write.Put {
		w.changed[row.Key] = true
	}
	for _, key := range q.write.Remove {
		w.changed[key] = true
	}
	w.write.Put = append(w.write.Put, q.write.Put...)
	w.write.Remove = append(w.write.Remove, q.write.Remove...)
	w.members = append(w.members, q)
	q.sent = true
	return true
}

// fits reports whether a write leaves the transaction within its bound, and neither
// expects nor changes a row that another one changes.
func (w *writeGroup) fits(q *queuedWrite) bool {
	if len(w.members) == 0 {
		return true
	}
	entries := len(w.write.Expect) + len(w.write.Put) + len(w.write.Remove) +
		len(q.write.Expect) + len(q.write.Put) + len(q.write.Remove)
	if q.alone || w.members[0].alone || entries > entriesAtOnce {
		return false
	}
	for _, row := range q.write.Expect {
		if version, known := w.expected[row.Key]; w.changed[row.Key] || known && version != row.Version {
			return false
		}
	}
	touches := func(key string) bool {
		_, known := w.expected[key]
		return known || w.changed[key]
	}
	return !slices.ContainsFunc(q.write.Put, func(row workload.Row) bool { return touches(row.Key) }) &&
		!slices.ContainsFunc(q.write.Remove, touches)
}

// settle tells the members what became of them. It returns those that another member's
// conflict kept from being done: nothing of the group was performed then.
func (w *writeGroup) settle(written workload.Written, err error) []*queuedWrite {
	if err != nil || !written.Conflict || len(w.members) == 1 {
		for _, q := range w.members {
			q.result <- writeResult{written, err}
		}
		return nil
	}
	current := make(map[string]workload.Row, len(written.Rows))
	for _, row := range written.Rows {
		current[row.Key] = row
	}
	var again []*queuedWrite
	for _, q := range w.members {
		rows, conflict := metBy(q.write.Expect, current)
		if conflict {
			q.result <- writeResult{workload.Written{Conflict: true, Rows: rows}, nil}
			continue
		}
		if q.sent, q.alone = false, true; !q.givenUp {
			again = append(again, q)
		}
	}
	return again
}

// metBy returns the rows that are there of those that a write expects, and whether one
// of them is another than it expects.
func metBy(expected []workload.Row, current map[string]workload.Row) (rows []workload.Row, conflict bool) {
	for _, row := range expected {
		now, there := current[row.Key]
		if there {
			rows = append(rows, now)
		}
		conflict = conflict || now.Version != row.Version
	}
	return rows, conflict
}

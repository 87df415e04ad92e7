package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/ring"
)

// Limits of grouped writes.
const (
	// groupDelay is how long the first transaction of a group waits for others.
	groupDelay = 3 * time.Millisecond
	// maxGroupOps limits the operations of one group.
	maxGroupOps = 100
	// maxGroupsInFlight limits the groups being committed. While the limit is
	// reached the next group grows, so that a slow store gets fewer and larger
	// commits. More than two would only compete for the budget; with one, a lost
	// answer would block all other transactions while it is resolved.
	maxGroupsInFlight = 2
	// groupTimeout limits a group's commit, including the resolution of lost
	// answers.
	groupTimeout = 6 * time.Second
	// groupQueueSize limits the queued transactions. A full queue rejects new ones.
	groupQueueSize = 4096
)

// States of a queued transaction.
const (
	txQueued int32 = iota
	txSent
	txWithdrawn
)

// queuedTx is a transaction that waits to be committed as part of a group.
type queuedTx struct {
	purpose Purpose
	tx      api.Tx
	state   atomic.Int32
	result  chan CommitResult // capacity 1
}

// GroupingTables commits transactions that arrive within a few milliseconds as one.
// If some transactions of a group conflict, they get their conflicts and the others
// are committed without them. Lease and configuration writes are not grouped and
// not delayed.
type GroupingTables struct {
	Tables
	queue     *ring.Refusing[*queuedTx]
	pool      pond.Pool
	slots     chan struct{} // holds one token per group in flight
	stop      chan struct{}
	collector sync.WaitGroup

	groups  atomic.Int64
	grouped atomic.Int64
}

// NewGroupingTables returns tables whose Commit groups transactions. Close stops
// its background goroutine.
func NewGroupingTables(tables Tables) *GroupingTables {
	g := &GroupingTables{
		Tables: tables,
		queue:  ring.NewRefusing[*queuedTx](groupQueueSize),
		pool:   pond.NewPool(maxGroupsInFlight),
		slots:  make(chan struct{}, maxGroupsInFlight),
		stop:   make(chan struct{}),
	}
	g.collector.Go(g.collect)
	return g
}

// Close rejects queued transactions and waits for the groups in flight by taking
// all slots, which it does not release. The pool's goroutines end when idle.
func (g *GroupingTables) Close() {
	close(g.stop)
	g.collector.Wait()
	for range maxGroupsInFlight {
		g.slots <- struct{}{}
	}
}

// Commit implements Tables. If ctx ends first, the result is CommitNotDone if the
// transaction was not sent yet, and CommitUnknown otherwise.
func (g *GroupingTables) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if purpose <= PurposeConfig {
		return g.Tables.Commit(ctx, purpose, tx)
	}
	queued := &queuedTx{purpose: purpose, tx: tx, result: make(chan CommitResult, 1)}
	if !g.queue.Offer(queued) {
		return notSent("the queue of writes is full")
	}
	select {
	case result := <-queued.result:
		return result
	case <-ctx.Done():
		return queued.withdraw("the caller gave up")
	case <-g.stop:
		return queued.withdraw("the instance stops")
	}
}

// withdraw returns the result of a transaction whose caller no longer waits: not
// done if it was still queued, its result if it has one, and unknown otherwise.
func (q *queuedTx) withdraw(reason string) CommitResult {
	if q.state.CompareAndSwap(txQueued, txWithdrawn) {
		return notSent(reason)
	}
	select {
	case result := <-q.result:
		return result
	default:
		return CommitResult{State: CommitUnknown, Err: api.NewError(api.KindStoreUnavailable, "%s", reason)}
	}
}

func notSent(reason string) CommitResult {
	return CommitResult{State: CommitNotDone, Err: api.NewError(api.KindStoreUnavailable, "%s", reason)}
}

// collect forms groups and sends them until Close.
func (g *GroupingTables) collect() {
	var group *group
	for {
		if group == nil {
			group = g.nextGroup()
		}
		if group == nil {
			return
		}
		next, ok := g.fill(group)
		if !ok {
			return
		}
		g.send(group)
		group = next
	}
}

// nextGroup waits for a transaction and returns a group with it, or nil after
// Close.
func (g *GroupingTables) nextGroup() *group {
	select {
	case queued := <-g.queue.C():
		return newGroup(queued)
	case <-g.stop:
		return nil
	}
}

// fill adds transactions to current until the delay has passed and a slot is free.
// If a transaction does not fit, fill returns a new group with it as next. ok is
// false after Close.
func (g *GroupingTables) fill(current *group) (next *group, ok bool) {
	timer := time.NewTimer(groupDelay)
	defer timer.Stop()
	queue, slots := g.queue.C(), (chan struct{})(nil)
	for {
		select {
		case queued := <-queue:
			if !current.tryAppend(queued) {
				next, queue, slots = newGroup(queued), nil, g.slots
			}
		case <-timer.C:
			slots = g.slots
		case slots <- struct{}{}:
			return next, true
		case <-g.stop:
			return nil, false
		}
	}
}

// send commits the group in the pool and releases its slot when done.
func (g *GroupingTables) send(current *group) {
	g.pool.Submit(func() {
		defer func() { <-g.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
		defer cancel()
		for rest := current.markSent(); len(rest.members) > 0; {
			g.groups.Add(1)
			g.grouped.Add(int64(len(rest.members)))
			result := g.Tables.Commit(ctx, rest.purpose, rest.tx())
			rest = rest.deliver(result)
		}
	})
}

// group is a set of transactions that have no row in common.
type group struct {
	purpose Purpose
	members []*queuedTx
	refs    map[api.Ref]bool
}

func newGroup(first *queuedTx) *group {
	g := &group{purpose: first.purpose, refs: make(map[api.Ref]bool)}
	g.appendTx(first)
	return g
}

func (g *group) appendTx(q *queuedTx) {
	g.members = append(g.members, q)
	g.purpose = min(g.purpose, q.purpose)
	for _, op := range q.tx.Ops {
		g.refs[op.Ref] = true
	}
}

// tryAppend adds q to the group. It returns false if q does not fit.
func (g *group) tryAppend(q *queuedTx) bool {
	if len(g.refs)+len(q.tx.Ops) > maxGroupOps {
		return false
	}
	for _, op := range q.tx.Ops {
		if g.refs[op.Ref] {
			return false
		}
	}
	g.appendTx(q)
	return true
}

// markSent marks the queued transactions as sent and returns a group of them,
// without those that were withdrawn.
func (g *group) markSent() *group {
	rest := &group{purpose: g.purpose}
	for _, q := range g.members {
		if q.state.CompareAndSwap(txQueued, txSent) {
			rest.members = append(rest.members, q)
		}
	}
	return rest
}

// tx returns the merged transaction. A group of one keeps its write id.
func (g *group) tx() api.Tx {
	if len(g.members) == 1 {
		return g.members[0].tx
	}
	merged := api.Tx{WriteID: NewWriteID()}
	for _, q := range g.members {
		merged.Ops = append(merged.Ops, q.tx.Ops...)
	}
	return merged
}

// deliver sends each transaction its part of the result. If some transactions
// conflicted, it returns a group of the others, which are still to be committed.
func (g *group) deliver(result CommitResult) *group {
	rest := &group{purpose: g.purpose}
	conflicts := make(map[api.Ref]api.Row, len(result.Conflicts))
	for _, row := range result.Conflicts {
		conflicts[row.Ref] = row
	}
	for _, q := range g.members {
		own := result
		own.Conflicts = conflictsOf(q.tx, conflicts)
		if len(conflicts) > 0 && len(own.Conflicts) == 0 {
			rest.members = append(rest.members, q)
			continue
		}
		q.result <- own
	}
	return rest
}

func conflictsOf(tx api.Tx, conflicts map[api.Ref]api.Row) []api.Row {
	var own []api.Row
	for _, op := range tx.Ops {
		if row, ok := conflicts[op.Ref]; ok {
			own = append(own, row)
		}
	}
	return own
}

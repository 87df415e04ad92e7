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

// The bounds of grouped writes.
const (
	// groupWindow is how long the first transaction waits for company.
	groupWindow = 3 * time.Millisecond
	// maxGroupOps bounds the operations of one group.
	maxGroupOps = 100
	// maxGroupsInFlight bounds the groups on their way. While all are, the
	// next group grows, so that a slow store gets fewer and larger commits.
	// More than two only wait for the budget in each other's way; one alone
	// would let a lost answer hold up everybody while it is read back.
	maxGroupsInFlight = 2
	// groupTimeout bounds a group's commit with its read-back.
	groupTimeout = 6 * time.Second
	// groupQueue bounds the waiting transactions; a full queue refuses.
	groupQueue = 4096
)

// The states of a queued transaction.
const (
	entryQueued int32 = iota
	entrySent
	entryWithdrawn
)

// entry is one transaction on its way into a group.
type entry struct {
	purpose Purpose
	tx      api.Tx
	state   atomic.Int32
	result  chan CommitResult // capacity 1
}

// Grouping commits the transactions of a few milliseconds together. When some
// of a group conflict, they get their conflict, and the others are committed
// without them. Leases and the configuration go alone and at once.
type Grouping struct {
	Tables
	queue *ring.Refusing[*entry]
	pool  pond.Pool
	slots chan struct{} // one token for each group that may be in flight
	stop  chan struct{}
	done  sync.WaitGroup

	groups  atomic.Int64
	grouped atomic.Int64
}

// NewGrouping returns tables whose Commit groups. Close ends its duty.
func NewGrouping(tables Tables) *Grouping {
	g := &Grouping{
		Tables: tables,
		queue:  ring.NewRefusing[*entry](groupQueue),
		pool:   pond.NewPool(maxGroupsInFlight),
		slots:  make(chan struct{}, maxGroupsInFlight),
		stop:   make(chan struct{}),
	}
	g.done.Go(g.collect)
	return g
}

// Close refuses what is queued and waits for the groups in flight: it takes all
// their slots for good. The pool's workers end by themselves when idle.
func (g *Grouping) Close() {
	close(g.stop)
	g.done.Wait()
	for range maxGroupsInFlight {
		g.slots <- struct{}{}
	}
}

// Commit implements Tables. A caller that gives up gets CommitNotDone if its
// transaction had not left, else CommitUnknown.
func (g *Grouping) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if purpose <= PurposeConfig {
		return g.Tables.Commit(ctx, purpose, tx)
	}
	waiting := &entry{purpose: purpose, tx: tx, result: make(chan CommitResult, 1)}
	if !g.queue.Offer(waiting) {
		return notSent("the queue of writes is full")
	}
	select {
	case result := <-waiting.result:
		return result
	case <-ctx.Done():
		return waiting.withdraw("the caller gave up")
	case <-g.stop:
		return waiting.withdraw("the instance stops")
	}
}

// withdraw ends the wait of a transaction.
func (e *entry) withdraw(reason string) CommitResult {
	if e.state.CompareAndSwap(entryQueued, entryWithdrawn) {
		return notSent(reason)
	}
	select {
	case result := <-e.result:
		return result
	default:
		return CommitResult{State: CommitUnknown, Err: api.NewError(api.KindStoreUnavailable, "%s", reason)}
	}
}

func notSent(reason string) CommitResult {
	return CommitResult{State: CommitNotDone, Err: api.NewError(api.KindStoreUnavailable, "%s", reason)}
}

// collect is the duty that forms groups and hands them on.
func (g *Grouping) collect() {
	var group *group
	for {
		if group == nil {
			group = g.first()
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

// first waits for the transaction that begins a group; nil means stop.
func (g *Grouping) first() *group {
	select {
	case waiting := <-g.queue.C():
		return newGroup(waiting)
	case <-g.stop:
		return nil
	}
}

// fill adds transactions until the window is over and a slot is free. It
// returns the group begun by a transaction that does not fit, if there is one.
func (g *Grouping) fill(open *group) (next *group, ok bool) {
	timer := time.NewTimer(groupWindow)
	defer timer.Stop()
	queue, slots := g.queue.C(), (chan struct{})(nil)
	for {
		select {
		case waiting := <-queue:
			if !open.add(waiting) {
				next, queue, slots = newGroup(waiting), nil, g.slots
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

// send commits the group in the pool; the slot is held until it is done.
func (g *Grouping) send(full *group) {
	g.pool.Submit(func() {
		defer func() { <-g.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
		defer cancel()
		for rest := full.sent(); len(rest.entries) > 0; {
			g.groups.Add(1)
			g.grouped.Add(int64(len(rest.entries)))
			result := g.Tables.Commit(ctx, rest.purpose, rest.tx())
			rest = rest.answer(result)
		}
	})
}

// group is a set of transactions without a common row.
type group struct {
	purpose Purpose
	entries []*entry
	refs    map[api.Ref]bool
}

func newGroup(first *entry) *group {
	g := &group{purpose: first.purpose, refs: make(map[api.Ref]bool)}
	g.put(first)
	return g
}

func (g *group) put(e *entry) {
	g.entries = append(g.entries, e)
	g.purpose = min(g.purpose, e.purpose)
	for _, op := range e.tx.Ops {
		g.refs[op.Ref] = true
	}
}

// add puts e into the group, or reports that it does not fit.
func (g *group) add(e *entry) bool {
	if len(g.refs)+len(e.tx.Ops) > maxGroupOps {
		return false
	}
	for _, op := range e.tx.Ops {
		if g.refs[op.Ref] {
			return false
		}
	}
	g.put(e)
	return true
}

// sent returns the group without the transactions that were withdrawn.
func (g *group) sent() *group {
	rest := &group{purpose: g.purpose}
	for _, e := range g.entries {
		if e.state.CompareAndSwap(entryQueued, entrySent) {
			rest.entries = append(rest.entries, e)
		}
	}
	return rest
}

// tx returns the group's transaction. A group of one keeps its write id.
func (g *group) tx() api.Tx {
	if len(g.entries) == 1 {
		return g.entries[0].tx
	}
	merged := api.Tx{WriteID: NewWriteID()}
	for _, e := range g.entries {
		merged.Ops = append(merged.Ops, e.tx.Ops...)
	}
	return merged
}

// answer gives each transaction its part of the result. It returns those that
// did not conflict themselves while others did: they are still to be committed.
func (g *group) answer(result CommitResult) *group {
	rest := &group{purpose: g.purpose}
	conflicts := make(map[api.Ref]api.Row, len(result.Conflicts))
	for _, row := range result.Conflicts {
		conflicts[row.Ref] = row
	}
	for _, e := range g.entries {
		own := result
		own.Conflicts = conflictsOf(e.tx, conflicts)
		if len(conflicts) > 0 && len(own.Conflicts) == 0 {
			rest.entries = append(rest.entries, e)
			continue
		}
		e.result <- own
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

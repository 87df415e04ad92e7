// Package fake is the platform in memory, for tests: tables, objects and the
// instance list with a store clock and faults that a test controls.
package fake

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// Call describes one call to the platform, for the choice of a fault.
type Call struct {
	// Op is commit, read, scan, put, get or list.
	Op      string
	Purpose platform.Purpose
	Tx      api.Tx
}

// Fault is what happens to one call. The zero value is no fault.
type Fault struct {
	// Delay is waited before anything else.
	Delay time.Duration
	// Down refuses the call; nothing takes effect.
	Down bool
	// LostBefore swallows the call; nothing takes effect, the answer is unknown.
	LostBefore bool
	// LostAfter lets the call take effect and loses the answer.
	LostAfter bool
	// AppliesAfter loses the answer at once and lets a commit take effect, if
	// it then still can, after this time.
	AppliesAfter time.Duration
}

// Platform is the fake. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	rows      map[api.Ref]api.Row
	applied   map[string]bool
	sequence  int64
	objects   map[string][]byte
	instances api.InstanceList
	skew      time.Duration
	forgetful bool
	fault     func(Call) Fault
	calls     map[string]int
}

var (
	_ platform.Tables         = (*Platform)(nil)
	_ platform.Objects        = (*Platform)(nil)
	_ platform.InstanceLister = (*Platform)(nil)
)

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		rows:    make(map[api.Ref]api.Row),
		applied: make(map[string]bool),
		objects: make(map[string][]byte),
		calls:   make(map[string]int),
	}
}

// SetFault sets the choice of faults; nil means none. It is called with the
// fake's lock held, so that a seeded choice sees the calls one by one.
func (p *Platform) SetFault(choose func(Call) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = choose
}

// SetSkew sets how far the store's clock is ahead of the local one.
func (p *Platform) SetSkew(skew time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skew = skew
}

// SetForgetful makes the tables forget the write ids that they applied.
func (p *Platform) SetForgetful(forgetful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetful = forgetful
}

// SetInstances sets the instance list.
func (p *Platform) SetInstances(list api.InstanceList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Calls returns how many calls of an op arrived, failed ones included.
func (p *Platform) Calls(op string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[op]
}

// begin counts the call, chooses its fault and waits for its delay.
func (p *Platform) begin(ctx context.Context, call Call) (Fault, error) {
	p.mu.Lock()
	p.calls[call.Op]++
	var fault Fault
	if p.fault != nil {
		fault = p.fault(call)
	}
	p.mu.Unlock()
	if ctx.Err() != nil || fault.Down {
		return fault, api.NewError(api.KindStoreUnavailable, "the platform is down")
	}
	if fault.Delay == 0 {
		return fault, nil
	}
	timer := time.NewTimer(fault.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault, api.NewError(api.KindResultUnknown, "the caller gave up: %v", ctx.Err())
	case <-timer.C:
		return fault, nil
	}
}

// Commit implements platform.Tables with one attempt.
func (p *Platform) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	fault, err := p.begin(ctx, Call{Op: "commit", Purpose: purpose, Tx: tx})
	if api.IsKind(err, api.KindStoreUnavailable) {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	lost := platform.CommitResult{State: platform.CommitUnknown, Err: api.NewError(api.KindStoreUnavailable, "the answer was lost")}
	switch {
	case err != nil || fault.AppliesAfter > 0:
		time.AfterFunc(fault.AppliesAfter, func() { p.apply(tx) })
		return lost
	case fault.LostBefore:
		return lost
	}
	answer := p.apply(tx)
	switch {
	case fault.LostAfter:
		return lost
	case answer.Done:
		return platform.CommitResult{State: platform.CommitDone, Now: answer.Now}
	}
	return platform.CommitResult{State: platform.CommitNotDone, Conflicts: answer.Conflicts, Now: answer.Now}
}

// apply makes the transaction take effect, or finds its conflicts.
func (p *Platform) apply(tx api.Tx) api.TxAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := api.TxAnswer{Now: p.now()}
	if p.applied[tx.WriteID] && !p.forgetful {
		answer.Done = true
		return answer
	}
	for _, op := range tx.Ops {
		if row := p.rows[op.Ref]; row.Version != op.IfVersion {
			row.Ref = op.Ref
			answer.Conflicts = append(answer.Conflicts, row)
		}
	}
	if len(answer.Conflicts) > 0 {
		return answer
	}
	p.write(tx)
	answer.Done = true
	return answer
}

// write takes the lock as held.
func (p *Platform) write(tx api.Tx) {
	p.applied[tx.WriteID] = true
	for _, op := range tx.Ops {
		switch {
		case op.Check:
		case op.Delete:
			delete(p.rows, op.Ref)
		default:
			p.sequence++
			p.rows[op.Ref] = api.Row{Ref: op.Ref, Version: p.sequence, WriteID: tx.WriteID, Value: bytes.Clone(op.Value)}
		}
	}
}

// now takes the lock as held.
func (p *Platform) now() time.Time { return time.Now().Add(p.skew).Round(0) }

// Read implements platform.Tables.
func (p *Platform) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := p.query(ctx, Call{Op: "read", Purpose: purpose}); err != nil {
		return api.Rows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := api.Rows{Now: p.now()}
	for _, ref := range refs {
		row := p.rows[ref]
		row.Ref = ref
		rows.Rows = append(rows.Rows, row)
	}
	return rows, nil
}

// query is begin for calls that change nothing: a lost answer is a failure.
func (p *Platform) query(ctx context.Context, call Call) error {
	fault, err := p.begin(ctx, call)
	if err != nil || fault.LostBefore || fault.LostAfter || fault.AppliesAfter > 0 {
		return api.NewError(api.KindStoreUnavailable, "%s: no answer", call.Op)
	}
	return nil
}

// Scan implements platform.Tables.
func (p *Platform) Scan(ctx context.Context, purpose platform.Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := p.query(ctx, Call{Op: "scan", Purpose: purpose}); err != nil {
		return api.Rows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := api.Rows{Now: p.now()}
	for ref, row := range p.rows {
		if ref.Table == query.Table && strings.HasPrefix(ref.Key, query.Prefix) && ref.Key > query.After {
			rows.Rows = append(rows.Rows, row)
		}
	}
	sort.Slice(rows.Rows, func(i, j int) bool { return rows.Rows[i].Key < rows.Rows[j].Key })
	if query.Limit > 0 && len(rows.Rows) > query.Limit {
		rows.Rows, rows.More = rows.Rows[:query.Limit], true
	}
	return rows, nil
}

// Put implements platform.Objects.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	fault, err := p.begin(ctx, Call{Op: "put"})
	if err != nil || fault.LostBefore {
		return api.NewError(api.KindStoreUnavailable, "put: no answer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if present, ok := p.objects[name]; ok && !bytes.Equal(present, data) {
		return api.NewError(api.KindConflict, "object %s has other bytes", name)
	}
	p.objects[name] = bytes.Clone(data)
	if fault.LostAfter || fault.AppliesAfter > 0 {
		return api.NewError(api.KindStoreUnavailable, "put: the answer was lost")
	}
	return nil
}

// Get implements platform.Objects.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.query(ctx, Call{Op: "get"}); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, api.NewError(api.KindNotFound, "no object %s", name)
	}
	return bytes.Clone(data), nil
}

// List implements platform.InstanceLister.
func (p *Platform) List(ctx context.Context) (api.InstanceList, error) {
	if err := p.query(ctx, Call{Op: "list"}); err != nil {
		return api.InstanceList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances, nil
}

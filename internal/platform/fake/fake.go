// Package fake implements an in-memory platform for tests: tables, objects and
// the instance list, with a store clock and faults that are controlled by the
// test.
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

// Call describes one call to the platform, for selecting its fault.
type Call struct {
	// Op is "commit", "read", "scan", "put", "get" or "list".
	Op      string
	Purpose platform.Purpose
	Tx      api.Tx
	// Caller is the name given by WithCaller, if any.
	Caller string
}

type callerKey struct{}

// WithCaller returns a context whose calls to the platform carry the name of their
// caller.
func WithCaller(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, callerKey{}, name)
}

// Fault describes the fault of one call. The zero value is no fault.
type Fault struct {
	// Delay is the time to wait before the call is processed. If the caller's
	// context ends during the wait, a commit is applied then and its result is
	// unknown; other calls fail.
	Delay time.Duration
	// Down refuses the call at once. The call has no effect.
	Down bool
	// LoseRequest loses the call before it takes effect. The result is unknown to
	// the caller.
	LoseRequest bool
	// LoseAnswer loses the answer after the call has taken effect.
	LoseAnswer bool
	// AppliesAfter loses the answer at once and applies a commit after this time
	// if its conditions hold then. A put takes effect at once.
	AppliesAfter time.Duration
}

// Platform is an in-memory platform. It is safe for concurrent use.
type Platform struct {
	mu              sync.Mutex
	rows            map[api.Ref]api.Row
	appliedWrites   map[string]bool
	lastVersion     int64
	objects         map[string][]byte
	instances       api.InstanceList
	clockSkew       time.Duration
	forgetsWriteIDs bool
	chooseFault     func(Call) Fault
	calls           map[string]int
}

var (
	_ platform.Tables         = (*Platform)(nil)
	_ platform.Objects        = (*Platform)(nil)
	_ platform.InstanceLister = (*Platform)(nil)
)

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		rows:          make(map[api.Ref]api.Row),
		appliedWrites: make(map[string]bool),
		objects:       make(map[string][]byte),
		calls:         make(map[string]int),
	}
}

// SetFault sets the function that selects the fault of each call; nil means no
// faults. choose is called with the platform's lock held, so that a seeded
// function gets the calls one by one, and must not call the platform.
func (p *Platform) SetFault(choose func(Call) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooseFault = choose
}

// SetClockSkew sets the time by which the store's clock is ahead of the local clock.
func (p *Platform) SetClockSkew(skew time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockSkew = skew
}

// SetForgetsWriteIDs sets whether the tables ignore the write ids that they have
// applied, so that a repeated write is not recognized.
func (p *Platform) SetForgetsWriteIDs(forgets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetsWriteIDs = forgets
}

// SetInstances sets the instance list.
func (p *Platform) SetInstances(list api.InstanceList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Calls returns the number of calls of an op, including failed calls.
func (p *Platform) Calls(op string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[op]
}

// beginCall counts the call, selects its fault and waits for the fault's delay.
// It fails if the call is refused or ctx is done.
func (p *Platform) beginCall(ctx context.Context, call Call) (Fault, error) {
	call.Caller, _ = ctx.Value(callerKey{}).(string)
	p.mu.Lock()
	p.calls[call.Op]++
	var fault Fault
	if p.chooseFault != nil {
		fault = p.chooseFault(call)
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
	fault, err := p.beginCall(ctx, Call{Op: "commit", Purpose: purpose, Tx: tx})
	if api.IsKind(err, api.KindStoreUnavailable) {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	lostAnswer := platform.CommitResult{State: platform.CommitUnknown, Err: api.NewError(api.KindStoreUnavailable, "the answer was lost")}
	switch {
	case err != nil || fault.AppliesAfter > 0:
		time.AfterFunc(fault.AppliesAfter, func() { p.apply(tx) })
		return lostAnswer
	case fault.LoseRequest:
		return lostAnswer
	}
	answer := p.apply(tx)
	switch {
	case fault.LoseAnswer:
		return lostAnswer
	case answer.Done:
		return platform.CommitResult{State: platform.CommitDone, Now: answer.Now}
	}
	return platform.CommitResult{State: platform.CommitNotDone, Conflicts: answer.Conflicts, Now: answer.Now}
}

// apply applies the transaction, or returns its conflicts. A write id that was
// already applied is not applied again, unless forgetsWriteIDs is set.
func (p *Platform) apply(tx api.Tx) api.TxAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := api.TxAnswer{Now: p.storeNow()}
	if p.appliedWrites[tx.WriteID] && !p.forgetsWriteIDs {
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
	p.applyOps(tx)
	answer.Done = true
	return answer
}

// applyOps applies the operations of tx. The caller holds mu.
func (p *Platform) applyOps(tx api.Tx) {
	p.appliedWrites[tx.WriteID] = true
	for _, op := range tx.Ops {
		switch {
		case op.Check:
		case op.Delete:
			delete(p.rows, op.Ref)
		default:
			p.lastVersion++
			p.rows[op.Ref] = api.Row{Ref: op.Ref, Version: p.lastVersion, WriteID: tx.WriteID, Value: bytes.Clone(op.Value)}
		}
	}
}

// storeNow returns the time of the store's clock. The caller holds mu.
func (p *Platform) storeNow() time.Time { return time.Now().Add(p.clockSkew).Round(0) }

// Read implements platform.Tables.
func (p *Platform) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := p.beginQuery(ctx, Call{Op: "read", Purpose: purpose}); err != nil {
		return api.Rows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := api.Rows{Now: p.storeNow()}
	for _, ref := range refs {
		row := p.rows[ref]
		row.Ref = ref
		rows.Rows = append(rows.Rows, row)
	}
	return rows, nil
}

// beginQuery is beginCall for calls without effect, for which a lost answer is a
// failure.
func (p *Platform) beginQuery(ctx context.Context, call Call) error {
	fault, err := p.beginCall(ctx, call)
	if err != nil || fault.LoseRequest || fault.LoseAnswer || fault.AppliesAfter > 0 {
		return api.NewError(api.KindStoreUnavailable, "%s: no answer", call.Op)
	}
	return nil
}

// Scan implements platform.Tables.
func (p *Platform) Scan(ctx context.Context, purpose platform.Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := p.beginQuery(ctx, Call{Op: "scan", Purpose: purpose}); err != nil {
		return api.Rows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := api.Rows{Now: p.storeNow()}
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
	fault, err := p.beginCall(ctx, Call{Op: "put"})
	if err != nil || fault.LoseRequest {
		return api.NewError(api.KindStoreUnavailable, "put: no answer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.objects[name]; ok && !bytes.Equal(existing, data) {
		return api.NewError(api.KindConflict, "object %s has other bytes", name)
	}
	p.objects[name] = bytes.Clone(data)
	if fault.LoseAnswer || fault.AppliesAfter > 0 {
		return api.NewError(api.KindStoreUnavailable, "put: the answer was lost")
	}
	return nil
}

// Get implements platform.Objects.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.beginQuery(ctx, Call{Op: "get"}); err != nil {
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
	if err := p.beginQuery(ctx, Call{Op: "list"}); err != nil {
		return api.InstanceList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances, nil
}

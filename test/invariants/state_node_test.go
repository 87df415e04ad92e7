package invariants

import (
	"context"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// stateNode is one process of an instance as the outside sees it. A dead one
// has no effect any more; a frozen one has its effects when it thaws.
type stateNode struct {
	mu     sync.Mutex
	dead   bool
	frozen time.Time
	cut    time.Time
}

func (n *stateNode) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

func (n *stateNode) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = time.Now().Add(d)
}

// cutOff cuts the node off from the platform for a while.
func (n *stateNode) cutOff(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = time.Now().Add(d)
}

// pass waits while the node is frozen and reports whether it is still alive.
func (n *stateNode) pass() bool {
	for {
		n.mu.Lock()
		dead, wait := n.dead, time.Until(n.frozen)
		n.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (n *stateNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cut)
}

// stateFault is a fault put in on purpose, to show that a check catches it.
type stateFault string

const (
	// trustLostAnswers takes a lost answer of the store for done.
	trustLostAnswers stateFault = "a lost answer is taken for done"
	// ignoreVersions overwrites whatever version is present.
	ignoreVersions stateFault = "writes ignore the version"
	// lieNotRun reports that a backend server did not run what it ran.
	lieNotRun stateFault = "a lost answer of a backend server is taken for not run"
)

// nodeLink is a node's connection to the platform.
type nodeLink struct {
	*fake.Platform
	node  *stateNode
	fault stateFault
	// stale makes reads answer, now and then, what the read before saw.
	stale func() bool

	mu   sync.Mutex
	last map[api.Ref]api.Row
}

func (l *nodeLink) open() error {
	if !l.node.pass() || l.node.isCut() {
		return api.NewError(api.KindStoreUnavailable, "the node is cut off from the platform")
	}
	return nil
}

// Commit implements platform.Tables.
func (l *nodeLink) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	if err := l.open(); err != nil {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	result := l.Platform.Commit(ctx, purpose, tx)
	if l.fault == ignoreVersions && len(result.Conflicts) > 0 {
		result = l.Platform.Commit(ctx, purpose, overwriting(tx, result.Conflicts))
	}
	if l.fault == trustLostAnswers && result.State == platform.CommitUnknown {
		result = platform.CommitResult{State: platform.CommitDone, Now: time.Now()}
	}
	if !l.node.pass() {
		return platform.CommitResult{State: platform.CommitUnknown, Err: l.open()}
	}
	return result
}

func overwriting(tx api.Tx, conflicts []api.Row) api.Tx {
	blind := api.Tx{WriteID: platform.NewWriteID()}
	for _, op := range tx.Ops {
		for _, row := range conflicts {
			if row.Ref == op.Ref {
				op.IfVersion = row.Version
			}
		}
		blind.Ops = append(blind.Ops, op)
	}
	return blind
}

// Read implements platform.Tables.
func (l *nodeLink) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := l.open(); err != nil {
		return api.Rows{}, err
	}
	rows, err := l.Platform.Read(ctx, purpose, refs...)
	if err != nil || l.stale == nil {
		return rows, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, row := range rows.Rows {
		if before, ok := l.last[row.Ref]; ok && l.stale() {
			rows.Rows[i] = before
		}
		l.last[row.Ref] = row
	}
	return rows, nil
}

// Scan implements platform.Tables.
func (l *nodeLink) Scan(ctx context.Context, purpose platform.Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := l.open(); err != nil {
		return api.Rows{}, err
	}
	return l.Platform.Scan(ctx, purpose, query)
}

// Put implements platform.Objects.
func (l *nodeLink) Put(ctx context.Context, name string, data []byte) error {
	if err := l.open(); err != nil {
		return err
	}
	return l.Platform.Put(ctx, name, data)
}

// Get implements platform.Objects.
func (l *nodeLink) Get(ctx context.Context, name string) ([]byte, error) {
	if err := l.open(); err != nil {
		return nil, err
	}
	return l.Platform.Get(ctx, name)
}

package invariants

import (
	"context"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// faultyNode is one process of an instance as seen from outside. A dead node
// has no further effects; those of a frozen node occur after the thaw.
type faultyNode struct {
	mu          sync.Mutex
	dead        bool
	frozenUntil time.Time
	cutOffUntil time.Time
}

func (n *faultyNode) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

func (n *faultyNode) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

// cutOff cuts the node off from the platform for the duration d.
func (n *faultyNode) cutOff(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOffUntil = time.Now().Add(d)
}

// awaitAlive waits while the node is frozen and reports whether it is still
// alive.
func (n *faultyNode) awaitAlive() bool {
	for {
		n.mu.Lock()
		dead, wait := n.dead, time.Until(n.frozenUntil)
		n.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (n *faultyNode) isCutOff() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cutOffUntil)
}

// protocolFault is a planted fault that a check must detect.
type protocolFault string

const (
	// trustLostAnswers treats a write with a lost answer as done.
	trustLostAnswers protocolFault = "a lost answer is treated as done"
	// ignoreVersions overwrites a row whatever its version.
	ignoreVersions protocolFault = "writes ignore the version"
	// misreportNotRun reports that a backend server did not run a request that
	// it did run.
	misreportNotRun protocolFault = "a lost answer of a backend server is treated as not run"
)

// platformLink is the connection of a node to the platform.
type platformLink struct {
	*fake.Platform
	node  *faultyNode
	fault protocolFault
	// serveStale reports whether a read returns the row seen by the previous
	// read; nil means never.
	serveStale func() bool

	mu       sync.Mutex
	lastRead map[api.Ref]api.Row
}

func (l *platformLink) checkReachable() error {
	if !l.node.awaitAlive() || l.node.isCutOff() {
		return api.NewError(api.KindStoreUnavailable, "the node is cut off from the platform")
	}
	return nil
}

// Commit implements platform.Tables.
func (l *platformLink) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	if err := l.checkReachable(); err != nil {
		return platform.CommitResult{State: platform.CommitNotDone, Err: err}
	}
	result := l.Platform.Commit(ctx, purpose, tx)
	if l.fault == ignoreVersions && len(result.Conflicts) > 0 {
		result = l.Platform.Commit(ctx, purpose, withStoredVersions(tx, result.Conflicts))
	}
	if l.fault == trustLostAnswers && result.State == platform.CommitUnknown {
		result = platform.CommitResult{State: platform.CommitDone, Now: time.Now()}
	}
	if !l.node.awaitAlive() {
		return platform.CommitResult{State: platform.CommitUnknown, Err: l.checkReachable()}
	}
	return result
}

// withStoredVersions returns tx with the versions of the conflicting rows
// replaced by those in the store.
func withStoredVersions(tx api.Tx, conflicts []api.Row) api.Tx {
	unconditional := api.Tx{WriteID: platform.NewWriteID()}
	for _, op := range tx.Ops {
		for _, row := range conflicts {
			if row.Ref == op.Ref {
				op.IfVersion = row.Version
			}
		}
		unconditional.Ops = append(unconditional.Ops, op)
	}
	return unconditional
}

// Read implements platform.Tables.
func (l *platformLink) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := l.checkReachable(); err != nil {
		return api.Rows{}, err
	}
	rows, err := l.Platform.Read(ctx, purpose, refs...)
	if err != nil || l.serveStale == nil {
		return rows, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, row := range rows.Rows {
		if earlier, ok := l.lastRead[row.Ref]; ok && l.serveStale() {
			rows.Rows[i] = earlier
		}
		l.lastRead[row.Ref] = row
	}
	return rows, nil
}

// Scan implements platform.Tables.
func (l *platformLink) Scan(ctx context.Context, purpose platform.Purpose, query api.ScanQuery) (api.Rows, error) {
	if err := l.checkReachable(); err != nil {
		return api.Rows{}, err
	}
	return l.Platform.Scan(ctx, purpose, query)
}

// Put implements platform.Objects.
func (l *platformLink) Put(ctx context.Context, name string, data []byte) error {
	if err := l.checkReachable(); err != nil {
		return err
	}
	return l.Platform.Put(ctx, name, data)
}

// Get implements platform.Objects.
func (l *platformLink) Get(ctx context.Context, name string) ([]byte, error) {
	if err := l.checkReachable(); err != nil {
		return nil, err
	}
	return l.Platform.Get(ctx, name)
}

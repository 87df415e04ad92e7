package deployment

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// followWait is how long the store may wait for a change. It is shorter than
	// the bounds within which changes must be in force, so that a feed that went
	// silent is noticed in time.
	followWait = 1 * time.Second
	// followPause is the pause after a failure.
	followPause = 100 * time.Millisecond
	// leaderGap, othersGap and restGap are the pauses of hubs after changes of the
	// product's table. The leader is told of new jobs by whom callers asked; the feed
	// brings what such a note missed. Those next in line see its renewals there. The
	// others get records from the leader, and read a job that they do not know.
	leaderGap = 50 * time.Millisecond
	othersGap = 200 * time.Millisecond
	restGap   = 600 * time.Millisecond
	// workersGap is the same for the list of workers, which the leader alone follows:
	// every heartbeat is a change of it.
	workersGap = 250 * time.Millisecond
	// configurationGap batches changes that come in quick succession.
	configurationGap = 20 * time.Millisecond
	// readEvery is how often a followed table is read all the same: a feed may
	// hear nothing for a while although there are changes.
	readEvery = 1 * time.Second
)

// tableGap is the pause after changes of the product's table of an instance by its place
// in line for the lease.
func tableGap(holds bool, place int) time.Duration {
	switch {
	case holds:
		return leaderGap
	case place <= inLine:
		return othersGap
	}
	return restGap
}

// follower keeps up with one table: a whole read, then its changes.
type follower struct {
	store  workload.Store
	source workload.Source
	logger *zap.Logger
	// gap is the pause after changes, so that a table with many writers costs a
	// call a gap and not a call a write.
	gap func() time.Duration
	// whole takes a whole read, taken at a version; changes takes what follows.
	whole   func(rows []workload.Row, at int64)
	changes func(rows []workload.Row)
	// wanted, if set, says whether the table is followed now; idle is called again and
	// again while it is not.
	wanted func() bool
	idle   func()
	// heard, if set, takes when a call was sent whose answer has been taken.
	heard func(sent time.Time)
}

// isWanted reports whether the table is followed now.
func (f *follower) isWanted() bool { return f.wanted == nil || f.wanted() }

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isWanted() {
			f.idle()
			pause(ctx, roleEvery)
			continue
		}
		f.readAndFollow(ctx)
	}
}

// readAndFollow follows from a whole read on, until the table is not wanted any more.
func (f *follower) readAndFollow(ctx context.Context) {
	for ctx.Err() == nil && f.isWanted() {
		sent := bootTime()
		rows, version, err := readTable(ctx, f.store, f.source)
		if err != nil {
			pause(ctx, followPause)
			continue
		}
		f.whole(rows, version)
		f.noteHeard(sent)
		f.follow(ctx, version)
	}
}

// follow takes changes until the history is gone, or the table is not wanted any more.
func (f *follower) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil && f.isWanted() {
		sent := bootTime()
		page, err := f.store.Follow(ctx, f.source, version, followWait)
		if errors.Is(err, workload.ErrHistoryGone) {
			f.logger.Info("history gone, reading the table", zap.String("source", string(f.source)), zap.Int64("version", version))
			return
		}
		if err != nil {
			pause(ctx, followPause)
			continue
		}
		f.changes(page.Rows)
		f.noteHeard(sent)
		version = max(version, page.Version)
		pause(ctx, f.gap())
	}
}

func (f *follower) noteHeard(sent time.Time) {
	if f.heard != nil {
		f.heard(sent)
	}
}

func pause(ctx context.Context, d time.Duration) { pauseUnless(ctx, d, nil) }

// pauseUnless pauses until something wakes it.
func pauseUnless(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

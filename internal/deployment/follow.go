package deployment

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// followWait is the time that the store may wait for a change. It is shorter than
	// the bounds within which changes must be in force, so that a feed that has stopped
	// responding is noticed in time.
	followWait = 1 * time.Second
	// followRetryPause is the pause after a failure.
	followRetryPause = 100 * time.Millisecond
	// leaderGap, nextInLineGap and restGap are the pauses of hubs after changes of the
	// product's table. The leader is notified of new jobs by the instances that
	// accepted them; its feed delivers those whose notification was lost. The instances
	// next in line observe renewals through the feed. The others receive records from
	// the leader, and read jobs that they do not have.
	leaderGap     = 50 * time.Millisecond
	nextInLineGap = 200 * time.Millisecond
	restGap       = 600 * time.Millisecond
	// workersGap is the pause for the list of workers, which only the leader follows.
	// Every heartbeat is a change of that list.
	workersGap = 250 * time.Millisecond
	// configurationGap batches changes that arrive in quick succession.
	configurationGap = 20 * time.Millisecond
	// rereadInterval is the interval at which the operators' table is read in addition
	// to its feed, which may miss changes for a while.
	rereadInterval = 1 * time.Second
)

// tableGap returns the pause after changes of the product's table, given whether the
// instance holds the lease and its rank among the candidates.
func tableGap(holdsLease bool, rank int) time.Duration {
	switch {
	case holdsLease:
		return leaderGap
	case rank <= maxNextInLineRank:
		return nextInLineGap
	}
	return restGap
}

// follower follows one table: it reads the whole table, then its changes.
type follower struct {
	store  workload.Store
	source workload.Source
	logger *zap.Logger
	// gap returns the pause after changes, so that a table with many writers costs one
	// call per gap instead of one per write.
	gap func() time.Duration
	// reload receives a whole read and its version; apply receives the changes after
	// it.
	reload func(rows []workload.Row, at int64)
	apply  func(rows []workload.Row)
	// wanted, if set, reports whether the table is to be followed now; whileUnwanted is
	// called repeatedly while it is not.
	wanted        func() bool
	whileUnwanted func()
	// advanced, if set, is called with the version up to which all changes were applied.
	advanced func(version int64)
	// confirm, if set, is called with the time at which a call was sent, once its
	// answer has been applied.
	confirm func(sent time.Time)
}

// isWanted reports whether the table is to be followed now.
func (f *follower) isWanted() bool { return f.wanted == nil || f.wanted() }

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isWanted() {
			f.whileUnwanted()
			pause(ctx, roleCheckInterval)
			continue
		}
		f.readAndFollow(ctx)
	}
}

// readAndFollow reads the whole table and follows its changes, until the table is no
// longer wanted.
func (f *follower) readAndFollow(ctx context.Context) {
	for ctx.Err() == nil && f.isWanted() {
		sent := bootTime()
		rows, version, err := readTable(ctx, f.store, f.source)
		if err != nil {
			pause(ctx, followRetryPause)
			continue
		}
		f.reload(rows, version)
		f.confirmAnswer(sent)
		f.follow(ctx, version)
	}
}

// follow applies changes until the store no longer has the history, or the table is no
// longer wanted.
func (f *follower) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil && f.isWanted() {
		sent := bootTime()
		page, err := f.store.Follow(ctx, f.source, version, followWait)
		if errors.Is(err, workload.ErrHistoryGone) {
			f.logger.Info("history gone, reading the table", zap.String("source", string(f.source)), zap.Int64("version", version))
			return
		}
		if err != nil {
			pause(ctx, followRetryPause)
			continue
		}
		f.apply(page.Rows)
		f.confirmAnswer(sent)
		version = max(version, page.Version)
		if f.advanced != nil {
			f.advanced(version)
		}
		pause(ctx, f.gap())
	}
}

func (f *follower) confirmAnswer(sent time.Time) {
	if f.confirm != nil {
		f.confirm(sent)
	}
}

func pause(ctx context.Context, d time.Duration) { pauseOrWake(ctx, d, nil) }

// pauseOrWake pauses until the duration has passed, the context ends, or wake delivers a
// value.
func pauseOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

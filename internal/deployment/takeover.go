package deployment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file is what a leader does between its lease and its first decision: it reads the
// table, the workers and what operators decided, and hands all of it to a new core.

// followWorkers follows the list of workers from a version on.
func (c *leader) followWorkers(ctx context.Context, version int64) {
	list := &follower{
		store:   c.instance.store,
		source:  workload.SourceWorkers,
		logger:  c.instance.logger,
		whole:   c.instance.workers.reload,
		changes: c.instance.workers.apply,
		gap:     func() time.Duration { return workersGap },
	}
	list.follow(ctx, version)
	list.run(ctx)
}

// load fills the core with what the store has, and returns the version of the list of
// workers; false if the lease is over first. The reads come after the lease was taken, so
// nothing that an earlier leader wrote is missing, and what operators drained is known
// before the first start.
func (c *leader) load() (int64, bool) {
	for ; c.ctx.Err() == nil; pause(c.ctx, followPause) {
		own, workers := c.read(workload.SourceOwn), c.read(workload.SourceWorkers)
		operators := c.instance.readOperatorTable(c.ctx)
		table, list := <-own, <-workers
		switch {
		case table.err != nil:
			c.logger.Warn("reading the table failed", zap.Error(table.err))
		case list.err != nil:
			c.logger.Warn("reading the workers failed", zap.Error(list.err))
		case operators != nil:
			c.logger.Warn("reading the operators' table failed", zap.Error(operators))
		default:
			c.instance.replica.reload(table.rows, table.version)
			c.instance.workers.reload(list.rows, list.version)
			c.fill()
			return list.version, true
		}
	}
	return 0, false
}

// read reads a whole table beside other reads.
func (c *leader) read(source workload.Source) <-chan partRead {
	result := make(chan partRead, 1)
	go func() {
		rows, version, err := readTable(c.ctx, c.instance.store, source)
		result <- partRead{rows, version, err}
	}()
	return result
}

// fill makes a core of what the store and the platform's list hold.
func (c *leader) fill() {
	now, wallMS := bootTime(), time.Now().UnixMilli()
	c.core = dispatch.New(c.instance.live.Load().bounds(), c.grant.epoch, now, c.earlier(now))
	c.core.Tune(c.instance.settings.Tuning.ofCore())
	if c.grant.trust {
		c.core.TrustBegins()
	}
	c.begins = newBeginsMode(&c.grant.promise, c.core, c.instance.settings.Tuning, c.logger)
	c.core.Configure(c.instance.configuration.Load())
	c.core.Drain(c.instance.drains.list(), now, wallMS)
	// Workers that are stored but not listed may run on behind a cut that this instance
	// did not live through. Others that the list lost run nothing: nobody gets work before
	// it is stored, and it is stored until nothing can run there.
	stored := c.instance.replica.storedWorkers()
	c.core.Listed(stored, now, wallMS)
	c.core.Listed(c.instance.listedWorkers(), now, wallMS)
	c.core.Stored(stored)
	jobs := c.instance.replica.snapshot()
	for _, known := range jobs {
		c.core.AddJob(known.job, known.record, known.cancelled, now, wallMS)
		if known.announced {
			c.core.MarkDirty(known.job.ID)
		}
	}
	c.logger.Info("leading", zap.Int64("epoch", c.grant.epoch), zap.Int("jobs", len(jobs)), zap.Int("workers_stored", len(stored)))
}

// earlier is until when a leader before this one may have given orders.
func (c *leader) earlier(now time.Time) time.Time {
	if !c.grant.earlier {
		return time.Time{}
	}
	if c.grant.overlap.After(now) {
		return c.grant.overlap
	}
	return now
}

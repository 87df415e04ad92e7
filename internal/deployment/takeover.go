package deployment

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file contains the steps of a leader between taking the lease and its first
// decision: it reads the table, the workers and the operators' table, and passes all of
// it to a new core.

// followWorkers follows the list of workers from a version on.
func (c *leader) followWorkers(ctx context.Context, version int64) {
	f := &follower{
		store:  c.instance.store,
		source: workload.SourceWorkers,
		logger: c.instance.logger,
		reload: c.instance.workers.reload,
		apply:  c.instance.workers.apply,
		gap:    func() time.Duration { return workersGap },
	}
	f.follow(ctx, version)
	f.run(ctx)
}

// load fills the core from the store and returns the version of the list of workers;
// false if the lease is over first. It reads after the lease was taken, so nothing that
// an earlier leader wrote is missing, and the drained zones are known before the first
// start.
func (c *leader) load() (int64, bool) {
	for ; c.ctx.Err() == nil; pause(c.ctx, followRetryPause) {
		trust := c.grant.trustIntents && (c.grant.predecessorOver(bootTime()) || c.writeFences())
		sent := bootTime()
		own, workers := c.startRead(workload.SourceOwn), c.startRead(workload.SourceWorkers)
		operatorsErr := c.instance.readOperatorTable(c.ctx)
		table, workerList := <-own, <-workers
		switch {
		case table.err != nil:
			c.logger.Warn("reading the table failed", zap.Error(table.err))
		case workerList.err != nil:
			c.logger.Warn("reading the workers failed", zap.Error(workerList.err))
		case operatorsErr != nil:
			c.logger.Warn("reading the operators' table failed", zap.Error(operatorsErr))
		case c.showsSuccessor(table.rows):
			c.logger.Warn("the table has records of a higher epoch", zap.Int64("epoch", c.grant.epoch))
			c.grant.end()
			return 0, false
		default:
			c.instance.replica.reload(table.rows, table.version)
			c.instance.workers.reload(workerList.rows, workerList.version)
			c.readFences(table.rows)
			c.fillCore(trust)
			if c.grant.predecessorOver(sent) {
				c.earlierJobsKnown.Store(true)
				c.core.EarlierJobsKnown(bootTime(), time.Now().UnixMilli())
			}
			return workerList.version, true
		}
	}
	return 0, false
}

// showsSuccessor reports whether rows of the first read were written by a later leader. A read is made
// in pages and parts, so that it may have such rows and not that of their epoch.
func (c *leader) showsSuccessor(rows []workload.Row) bool {
	return slices.ContainsFunc(rows, func(row workload.Row) bool {
		switch row.Key[:min(len(recordPrefix), len(row.Key))] {
		case recordPrefix, recordPartPrefix:
			return row.Version > c.grant.epochVersion
		case intentPrefix:
			epoch := int64(0)
			return json.Unmarshal(row.Value, &epoch) == nil && epoch > c.grant.epoch
		}
		return false
	})
}

// startRead starts reading a whole table and returns a channel for the result.
func (c *leader) startRead(source workload.Source) <-chan readResult {
	result := make(chan readResult, 1)
	go func() {
		rows, version, err := readTable(c.ctx, c.instance.store, source)
		result <- readResult{rows, version, err}
	}()
	return result
}

// fillCore creates a core from the stored rows and the platform's list of workers. trustIntents is
// set if the rows have the start intent of every job that an earlier epoch may have started.
func (c *leader) fillCore(trustIntents bool) {
	now, wallMS := bootTime(), time.Now().UnixMilli()
	c.core = dispatch.New(c.instance.liveSettings.Load().bounds(), c.grant.epoch, now, c.predecessorActiveUntil(now))
	c.core.LimitWrites(c.instance.settings.writeLimits())
	c.core.Tune(c.instance.settings.Tuning.coreTuning())
	if trustIntents {
		c.core.TrustStartIntents()
	}
	c.intents = newIntentMode(&c.grant.promise, c.core, c.instance.settings.Tuning, c.logger)
	c.core.Configure(c.instance.configuration.Load())
	c.core.SetDrainedZones(c.instance.drains.list(), now, wallMS)
	c.restoreKnowledge(now, wallMS)
	// Workers that are stored but not listed may still run tasks behind a network
	// partition that began before this instance led. Other workers that are no longer
	// listed run nothing: a worker gets work only once it is stored, and it remains
	// stored until nothing can run there.
	stored := c.instance.replica.storedWorkers()
	c.core.WorkersListed(stored, now, wallMS)
	c.core.WorkersListed(c.instance.listedWorkers(), now, wallMS)
	c.core.WorkersStored(stored)
	c.takesJobs.Store(true)
	jobs := c.instance.replica.snapshot()
	ended, unstored, earlier := 0, 0, 0
	for _, known := range jobs {
		record, isStored := known.recordForLeader(c.grant.epoch)
		if c.core.AddJob(known.job, record, known.cancelled, now, wallMS) {
			earlier++
		}
		if record.Final != "" {
			ended++
		}
		if !isStored {
			unstored++
			c.core.MarkDirty(known.job.ID)
		}
	}
	c.core.JobsRead()
	c.logger.Info("leading", zap.Int64("epoch", c.grant.epoch), zap.Int("jobs", len(jobs)), zap.Int("jobs_ended", ended),
		zap.Bool("intents_trusted", trustIntents), zap.Int("jobs_may_have_started", earlier), zap.Int("ends_unstored", unstored), zap.Int("workers_stored", len(stored)))
}

// tableKnown tells the core that it knows every job that an earlier leader may have started, once
// this instance has the table up to a version that has them all. A job whose note is on its way is
// taken from the table.
func (c *leader) tableKnown(version int64) {
	if !c.grant.coversPredecessor(version) || !c.earlierJobsKnown.CompareAndSwap(false, true) {
		return
	}
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		for _, known := range c.instance.replica.snapshotExcept(core.Knows) {
			c.addJob(&known, now, wallMS)
		}
		core.EarlierJobsKnown(now, wallMS)
		c.logger.Info("jobs of earlier epochs known", zap.Int64("epoch", c.grant.epoch), zap.Int64("version", version))
	})
}

// addJob adds a job that this instance learned of after the core was filled.
func (c *leader) addJob(known *knownJob, now time.Time, wallMS int64) {
	if c.core.AddJob(known.job, known.record, known.cancelled, now, wallMS) {
		c.logger.Info("job may have been started by an earlier epoch", zap.String("job", known.job.ID), zap.Int64("epoch", c.grant.epoch))
	}
}

// lateJobAge is the age from which a job that is new to the leader is logged: its row was stored late,
// or no note of it arrived.
const lateJobAge = time.Second

// logLateJob logs a job that is new to the core long after the call that submitted it.
func (c *leader) logLateJob(known *knownJob, wallMS int64) {
	age := time.Duration(wallMS-known.job.AcceptedMS) * time.Millisecond
	if age >= lateJobAge && !c.core.Knows(known.job.ID) {
		c.logger.Info("job stored late", zap.String("job", known.job.ID), zap.Int64("version", c.instance.replica.version(jobPrefix+known.job.ID)),
			zap.Int64("age_ms", age.Milliseconds()), zap.Bool("cancelled", known.cancelled))
	}
}

// predecessorActiveUntil returns the time until which a previous leader may have given
// orders; zero if there was none.
func (c *leader) predecessorActiveUntil(now time.Time) time.Time {
	if !c.grant.hasPredecessor {
		return time.Time{}
	}
	if c.grant.predecessorUntil.After(now) {
		return c.grant.predecessorUntil
	}
	return now
}

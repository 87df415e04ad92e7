package deployment

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// maxRecordsPerWrite bounds the records of one transaction. Each record takes two
	// of the hundred entries that a transaction may have, the epoch takes one, and the
	// rest is left for workers.
	maxRecordsPerWrite = 40
	// maxEntriesPerWrite bounds the entries of one transaction.
	maxEntriesPerWrite = 100
	// writeRetryPause is the pause after a failed write of records.
	writeRetryPause = 100 * time.Millisecond
	// removeExpiredInterval is the interval at which the rows of jobs that ended long
	// ago are removed.
	removeExpiredInterval = 5 * time.Second
	// retentionFactor is the multiple of StatusRetention for which job states are kept.
	retentionFactor = 2
)

// batch is the content of one write: records, workers that may get work once they are
// stored, workers to remove, and what the leader has learned.
type batch struct {
	records []dispatch.UnstoredRecord
	workers []workload.Worker
	removed []string
	learned learnedRows
}

// nextBatch returns the next changes of the core that fit into one transaction.
func nextBatch(core *dispatch.Core) batch {
	b := batch{records: core.UnstoredRecords(maxRecordsPerWrite)}
	remaining := maxEntriesPerWrite - 1 - 2*len(b.records)
	b.workers = core.UnstoredWorkers(remaining)
	if len(b.records) < maxRecordsPerWrite {
		// The records of runs that were lost with a worker are written before the
		// worker's row is removed.
		b.removed = core.WorkersToRemove((remaining - len(b.workers)) / 2)
	}
	return b
}

func (b *batch) empty() bool { return len(b.records)+len(b.workers)+len(b.removed) == 0 }

// write starts storing what the store does not have yet. Only one write is in flight at
// a time.
func (c *leader) write() {
	if c.writing {
		return
	}
	b := nextBatch(c.core)
	if b.empty() {
		return
	}
	c.addKnowledge(&b)
	c.writing = true
	c.inFlight.Add(1)
	c.orders.Submit(func() { c.writeBatch(&b) })
}

// transaction returns the write of a batch. It expects the epoch and the version of
// every record, so that neither a replaced leader nor a late copy of an earlier write
// can change anything, and a late removal cannot remove a worker that came back. A
// worker's row has the same content regardless of its writer, so the epoch alone guards it.
func (c *leader) transaction(b *batch) workload.Write {
	tx := workload.Write{Expect: []workload.Row{{Key: epochKey, Version: c.grant.epochVersion}}}
	for _, u := range b.records {
		key := recordPrefix + u.Job
		tx.Expect = append(tx.Expect, workload.Row{Key: key, Version: c.recordVersion(key)})
		tx.Put = append(tx.Put, workload.Row{Key: key, Value: u.Record})
	}
	for i := range b.workers {
		tx.Put = append(tx.Put, workload.Row{Key: workerPrefix + b.workers[i].ID, Value: encode(b.workers[i])})
	}
	for _, id := range b.removed {
		key := workerPrefix + id
		tx.Expect = append(tx.Expect, workload.Row{Key: key, Version: c.recordVersion(key)})
		tx.Remove = append(tx.Remove, key)
	}
	b.learned.addTo(&tx)
	return tx
}

// writeBatch makes one attempt to write a batch.
func (c *leader) writeBatch(b *batch) {
	defer c.inFlight.Add(-1)
	tx := c.transaction(b)
	written, err := c.instance.store.Write(c.ctx, tx)
	switch {
	case err != nil:
		c.logger.Debug("writing records failed", zap.Error(err))
		pause(c.ctx, writeRetryPause)
	case written.Conflict:
		c.resolveConflict(tx.Expect, written.Rows)
	default:
		c.applyWritten(b, tx, written.Version)
	}
	stored := err == nil && !written.Conflict
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		c.writing = false
		if stored {
			core.MarkRecordsStored(b.records, now, wallMS)
			core.WorkersStored(b.workers)
			core.WorkersRemoved(b.removed)
			c.knowledgeStored(&b.learned)
		}
	})
}

// applyWritten applies a successful write to the replica and sends completions to the
// hubs.
func (c *leader) applyWritten(b *batch, tx workload.Write, version int64) {
	rows := slices.Clone(tx.Put) // a second route may still be sending the write
	for n := range rows {
		rows[n].Version = version
		c.recordVersions[rows[n].Key] = version
	}
	c.instance.replica.apply(rows)
	if finals := finalRows(b, rows); len(finals) > 0 {
		c.instance.sendToHubs(workload.SourceOwn, finals)
	}
	c.logEndedJobs(b.records)
}

// finalRows returns the rows of a write that callers wait for: records of jobs that
// have ended. The rest of a record matters only to the next leader, which reads the
// table.
func finalRows(b *batch, put []workload.Row) []workload.Row {
	var rows []workload.Row
	for n, u := range b.records {
		if u.Final != "" {
			rows = append(rows, put[n]) // records come first in tx.Put
		}
	}
	return rows
}

func (c *leader) logEndedJobs(list []dispatch.UnstoredRecord) {
	for _, u := range list {
		if u.Final != "" {
			c.logger.Info("job ended", zap.String("job", u.Job), zap.String("state", string(u.Final)), zap.Int64("epoch", c.grant.epoch))
		}
	}
}

// recordVersion returns the expected version of a row. It is only called by the one
// write in flight.
func (c *leader) recordVersion(key string) int64 {
	if version, ok := c.recordVersions[key]; ok {
		return version
	}
	return c.instance.replica.version(key)
}

// resolveConflict records the actual versions that a refused write found. Either an
// earlier copy of the write was performed although its answer was lost, or the lease is
// lost. An expected row that is not among rows no longer exists.
func (c *leader) resolveConflict(expected, rows []workload.Row) {
	actual := make(map[string]int64, len(rows))
	for _, row := range rows {
		actual[row.Key] = row.Version
	}
	for _, row := range expected {
		if row.Key != epochKey {
			c.recordVersions[row.Key] = actual[row.Key]
			continue
		}
		if actual[epochKey] != c.grant.epochVersion {
			c.logger.Warn("the store has a higher epoch", zap.Int64("epoch", c.grant.epoch))
			c.grant.end()
		}
	}
}

// removeExpired removes the rows of jobs whose states no longer need to be shown.
func (c *leader) removeExpired() {
	now := bootTime()
	if now.Sub(c.expiredRemovedAt) < removeExpiredInterval {
		return
	}
	c.expiredRemovedAt = now
	retention := retentionFactor * c.instance.liveSettings.Load().bounds().StatusRetention
	ids := c.instance.replica.expired(time.Now().Add(-retention).UnixMilli(), maxRecordsPerWrite/2)
	if len(ids) == 0 {
		return
	}
	c.orders.Submit(func() { c.removeRows(ids) })
}

// removals returns the writes that remove the rows of ended jobs: the jobs first and
// their records last, since a job without its record would run again.
func removals(ids []string, epochVersion int64) []workload.Write {
	parts := make(map[string]*workload.Write)
	for _, id := range ids {
		part := partOf(jobPrefix + id)
		if parts[part] == nil {
			parts[part] = &workload.Write{Part: part}
		}
		parts[part].Remove = append(parts[part].Remove, jobPrefix+id, cancelPrefix+id, intentPrefix+id)
	}
	var list []workload.Write
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		list = append(list, *parts[part])
	}
	records := workload.Write{Part: mainPart, Expect: []workload.Row{{Key: epochKey, Version: epochVersion}}}
	for _, id := range ids {
		records.Remove = append(records.Remove, recordPrefix+id)
	}
	return append(list, records)
}

func (c *leader) removeRows(ids []string) {
	for _, tx := range removals(ids, c.grant.epochVersion) {
		written, err := c.instance.store.Write(c.ctx, tx)
		if err != nil || written.Conflict {
			c.logger.Debug("removing old rows failed", zap.Error(err), zap.Bool("conflict", written.Conflict))
			return
		}
	}
	c.post(func(core *dispatch.Core, _ time.Time, _ int64) {
		for _, id := range ids {
			core.RemoveJob(id)
		}
	})
}

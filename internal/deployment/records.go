package deployment

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
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

// nextBatch returns the next changes of the core that fit into one transaction, at most maxItems of
// them.
func nextBatch(core *dispatch.Core, maxItems int) batch {
	b := batch{records: core.UnstoredRecords(min(maxRecordsPerWrite, maxItems))}
	remaining := min(maxEntriesPerWrite-1-b.recordEntries(), maxItems-len(b.records))
	b.workers = core.UnstoredWorkers(remaining)
	if len(b.records) == core.UnstoredRecordCount() && !b.incomplete() {
		// The records of runs that were lost with a worker are written before the
		// worker's row is removed.
		b.removed = core.WorkersToRemove(max(remaining-len(b.workers), 0) / 2)
	}
	return b
}

// items returns the number of changes in the batch, without knowledge.
func (b *batch) items() int { return len(b.records) + len(b.workers) + len(b.removed) }

// write starts storing what the store does not have yet. Only one write is in flight at
// a time.
func (c *leader) write() {
	if c.writing {
		return
	}
	b := nextBatch(c.core, c.itemLimit.items)
	if b.items() == 0 {
		return
	}
	if !c.itemLimit.reduced() {
		c.addKnowledge(&b)
	}
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
	for n := range b.records {
		for _, row := range recordRows(&b.records[n]) {
			tx.Expect = append(tx.Expect, workload.Row{Key: row.Key, Version: c.recordVersion(row.Key)})
			tx.Put = append(tx.Put, row)
		}
		tx.Remove = append(tx.Remove, obsoleteRows(&b.records[n])...)
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
	case errors.Is(err, workload.ErrRefused):
		c.logger.Warn("write refused", zap.Int64("epoch", c.grant.epoch), zap.Int("items", b.items()), zap.Int("bytes", sizeOf(tx)), zap.Error(err))
		if b.items() == 1 {
			pause(c.ctx, writeRetryPause) // a worker's row that is refused is tried again
		}
	case err != nil:
		c.logger.Debug("writing records failed", zap.Error(err))
		pause(c.ctx, writeRetryPause)
	case written.Conflict:
		c.resolveConflict(tx.Expect, written.Rows)
	default:
		c.applyWritten(b, tx, written.Version)
	}
	stored, refused := err == nil && !written.Conflict, errors.Is(err, workload.ErrRefused)
	c.post(func(_ *dispatch.Core, now time.Time, wallMS int64) {
		c.writing = false
		switch {
		case stored:
			c.batchStored(b, now, wallMS)
		case refused:
			c.narrowDown(b, now, wallMS)
		}
	})
}

// batchStored records in the core that the store has a batch.
func (c *leader) batchStored(b *batch, now time.Time, wallMS int64) {
	c.itemLimit.widen()
	c.core.MarkRecordsStored(b.records, now, wallMS)
	c.core.WorkersStored(b.workers)
	c.core.WorkersRemoved(b.removed)
	c.knowledgeStored(&b.learned)
}

// itemLimit bounds the items of the next write. It shrinks while the store refuses writes, until the
// item at fault is alone, and grows again with each write that is stored.
type itemLimit struct{ items int }

func newItemLimit() itemLimit { return itemLimit{maxEntriesPerWrite} }

func (l *itemLimit) reduced() bool { return l.items < maxEntriesPerWrite }

func (l *itemLimit) widen() { l.items = min(2*l.items, maxEntriesPerWrite) }

// narrowDown halves the next write after the store refused one, or holds back the record that it
// refused on its own.
func (c *leader) narrowDown(b *batch, now time.Time, wallMS int64) {
	switch {
	case len(b.learned.rows)+len(b.learned.removed) > 0 && b.items() == 1:
		c.itemLimit.items = 1 // once more without knowledge
	case b.items() > 1:
		c.itemLimit.items = b.items() / 2
	case len(b.records) == 1:
		u := b.records[0]
		metricRefusedRecords.Inc()
		c.logger.Error("record held back", zap.String("job", u.Job), zap.Int("bytes", len(u.Record)), zap.Int64("epoch", c.grant.epoch))
		c.core.RecordRefused(u, now, wallMS)
	}
}

// sizeOf returns the bytes of all values of a write.
func sizeOf(tx workload.Write) int {
	size := 0
	for _, row := range tx.Put {
		size += len(row.Value)
	}
	return size
}

var metricRefusedRecords = metrics.NewCounter("corianderbank_deployment_refused_records_total")

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
	final := make(map[string]bool)
	for _, u := range b.records {
		final[recordPrefix+u.Job] = u.Final != ""
	}
	var rows []workload.Row
	for _, row := range put {
		if final[row.Key] {
			rows = append(rows, row)
		}
	}
	return rows
}

func (c *leader) logEndedJobs(list []dispatch.UnstoredRecord) {
	for _, u := range list {
		if u.Final != "" && !u.Incomplete {
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
	statusRetention := c.instance.liveSettings.Load().bounds().StatusRetention
	c.removeExpiredCancellations(now.Add(-max(statusRetention, minCancelRetention)))
	retention := retentionFactor * statusRetention
	ids := c.instance.replica.expired(now.Add(-retention), maxRecordsPerWrite/2)
	if len(ids) == 0 {
		return
	}
	c.orders.Submit(func() { c.removeRows(ids) })
}

// removals returns the writes that remove the rows of ended jobs: the jobs first and
// their records last, since a job without its record would run again. The jobs must have the versions
// that versionOf returns: a removal that is done late must not remove a job that was submitted again.
// partKeys are the rows of the parts of the records.
func removals(ids, partKeys []string, versionOf func(key string) int64, epochVersion int64) []workload.Write {
	parts := make(map[string]*workload.Write)
	for _, id := range ids {
		part := partOf(jobPrefix + id)
		if parts[part] == nil {
			parts[part] = &workload.Write{Part: part}
		}
		parts[part].Expect = append(parts[part].Expect, workload.Row{Key: jobPrefix + id, Version: versionOf(jobPrefix + id)})
		parts[part].Remove = append(parts[part].Remove, jobPrefix+id, cancelPrefix+id, intentPrefix+id)
	}
	var list []workload.Write
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		list = append(list, *parts[part])
	}
	keys := slices.Clone(partKeys)
	for _, id := range ids {
		keys = append(keys, recordPrefix+id)
	}
	for chunk := range slices.Chunk(keys, maxEntriesPerWrite-1) {
		list = append(list, workload.Write{Part: mainPart, Expect: []workload.Row{{Key: epochKey, Version: epochVersion}}, Remove: chunk})
	}
	return list
}

func (c *leader) removeRows(ids []string) {
	replica := c.instance.replica
	for _, tx := range removals(ids, replica.recordPartKeys(ids), replica.version, c.grant.epochVersion) {
		written, err := c.instance.store.Write(c.ctx, tx)
		if err != nil || written.Conflict {
			replica.apply(written.Rows)
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

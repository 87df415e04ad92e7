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
	// recordsAtOnce bounds the records of one transaction. Each is two entries of
	// the hundred that a transaction may have, the epoch one, and some are left for
	// workers.
	recordsAtOnce = 40
	// entriesAtOnce bounds the entries of one transaction.
	entriesAtOnce = 100
	// writePause is the pause after a failed write of records.
	writePause = 100 * time.Millisecond
	// collectEvery is how often rows of jobs that ended long ago are removed.
	collectEvery = 5 * time.Second
	// keptTimes says how many times the promised time states are kept.
	keptTimes = 2
)

// batch is what one write stores: records, workers that may get work from then on,
// and workers that are gone.
type batch struct {
	records []dispatch.Unpersisted
	workers []workload.Worker
	gone    []string
}

// nextBatch takes from the core what fits into one transaction.
func nextBatch(core *dispatch.Core) batch {
	b := batch{records: core.Unpersisted(recordsAtOnce)}
	left := entriesAtOnce - 1 - 2*len(b.records)
	b.workers = core.Unstored(left)
	if len(b.records) < recordsAtOnce {
		// The records of what was lost with a worker go before the worker's row does.
		b.gone = core.Gone((left - len(b.workers)) / 2)
	}
	return b
}

func (b *batch) empty() bool { return len(b.records)+len(b.workers)+len(b.gone) == 0 }

// write stores what the store does not have yet; one write is under way at a
// time.
func (c *leader) write() {
	if c.writing {
		return
	}
	b := nextBatch(c.core)
	if b.empty() {
		return
	}
	c.writing = true
	c.underWay.Add(1)
	c.orders.Submit(func() { c.writeBatch(&b) })
}

// transaction is the write of a batch. It expects the epoch and the version of
// every record, so that neither a leader that was replaced nor a late copy of an
// earlier write can change anything; nor can a late removal take out a worker that
// came back. A worker's row holds the same whoever writes it, so the epoch alone
// guards that.
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
	for _, id := range b.gone {
		key := workerPrefix + id
		tx.Expect = append(tx.Expect, workload.Row{Key: key, Version: c.recordVersion(key)})
		tx.Remove = append(tx.Remove, key)
	}
	return tx
}

// writeBatch tries one write.
func (c *leader) writeBatch(b *batch) {
	defer c.underWay.Add(-1)
	tx := c.transaction(b)
	written, err := c.instance.store.Write(c.ctx, tx)
	switch {
	case err != nil:
		c.logger.Debug("writing records failed", zap.Error(err))
		pause(c.ctx, writePause)
	case written.Conflict:
		c.conflict(tx.Expect, written.Rows)
	default:
		c.written(b, tx, written.Version)
	}
	stored := err == nil && !written.Conflict
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		c.writing = false
		if stored {
			core.Recorded(b.records, now, wallMS)
			core.Stored(b.workers)
			core.Removed(b.gone)
		}
	})
}

// written takes what the store has now.
func (c *leader) written(b *batch, tx workload.Write, version int64) {
	for n := range tx.Put {
		tx.Put[n].Version = version
		c.recordVersions[tx.Put[n].Key] = version
	}
	c.instance.replica.apply(tx.Put)
	if finals := finalRows(b, tx.Put); len(finals) > 0 {
		c.instance.passOn(workload.SourceOwn, finals)
	}
	c.logFinals(b.records)
}

// finalRows are the rows of a write that callers are waiting for: records of jobs that
// have ended. What else a record holds matters to the next leader alone, which reads the
// table.
func finalRows(b *batch, put []workload.Row) []workload.Row {
	var rows []workload.Row
	for n, u := range b.records {
		if u.Final != "" {
			rows = append(rows, put[n]) // records come first in a write
		}
	}
	return rows
}

func (c *leader) logFinals(list []dispatch.Unpersisted) {
	for _, u := range list {
		if u.Final != "" {
			c.logger.Info("job ended", zap.String("job", u.Job), zap.String("state", string(u.Final)), zap.Int64("epoch", c.grant.epoch))
		}
	}
}

// recordVersion is only called by the one write under way.
func (c *leader) recordVersion(key string) int64 {
	if version, ok := c.recordVersions[key]; ok {
		return version
	}
	return c.instance.replica.version(key)
}

// conflict takes the versions that a refused write met: either an earlier copy
// of it was performed although its answer was lost, or the lease is lost. A row that
// was expected and is not among them does not exist any more.
func (c *leader) conflict(expected, rows []workload.Row) {
	met := make(map[string]int64, len(rows))
	for _, row := range rows {
		met[row.Key] = row.Version
	}
	for _, row := range expected {
		if row.Key != epochKey {
			c.recordVersions[row.Key] = met[row.Key]
			continue
		}
		if met[epochKey] != c.grant.epochVersion {
			c.logger.Warn("the store has a higher epoch", zap.Int64("epoch", c.grant.epoch))
			c.grant.end()
		}
	}
}

// collect removes the rows of jobs whose states need not be shown any more.
func (c *leader) collect() {
	now := bootTime()
	if now.Sub(c.collectedAt) < collectEvery {
		return
	}
	c.collectedAt = now
	kept := keptTimes * c.instance.live.Load().bounds().StatusKept
	ids := c.instance.replica.expired(time.Now().Add(-kept).UnixMilli(), recordsAtOnce/2)
	if len(ids) == 0 {
		return
	}
	c.orders.Submit(func() { c.remove(ids) })
}

// removals are the writes that remove the rows of ended jobs: the jobs first and their
// records last, since a job without its record would run again.
func removals(ids []string, epochVersion int64) []workload.Write {
	parts := make(map[string]*workload.Write)
	for _, id := range ids {
		part := partOf(jobPrefix + id)
		if parts[part] == nil {
			parts[part] = &workload.Write{Part: part}
		}
		parts[part].Remove = append(parts[part].Remove, jobPrefix+id, cancelPrefix+id)
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

func (c *leader) remove(ids []string) {
	for _, tx := range removals(ids, c.grant.epochVersion) {
		written, err := c.instance.store.Write(c.ctx, tx)
		if err != nil || written.Conflict {
			c.logger.Debug("removing old rows failed", zap.Error(err), zap.Bool("conflict", written.Conflict))
			return
		}
	}
	c.post(func(core *dispatch.Core, _ time.Time, _ int64) {
		for _, id := range ids {
			core.Forget(id)
		}
	})
}

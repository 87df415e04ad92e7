package deployment

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/knowledge"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// What a leader has learned is stored for the next one, in rows that leave with its records:
// the epoch guards both, so that a replaced leader writes nothing. A row that is lost costs
// knowledge only.

const (
	// maxKnowledgeRows bounds the rows of knowledge in one write: records that callers wait for
	// are in the same one.
	maxKnowledgeRows = 8
	// maxRecordsBesideKnowledge is the number of records from which a write has no room for
	// knowledge.
	maxRecordsBesideKnowledge = maxRecordsPerWrite / 2
)

// learnedRows is the part of a write that holds what the leader has learned.
type learnedRows struct {
	knowledge knowledge.Knowledge
	rows      []knowledge.Row
	removed   []string
}

func (l *learnedRows) addTo(tx *workload.Write) {
	for _, row := range l.rows {
		tx.Put = append(tx.Put, workload.Row{Key: knowledgePrefix + row.Key, Value: row.Value})
	}
	for _, key := range l.removed {
		tx.Remove = append(tx.Remove, knowledgePrefix+key)
	}
}

// restoreKnowledge passes what earlier leaders have stored to the core.
func (c *leader) restoreKnowledge(now time.Time, wallMS int64) {
	if !c.instance.settings.Tuning.enabled(dispatch.MechStoredKnowledge) {
		return
	}
	rows := c.instance.replica.knowledgeRows()
	read, problems := knowledge.Decode(rows, c.grant.epoch, wallMS)
	for _, err := range problems {
		metricKnowledgeUnusable.Inc()
		c.logger.Warn("stored knowledge is not used", zap.Int64("epoch", c.grant.epoch), zap.Error(err))
	}
	c.core.Restore(read, now, wallMS)
	keys := make([]string, len(rows))
	for n, row := range rows {
		keys[n] = row.Key
	}
	c.learned = knowledge.NewTracker(c.grant.epoch, keys, read)
	c.logger.Info("knowledge restored", zap.Int64("epoch", c.grant.epoch), zap.Int("rows", len(rows)), zap.Int("unusable", len(problems)),
		zap.Int("speeds", len(read.Speeds)), zap.Int("run_times", len(read.RunTimes)), zap.Int("machines_crashed", len(read.Crashes)))
}

// addKnowledge adds to a batch what the leader has learned, if it is due and there is room.
func (c *leader) addKnowledge(b *batch) {
	now := bootTime()
	if c.learned == nil || len(b.records) > maxRecordsBesideKnowledge || !c.learned.Due(now) {
		return
	}
	left := max(maxEntriesPerWrite-1-b.recordEntries()-len(b.workers)-2*len(b.removed), 0)
	b.learned.knowledge = c.core.Knowledge()
	b.learned.rows, b.learned.removed = c.learned.Pending(b.learned.knowledge, now, time.Now().UnixMilli(), min(left, maxKnowledgeRows))
}

// knowledgeStored records that a batch's knowledge was stored.
func (c *leader) knowledgeStored(l *learnedRows) {
	if len(l.rows)+len(l.removed) == 0 {
		return
	}
	c.learned.Stored(l.knowledge, l.rows, l.removed)
	bytes := 0
	for _, row := range l.rows {
		bytes += len(row.Value)
	}
	metricKnowledgeRows.Add(len(l.rows))
	metricKnowledgeBytes.Add(bytes)
	c.logger.Info("knowledge stored", zap.Int64("epoch", c.grant.epoch), zap.Int("rows", len(l.rows)), zap.Int("bytes", bytes),
		zap.Int("speeds", len(l.knowledge.Speeds)), zap.Int("rows_removed", len(l.removed)))
}

var (
	metricKnowledgeRows     = metrics.NewCounter("corianderbank_deployment_knowledge_rows_total")
	metricKnowledgeBytes    = metrics.NewCounter("corianderbank_deployment_knowledge_bytes_total")
	metricKnowledgeUnusable = metrics.NewCounter("corianderbank_deployment_knowledge_unusable_total")
)

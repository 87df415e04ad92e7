package deployment

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Load: jobs that are accepted while the part with the records is slow or silent. Their first start
// waits for a start intent in their record, although the part that took the job answers. The intent
// is therefore written there too, apart from the record, once it has waited for longer than records
// take. It needs no epoch: that a job may have been started is true whoever says it, and a leader
// starts the job only after the answer and while its lease is valid, so the next leader reads it.

const (
	// intentFallbackAfter is the time that a start intent may wait for its record.
	intentFallbackAfter = 60 * time.Millisecond
	// maxIntentWrites bounds the separate writes in flight.
	maxIntentWrites = 64
)

// writeOwedIntents writes the start intents that records have not taken yet.
func (c *leader) writeOwedIntents() {
	owed := c.core.OwedStartIntents(intentFallbackAfter)
	if len(owed) == 0 || !c.instance.settings.Tuning.enabled(mechSeparateIntents) || !c.instance.watchesSilence() {
		return
	}
	for _, id := range owed {
		if c.intentWrites[id] || len(c.intentWrites) >= maxIntentWrites {
			continue
		}
		part := partOf(intentPrefix + id)
		if _, silent := c.instance.silence.silent(part, true, bootTime()); silent {
			continue
		}
		c.intentWrites[id] = true
		c.inFlight.Add(1)
		c.orders.Submit(func() { c.writeIntent(part, id) })
	}
}

// writeIntent makes one attempt to write a start intent.
func (c *leader) writeIntent(part, id string) {
	defer c.inFlight.Add(-1)
	started := bootTime()
	row := workload.Row{Key: intentPrefix + id, Value: encode(c.grant.epoch)}
	written, err := c.instance.store.Write(c.ctx, workload.Write{Part: part, Put: []workload.Row{row}})
	if err == nil {
		metricSeparateIntents.Inc()
		c.logger.Info("start intent stored apart", zap.String("job", id), zap.Int64("epoch", c.grant.epoch), zap.Duration("took", bootTime().Sub(started)))
		row.Version = written.Version
		c.instance.replica.apply([]workload.Row{row})
	}
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		delete(c.intentWrites, id)
		if err == nil {
			core.MarkStartIntentStored(id, now, wallMS)
		}
	})
}

var metricSeparateIntents = metrics.NewCounter("corianderbank_deployment_separate_intents_total")

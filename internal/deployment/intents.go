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
// take. A next leader that reads the part while this one may still start the job fences the part
// first (fence.go), so it either reads the intent or the store refuses it. Later intents do no harm: no
// start follows one whose leader's lease is over, and the job then waits as if it had been started.

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
		known := c.fences[part]
		c.orders.Submit(func() { c.writeIntent(part, id, known) })
	}
}

// writeIntent makes one attempt to write a start intent.
func (c *leader) writeIntent(part, id string, known fence) {
	defer c.inFlight.Add(-1)
	started := bootTime()
	row := workload.Row{Key: intentPrefix + id, Value: encode(c.grant.epoch)}
	fenceKey := fencePrefix + part
	written, err := c.instance.store.Write(c.ctx, workload.Write{
		Part: part, Expect: []workload.Row{{Key: fenceKey, Version: known.version}}, Put: []workload.Row{row},
	})
	stored := err == nil && !written.Conflict
	if stored {
		metricSeparateIntents.Inc()
		c.logger.Info("start intent stored apart", zap.String("job", id), zap.Int64("epoch", c.grant.epoch), zap.Duration("took", bootTime().Sub(started)))
		row.Version = written.Version
		c.instance.replica.apply([]workload.Row{row})
	}
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		delete(c.intentWrites, id)
		if err == nil && written.Conflict {
			// A fence of this leader, or of an earlier one, may have been written late.
			if f := decodeFence(written.Rows, fenceKey); c.admitFence(f) {
				c.fences[part] = f
			}
		}
		if stored {
			core.MarkStartIntentStored(id, now, wallMS)
		}
	})
}

var metricSeparateIntents = metrics.NewCounter("corianderbank_deployment_separate_intents_total")

package deployment

import (
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file announces completions that the store cannot take yet. A job ends when its
// workers report so, but callers see that only once its record is stored: with the
// store unreachable for four seconds, every job that ended in that time was shown late.
// The leader therefore announces the completions that it cannot store to all hubs. They
// show them to callers, and if one of them leads next, it stores them. Workers list these
// completions until they are stored, so a leader that received no announcement receives
// them from the workers, unless the worker is gone too.

const (
	// sourceAnnounced marks the rows in a peer's message as records that are not stored
	// yet.
	sourceAnnounced workload.Source = "announced"
	// announceAfter is the time that a record may wait for the store before its
	// completion is announced. A write to a slow store takes a quarter of a second, so
	// completions are announced before it ends.
	announceAfter = 150 * time.Millisecond
)

// announceCompletions sends completions that are not stored yet to all hubs, once each.
func (c *leader) announceCompletions() {
	if !c.instance.settings.Tuning.enabled(mechAnnouncements) {
		return
	}
	var rows []workload.Row
	for _, u := range c.core.UnstoredFinalRecords(announceAfter) {
		if c.announced[u.Job] {
			continue
		}
		c.announced[u.Job] = true
		rows = append(rows, workload.Row{Key: u.Job, Value: u.Record})
		c.logger.Info("end announced", zap.String("job", u.Job), zap.String("state", string(u.Final)), zap.Int64("epoch", c.grant.epoch))
	}
	if len(rows) == 0 {
		return
	}
	c.instance.replica.applyAnnounced(rows)
	c.instance.sendToHubs(sourceAnnounced, rows)
}

package deployment

import (
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file announces completions that the store cannot take yet to all hubs. If one of them leads
// next, it stores them and does not run the jobs again, although the workers that list the
// completions may be gone. Callers are shown a completion only once it is stored: a restart of all
// instances loses what was announced.

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
		rows = append(rows, workload.Row{Key: u.Job, Value: u.Record, Version: c.grant.epoch})
		c.logger.Info("end announced", zap.String("job", u.Job), zap.String("state", string(u.Final)), zap.Int64("epoch", c.grant.epoch))
	}
	if len(rows) == 0 {
		return
	}
	c.instance.replica.applyAnnounced(rows)
	c.instance.sendToHubs(sourceAnnounced, rows)
}

// recordForLeader returns the record with which the leader of an epoch begins, and whether it is
// stored. Only the preceding leader's announcement counts: a leader that was replaced, and is cut
// off, does not know what its successors have started again.
func (k *knownJob) recordForLeader(epoch int64) (record dispatch.Record, stored bool) {
	if k.record.Final != "" || k.announced == nil || k.announcedEpoch != epoch-1 {
		return k.record, true
	}
	return *k.announced, false
}

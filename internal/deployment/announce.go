package deployment

import (
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers outages of the store. A job ends when its workers say so, and is
// shown so once its record is stored; with the store away for four seconds every job
// that ended meanwhile was shown late. So the leader announces the ends that it cannot
// store to all instances. They show them, and whichever of them schedules next writes
// them. The workers list these ends until they are stored, so a leader that heard no
// announcement learns of them as well, unless the worker is gone too.

const (
	// sourceAnnounced marks rows of a peer's note as records that are not stored yet.
	sourceAnnounced workload.Source = "announced"
	// announceAfter is how long a record may wait for the store before its end is
	// announced: a slow store takes a quarter of a second.
	announceAfter = 150 * time.Millisecond
)

// announce tells all instances of ends that the store has not taken.
func (c *leader) announce() {
	if !c.instance.settings.Tuning.has(mechAnnouncements) {
		return
	}
	var rows []workload.Row
	for _, u := range c.core.EndedUnpersisted(announceAfter) {
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
	c.instance.replica.announce(rows)
	c.instance.passOn(sourceAnnounced, rows)
}

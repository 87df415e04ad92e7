package dispatch

import (
	"time"
)

// Load: a record that the store refuses, for instance because it is too large. The records of other
// jobs, which share its write, must be stored all the same, and the refused one must not be sent again
// and again. It is held back until it has changed, and then sent alone, at growing intervals.

const (
	// MaxRefusalPause and minRefusalPause bound the time between two writes of a refused record.
	MaxRefusalPause = 30 * time.Second
	minRefusalPause = 500 * time.Millisecond
)

// recordRefusal describes a record that the store refused when it was sent alone.
type recordRefusal struct {
	// revision is the refused revision of the record.
	revision uint64
	// until is the time until which no other revision is sent; pause is how long that takes, or zero
	// if the record is not refused.
	until time.Time
	pause time.Duration
}

// holds reports whether a revision of the record must not be sent now.
func (r recordRefusal) holds(revision uint64, now time.Time) bool {
	return r.pause > 0 && (revision == r.revision || now.Before(r.until))
}

// isDue reports whether the record was refused and is to be sent again now.
func (r recordRefusal) isDue(revision uint64, now time.Time) bool {
	return r.pause > 0 && !r.holds(revision, now)
}

// RecordRefused records that the store refused a record that was sent alone.
func (c *Core) RecordRefused(u UnstoredRecord, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	j := c.jobs[u.Job]
	if j == nil {
		return
	}
	pause := min(max(2*j.refusal.pause, minRefusalPause), MaxRefusalPause)
	j.refusal = recordRefusal{revision: u.Revision, until: now.Add(pause), pause: pause}
}

// RefusedRecords returns the number of jobs whose record the store refuses.
func (c *Core) RefusedRecords() int {
	count := 0
	for _, j := range c.dirty {
		if j.refusal.pause > 0 {
			count++
		}
	}
	return count
}

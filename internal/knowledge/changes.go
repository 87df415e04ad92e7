package knowledge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// A row is written again only when it would change a decision of the next leader, and at most
// every few seconds: knowledge changes with every run, and each write costs the store and every
// instance that follows its table.

const (
	// Interval is the shortest time between two comparisons.
	Interval = 3 * time.Second
	// minLogChange is the change of a speed or a run time that may change a decision: most of
	// the width of a band of speeds.
	minLogChange = 0.15
	// minPrecisionFactor is the factor by which the precision of a speed must have changed.
	minPrecisionFactor = 2
	// minUseChange is the relative change of the use by urgent work that may change a decision,
	// and minUse the one in accelerators: less than one worker is not kept free.
	minUseChange = 0.25
	minUse       = 8
	// minUnsoundChange is the change of the probability that a worker is unsound that may
	// change a decision.
	minUnsoundChange = 0.15
)

// Tracker knows what is stored and determines what to write. The caller writes the rows that
// Pending returns and reports those that were stored.
type Tracker struct {
	epoch int64
	// stored is what the rows hold, in the given number of shards.
	stored Knowledge
	shards int
	// outdated holds the keys of shards of another number, which are removed.
	outdated   []string
	comparedAt time.Time
	// lastShard is the shard that was written last.
	lastShard string
}

// NewTracker returns the tracker of a new leader, with the keys of the rows that it found and
// what it read from them.
func NewTracker(epoch int64, found []string, read Knowledge) *Tracker {
	t := &Tracker{epoch: epoch, stored: clone(read), shards: shardCount(len(read.Speeds))}
	for _, key := range found {
		if strings.HasPrefix(key, speedPrefix) && !strings.HasPrefix(key, generation(t.shards)) {
			t.outdated = append(t.outdated, key)
		}
	}
	return t
}

func clone(k Knowledge) Knowledge {
	c := Knowledge{Speeds: make(map[string]Speed), RunTimes: maps.Clone(k.RunTimes), UrgentUse: maps.Clone(k.UrgentUse), Crashes: maps.Clone(k.Crashes), Unsound: maps.Clone(k.Unsound)}
	maps.Copy(c.Speeds, k.Speeds)
	return c
}

// Due reports whether it is time to compare what is known with what is stored.
func (t *Tracker) Due(now time.Time) bool { return now.Sub(t.comparedAt) >= Interval }

// Pending returns up to limit rows to write and up to limit keys to remove.
func (t *Tracker) Pending(k Knowledge, now time.Time, nowMS int64, limit int) (rows []Row, removed []string) {
	t.comparedAt = now
	if shards := shardCount(len(k.Speeds)); shards > t.shards {
		t.reshard(shards)
	}
	header := content{Format: format, Epoch: t.epoch, SavedMS: nowMS}
	if limit > 0 && t.workChanged(k) {
		c := header
		c.RunTimes, c.UrgentUse, c.Crashes = mostObserved(k.RunTimes), k.UrgentUse, k.Crashes
		c.Unsound = likeliest(k.Unsound)
		rows = append(rows, Row{workKey, c.encode()})
	}
	for _, key := range t.changedShards(k) {
		if len(rows) == limit {
			break
		}
		c := header
		c.Speeds = make(map[string][3]int64)
		for worker, s := range k.Speeds {
			if shardOf(worker, t.shards) == key {
				c.Speeds[worker] = encodeSpeed(s)
			}
		}
		rows = append(rows, Row{key, c.encode()})
		t.lastShard = key
	}
	if len(rows) == 0 {
		removed = slices.Clone(t.outdated[:min(limit, len(t.outdated))])
	}
	return rows, removed
}

// Stored records that rows with the given knowledge were stored, and others removed.
func (t *Tracker) Stored(k Knowledge, rows []Row, removed []string) {
	for _, row := range rows {
		if row.Key == workKey {
			t.stored.RunTimes, t.stored.UrgentUse, t.stored.Crashes = k.RunTimes, k.UrgentUse, k.Crashes
			t.stored.Unsound = k.Unsound
			continue
		}
		maps.DeleteFunc(t.stored.Speeds, func(worker string, _ Speed) bool { return shardOf(worker, t.shards) == row.Key })
		for worker, s := range k.Speeds {
			if shardOf(worker, t.shards) == row.Key {
				t.stored.Speeds[worker] = s
			}
		}
	}
	t.outdated = slices.DeleteFunc(t.outdated, func(key string) bool { return slices.Contains(removed, key) })
}

// reshard schedules all speeds for writing in more shards, and the removal of the old ones once
// that is done.
func (t *Tracker) reshard(shards int) {
	for n := range t.shards {
		t.outdated = append(t.outdated, shardKey(n, t.shards))
	}
	t.shards = shards
	t.stored.Speeds = make(map[string]Speed)
}

func (t *Tracker) workChanged(k Knowledge) bool {
	for key, r := range k.RunTimes {
		known, ok := t.stored.RunTimes[key]
		if !ok || math.Abs(r.Time-known.Time) > minLogChange || math.Abs(r.DeclaredError-known.DeclaredError) > minLogChange {
			return true
		}
	}
	for pool, use := range k.UrgentUse {
		change := math.Abs(use - t.stored.UrgentUse[pool])
		if change > minUse && change > minUseChange*max(use, t.stored.UrgentUse[pool]) {
			return true
		}
	}
	for worker, p := range k.Unsound {
		if math.Abs(p-t.stored.Unsound[worker]) > minUnsoundChange {
			return true
		}
	}
	for worker, p := range t.stored.Unsound {
		if _, known := k.Unsound[worker]; !known && p > minUnsoundChange {
			return true
		}
	}
	for addr, times := range k.Crashes {
		if !slices.Equal(times, t.stored.Crashes[addr]) {
			return true
		}
	}
	return false
}

// changedShards returns the keys of the shards with a speed that may change a decision, those after
// the one that was written last first: on a large deployment a few shards at a time are written, and
// the first ones would take every turn.
func (t *Tracker) changedShards(k Knowledge) []string {
	changed := make(map[string]bool)
	for worker, s := range k.Speeds {
		if known, ok := t.stored.Speeds[worker]; !ok || speedChanged(known, s) {
			changed[shardOf(worker, t.shards)] = true
		}
	}
	keys := slices.Sorted(maps.Keys(changed))
	next, _ := slices.BinarySearch(keys, t.lastShard+"\x00")
	return slices.Concat(keys[next:], keys[:next])
}

func speedChanged(stored, now Speed) bool {
	return stored.Incarnation != now.Incarnation || math.Abs(now.Log-stored.Log) > minLogChange ||
		now.Precision > minPrecisionFactor*stored.Precision
}

// likeliest returns the workers that are stored: those that are the likeliest to be unsound.
func likeliest(unsound map[string]float64) map[string]float64 {
	workers := slices.SortedFunc(maps.Keys(unsound), func(a, b string) int {
		return cmp.Or(cmp.Compare(unsound[b], unsound[a]), cmp.Compare(a, b))
	})
	kept := make(map[string]float64)
	for _, worker := range workers[:min(len(workers), maxUnsound)] {
		kept[worker] = math.Round(unsound[worker]/unsoundUnit) * unsoundUnit
	}
	return kept
}

// mostObserved returns the run times that are stored: those with the most observations.
func mostObserved(all map[string]RunTime) map[string]RunTime {
	keys := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(all[b].Count, all[a].Count), cmp.Compare(a, b))
	})
	kept := make(map[string]RunTime)
	for _, key := range keys[:min(len(keys), maxRunTimes)] {
		kept[key] = all[key].rounded()
	}
	return kept
}

package knowledge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const savedMS = 1_700_000_000_000

var savedAt = time.UnixMilli(savedMS)

// fleet returns knowledge of a number of workers.
func fleet(workers int) Knowledge {
	k := Knowledge{
		Speeds:    make(map[string]Speed),
		RunTimes:  map[string]RunTime{"queue a": {Count: 12, Time: 7.5, TimeVariance: 0.25, DeclaredError: 0.5}},
		UrgentUse: map[string]float64{"pool": 48},
		Crashes:   map[string][]int64{"10.0.0.1:80": {savedMS - 1000}},
		Unsound:   map[string]float64{"w1": 0.75},
	}
	for n := range workers {
		k.Speeds[fmt.Sprintf("i-%010x", n)] = Speed{Log: -0.5 + float64(n%3)*0.5, Precision: 60, Incarnation: savedMS}
	}
	return k
}

// table is the store's rows, by key.
type table map[string][]byte

func (t table) rows() []Row {
	var rows []Row
	for key, value := range t {
		rows = append(rows, Row{key, value})
	}
	return rows
}

// writeAll writes until nothing is pending, and returns the number of writes and their bytes.
func (t table) writeAll(tracker *Tracker, k Knowledge, limit int) (writes, bytes int) {
	for {
		rows, removed := tracker.Pending(k, savedAt, savedMS, limit)
		if len(rows)+len(removed) == 0 {
			return writes, bytes
		}
		writes++
		for _, row := range rows {
			t[row.Key] = row.Value
			bytes += len(row.Value)
		}
		for _, key := range removed {
			delete(t, key)
		}
		tracker.Stored(k, rows, removed)
	}
}

func TestKnowledgeIsReadAsItWasWritten(t *testing.T) {
	for _, workers := range []int{0, 5, 350} {
		k, rows := fleet(workers), make(table)
		rows.writeAll(NewTracker(3, nil, Knowledge{}), k, 8)
		read, problems := Decode(rows.rows(), 4, savedMS)
		assert.Equal(t, len(problems), 0)
		assert.DeepEqual(t, read, k)
	}
}

// Growth: the rows stay small and their bytes grow with the workers.
func TestTheCostOfKnowledgeGrowsWithTheWorkers(t *testing.T) {
	for _, workers := range []int{350, 6000, 12_000} {
		rows := make(table)
		tracker := NewTracker(1, nil, Knowledge{})
		k := fleet(workers)
		_, bytes := rows.writeAll(tracker, k, 8)
		assert.Assert(t, bytes < 48*workers+1000, "%d workers: %d bytes", workers, bytes)
		for key, value := range rows {
			assert.Assert(t, len(value) < 6000, "row %s has %d bytes", key, len(value))
		}
		for worker, s := range k.Speeds { // as estimates vary with each run
			s.Log += 0.05
			k.Speeds[worker] = s
		}
		again, _ := rows.writeAll(tracker, k, 8)
		assert.Equal(t, again, 0, "nothing would be decided otherwise")
		k.Speeds["i-0000000001"] = Speed{Log: -0.5, Precision: 60, Incarnation: savedMS}
		again, _ = rows.writeAll(tracker, k, 8)
		assert.Equal(t, again, 1, "one worker became slow")
	}
}

func TestAFleetThatGrowsLeavesNoRowsBehind(t *testing.T) {
	rows := make(table)
	tracker := NewTracker(1, nil, Knowledge{})
	for _, workers := range []int{20, 200, 900} {
		rows.writeAll(tracker, fleet(workers), 8)
	}
	assert.Equal(t, len(rows), 1+shardCount(900))
	next := NewTracker(2, []string{"work", "speeds-1-0", "speeds-16-3"}, fleet(900))
	assert.DeepEqual(t, next.outdated, []string{"speeds-1-0"})
}

// All speeds change all the time, and eight rows are written at a time.
func TestEachShardIsWrittenInItsTurn(t *testing.T) {
	const limit = 8
	rows := make(table)
	tracker := NewTracker(1, nil, Knowledge{})
	written := make(map[string]int)
	for turn := range 2 * shardCount(6000) / limit {
		k := fleet(6000)
		for worker, s := range k.Speeds {
			s.Log += float64(turn%2) / 2
			k.Speeds[worker] = s
		}
		pending, _ := tracker.Pending(k, savedAt, savedMS, limit)
		for _, row := range pending {
			rows[row.Key] = row.Value
			written[row.Key]++
		}
		tracker.Stored(k, pending, nil)
	}
	for key := range rows {
		assert.Assert(t, key == workKey || written[key] <= 3, "%s was written %d times", key, written[key])
	}
	assert.Equal(t, len(rows), 1+shardCount(6000))
}

func TestAWriteThatWasLostIsRepeated(t *testing.T) {
	tracker := NewTracker(1, nil, Knowledge{})
	lost, _ := tracker.Pending(fleet(20), savedAt, savedMS, 8)
	assert.Assert(t, !tracker.Due(savedAt.Add(Interval/2)))
	assert.Assert(t, tracker.Due(savedAt.Add(Interval)))
	again, _ := tracker.Pending(fleet(20), savedAt.Add(Interval), savedMS, 8)
	assert.DeepEqual(t, again, lost)
}

func TestRowsThatCannotBeUsedAreSetAside(t *testing.T) {
	encode := func(change func(*content)) string {
		c := content{Format: format, Epoch: 3, SavedMS: savedMS, Speeds: map[string][3]int64{"w": {-50, 60, 1}}}
		change(&c)
		return string(c.encode())
	}
	for name, c := range map[string]struct{ key, value, problem string }{
		"of another format":     {"speeds-1-0", encode(func(c *content) { c.Format = 2 }), "format"},
		"of a later epoch":      {"speeds-1-0", encode(func(c *content) { c.Epoch = 9 }), "epoch"},
		"older than an hour":    {"speeds-1-0", encode(func(c *content) { c.SavedMS -= 2 * time.Hour.Milliseconds() }), "old"},
		"an impossible speed":   {"speeds-1-0", encode(func(c *content) { c.Speeds["w"] = [3]int64{1 << 40, 1, 1} }), "out of range"},
		"an impossible time":    {"work", encode(func(c *content) { c.RunTimes = map[string]RunTime{"q": {Count: -1}} }), "out of range"},
		"a certain fault":       {"work", encode(func(c *content) { c.Unsound = map[string]float64{"w": 1} }), "out of range"},
		"a negative use":        {"work", encode(func(c *content) { c.UrgentUse = map[string]float64{"p": -1} }), "negative"},
		"bytes that are no row": {"work", "\x00{", "invalid"},
		"of another writer":     {"other", encode(func(*content) {}), "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			good := Row{"speeds-1-1", []byte(encode(func(c *content) { c.Speeds = map[string][3]int64{"v": {20, 60, 1}} }))}
			read, problems := Decode([]Row{{c.key, []byte(c.value)}, good}, 4, savedMS)
			assert.Equal(t, len(problems), 1)
			assert.Assert(t, strings.Contains(problems[0].Error(), c.problem), "%v", problems[0])
			assert.Equal(t, len(read.Speeds), 1)
		})
	}
}

func TestKnowledgeAges(t *testing.T) {
	rows := make(table)
	rows.writeAll(NewTracker(1, nil, Knowledge{}), fleet(1), 8)
	read, _ := Decode(rows.rows(), 2, savedMS+halfLife.Milliseconds())
	assert.Equal(t, read.Speeds["i-0000000000"].Precision, 30.0)
	assert.Equal(t, read.RunTimes["queue a"].Count, 6.0)
	assert.Assert(t, read.UrgentUse["pool"] < 1)
	behind, _ := Decode(rows.rows(), 2, savedMS-5000)
	assert.Equal(t, behind.Speeds["i-0000000000"].Precision, 60.0, "the clock of the reader is behind")
}

func FuzzDecode(f *testing.F) {
	f.Add("work", []byte(`{"format":1,"speeds":{"w":[1,2,3]}}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		read, problems := Decode([]Row{{key, value}}, 1, savedMS)
		assert.Assert(t, len(problems) == 0 || len(read.Speeds)+len(read.RunTimes) == 0)
	})
}

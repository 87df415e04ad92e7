package knowledge

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Knowledge is stored in rows of bounded size: one for everything that grows with the kinds of
// work, and shards for the speeds, which grow with the workers. The number of shards follows
// the number of workers, and is part of their keys.

const (
	// format is the version of the rows' content.
	format = 1
	// workKey is the key of the row with everything but the speeds.
	workKey = "work"
	// speedPrefix starts the keys of the shards.
	speedPrefix = "speeds-"
	// speedsPerShard is the number of workers that a shard holds on average, at most.
	speedsPerShard = 64
	// maxRunTimes bounds the run times that are stored.
	maxRunTimes = 256
	// maxUnsound bounds the workers that are stored as possibly unsound.
	maxUnsound = 256
	// unsoundUnit is the unit of the stored probabilities.
	unsoundUnit = 0.001
	// logUnit and precisionUnit are the units of stored speeds: bands of speed are twenty
	// times as wide.
	logUnit       = 0.01
	precisionUnit = 1
	// runTimeUnit is the unit of stored run times.
	runTimeUnit = 1.0 / 1024
)

// Row is a stored row.
type Row struct {
	Key   string
	Value []byte
}

// content is the value of a row. Speeds are stored as logarithm, precision and incarnation.
type content struct {
	Format    int                 `json:"format"`
	Epoch     int64               `json:"epoch"`
	SavedMS   int64               `json:"saved_ms"`
	Speeds    map[string][3]int64 `json:"speeds,omitempty"`
	RunTimes  map[string]RunTime  `json:"run_times,omitempty"`
	UrgentUse map[string]float64  `json:"urgent_use,omitempty"`
	Crashes   map[string][]int64  `json:"crashes,omitempty"`
	Unsound   map[string]float64  `json:"unsound,omitempty"`
}

func (c *content) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // maps of numbers always encode
	}
	return data
}

// shardCount returns the number of shards for a number of workers, a power of two.
func shardCount(workers int) int {
	count := 1
	for workers > count*speedsPerShard {
		count *= 2
	}
	return count
}

// shardKey returns the key of the n-th of a number of shards.
func shardKey(n, count int) string {
	return generation(count) + strconv.Itoa(n)
}

// generation returns what the keys of a number of shards begin with.
func generation(count int) string { return speedPrefix + strconv.Itoa(count) + "-" }

// shardOf returns the key of a worker's shard.
func shardOf(worker string, count int) string {
	return shardKey(int(xxhash.Sum64String(worker)%uint64(count)), count)
}

func encodeSpeed(s Speed) [3]int64 {
	return [3]int64{int64(math.Round(s.Log / logUnit)), int64(math.Round(s.Precision / precisionUnit)), s.Incarnation}
}

// rounded returns run times with as many digits as decisions depend on.
func (r RunTime) rounded() RunTime {
	round := func(x float64) float64 { return math.Round(x/runTimeUnit) * runTimeUnit }
	return RunTime{round(r.Count), round(r.Time), round(r.TimeVariance), round(r.DeclaredError), round(r.DeclaredErrorVariance)}
}

func decodeSpeed(stored [3]int64) (Speed, error) {
	s := Speed{Log: float64(stored[0]) * logUnit, Precision: float64(stored[1]) * precisionUnit, Incarnation: stored[2]}
	if math.Abs(s.Log) > maxLog || s.Precision < 0 || s.Incarnation < 0 {
		return Speed{}, fmt.Errorf("speed %v is out of range", stored)
	}
	return s, nil
}

// maxLog bounds stored logarithms: no plausible speed or run time exceeds it.
const maxLog = 30

// Decode merges stored rows into the knowledge that a leader of the given epoch may rely on.
// Rows that cannot be used are left out; there is an error for each.
func Decode(rows []Row, epoch, nowMS int64) (Knowledge, []error) {
	k := Knowledge{
		Speeds: make(map[string]Speed), RunTimes: make(map[string]RunTime),
		UrgentUse: make(map[string]float64), Crashes: make(map[string][]int64),
		Unsound: make(map[string]float64),
	}
	var problems []error
	var contents []content
	for _, row := range rows {
		c, err := decodeContent(row, epoch, nowMS)
		if err != nil {
			problems = append(problems, fmt.Errorf("row %s: %w", row.Key, err))
			continue
		}
		contents = append(contents, c)
	}
	// A worker may be in shards of several sizes, of which the newest counts.
	slices.SortStableFunc(contents, func(a, b content) int { return int(a.SavedMS - b.SavedMS) })
	for _, c := range contents {
		k.add(c, nowMS)
	}
	return k, problems
}

func decodeContent(row Row, epoch, nowMS int64) (content, error) {
	var c content
	if row.Key != workKey && !strings.HasPrefix(row.Key, speedPrefix) {
		return c, fmt.Errorf("the key is unknown")
	}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, err
	}
	switch age := time.Duration(nowMS-c.SavedMS) * time.Millisecond; {
	case c.Format != format:
		return c, fmt.Errorf("its format is %d, not %d", c.Format, format)
	case c.Epoch > epoch:
		return c, fmt.Errorf("it is of epoch %d, after %d", c.Epoch, epoch)
	case age > maxAge:
		return c, fmt.Errorf("it is %s old", age)
	}
	for _, stored := range c.Speeds {
		if _, err := decodeSpeed(stored); err != nil {
			return c, err
		}
	}
	for _, r := range c.RunTimes {
		if r.Count < 0 || r.TimeVariance < 0 || r.DeclaredErrorVariance < 0 || max(math.Abs(r.Time), math.Abs(r.DeclaredError)) > maxLog {
			return c, fmt.Errorf("a run time is out of range")
		}
	}
	for _, use := range c.UrgentUse {
		if use < 0 {
			return c, fmt.Errorf("a use is negative")
		}
	}
	for _, unsound := range c.Unsound {
		if unsound < 0 || unsound >= 1 {
			return c, fmt.Errorf("a probability is out of range")
		}
	}
	return c, nil
}

// add merges the content of one row.
func (k *Knowledge) add(c content, nowMS int64) {
	stored := Knowledge{Speeds: make(map[string]Speed, len(c.Speeds)), RunTimes: c.RunTimes, UrgentUse: c.UrgentUse, Unsound: c.Unsound}
	for worker, s := range c.Speeds {
		stored.Speeds[worker], _ = decodeSpeed(s) // checked by decodeContent
	}
	stored = stored.aged(time.Duration(nowMS-c.SavedMS) * time.Millisecond)
	maps.Copy(k.Speeds, stored.Speeds)
	maps.Copy(k.RunTimes, stored.RunTimes)
	maps.Copy(k.UrgentUse, stored.UrgentUse)
	maps.Copy(k.Crashes, c.Crashes)
	maps.Copy(k.Unsound, stored.Unsound)
}

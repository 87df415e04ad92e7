package deployment

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// plainDecoder decodes entries that hold the name of a pool, or pool@incarnation; "?"
// cannot be decoded.
type plainDecoder struct{}

// IsConfiguration implements Decoder.
func (plainDecoder) IsConfiguration(key string) bool { return key == "config" }

// DrainedZone implements Decoder.
func (plainDecoder) DrainedZone(key string) (string, bool) { return strings.CutPrefix(key, "drain/") }

// Configuration implements Decoder.
func (plainDecoder) Configuration(data []byte) (*workload.Configuration, error) {
	if strings.Contains(string(data), "?") {
		return nil, errors.New("injected")
	}
	return &workload.Configuration{Version: int64(len(data)), Pools: []string{string(data)}}, nil
}

// Worker implements Decoder.
func (plainDecoder) Worker(id string, data []byte) (workload.Worker, error) {
	if strings.Contains(string(data), "?") {
		return workload.Worker{}, errors.New("injected")
	}
	pool, number, _ := strings.Cut(string(data), "@")
	incarnation, _ := strconv.ParseInt(number, 10, 64)
	return workload.Worker{ID: id, Addr: id, Pool: pool, Incarnation: incarnation}, nil
}

func entryRow(id, text string, version int64) workload.Row {
	return workload.Row{Key: id, Value: []byte(text), Version: version}
}

func ids(list []workload.Worker) map[string]bool {
	set := make(map[string]bool)
	for _, w := range list {
		set[w.ID] = true
	}
	return set
}

func TestAnUnreadableEntryDelistsOnlyItsWorker(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	r := newRoster(plainDecoder{}, time.Minute, zap.New(core))
	r.reload([]workload.Row{entryRow("a", "pool", 1), entryRow("b", "?", 2), entryRow("c", "pool", 3)}, 3)
	assert.DeepEqual(t, ids(r.list()), map[string]bool{"a": true, "c": true})
	for version := int64(4); version < 8; version++ {
		r.apply([]workload.Row{entryRow("a", "?", version)})
		r.reload([]workload.Row{entryRow("a", "?", version), entryRow("b", "?", 2), entryRow("c", "pool", 3)}, version)
	}
	assert.DeepEqual(t, ids(r.list()), map[string]bool{"c": true})
	assert.Equal(t, logs.FilterField(zap.String("worker", "a")).Len(), 1, "logged once, however often it is repeated")
	r.apply([]workload.Row{entryRow("a", "pool", 9)})
	assert.DeepEqual(t, ids(r.list()), map[string]bool{"a": true, "c": true})
}

// The lines of a takeover must not grow with the number of workers: the log drops what exceeds its
// volume, and with it the lines that explain the takeover.
func TestAWholeReadOfManyWorkersIsOneLogLine(t *testing.T) {
	for _, size := range []int{1000, 2000} {
		core, logs := observer.New(zap.InfoLevel)
		r := newRoster(plainDecoder{}, time.Minute, zap.New(core))
		var rows []workload.Row
		for n := range size {
			rows = append(rows, entryRow(fmt.Sprint(n), "pool", int64(n+1)))
		}
		r.reload(rows, int64(size))
		assert.Equal(t, logs.Len(), 1)
		r.apply([]workload.Row{entryRow("new", "pool", int64(size+1))})
		assert.Equal(t, logs.FilterMessage("worker listed").Len(), 1, "changes are logged one by one")
	}
}

func TestAnEntryNeverBringsAnEarlierIncarnationBack(t *testing.T) {
	r := newRoster(plainDecoder{}, time.Minute, zap.NewNop())
	incarnation := func() int64 {
		list := r.list()
		assert.Equal(t, len(list), 1)
		return list[0].Incarnation
	}
	r.apply([]workload.Row{entryRow("a", "pool@1", 1)})
	r.apply([]workload.Row{entryRow("a", "pool@2", 2)})
	assert.Equal(t, incarnation(), int64(2))
	r.apply([]workload.Row{entryRow("a", "pool@1", 3)})
	assert.Equal(t, incarnation(), int64(2), "a late entry of the earlier incarnation")
	r.reload([]workload.Row{entryRow("a", "pool@1", 3)}, 3)
	assert.Equal(t, incarnation(), int64(2))
	r.apply([]workload.Row{entryRow("a", "pool", 4)})
	assert.Equal(t, len(r.list()), 0, "an entry without the incarnation comes from another writer")
	r.apply([]workload.Row{entryRow("a", "pool@3", 5)})
	assert.Equal(t, incarnation(), int64(3))
}

// Failure: after one entry of another writer with a start time, a worker got nothing until another leader
// read the list.
func TestOneEntryWithAForeignIncarnationDoesNotShutAWorkerOut(t *testing.T) {
	for name, own := range map[string]string{"workers without incarnations": "pool", "workers with incarnations": "pool@5"} {
		t.Run(name, func(t *testing.T) {
			const workers, odd = 100, 90
			r, version := newRoster(plainDecoder{}, time.Minute, zap.NewNop()), int64(0)
			write := func(n int, text string) {
				version++
				row := entryRow(fmt.Sprint(n), text, version)
				r.apply([]workload.Row{row})
				r.apply([]workload.Row{row})
			}
			beat := func() {
				for n := range workers {
					write(n, own)
				}
			}
			beat()
			for n := range odd {
				write(n, "pool@1790000000123")
			}
			for range discreditedAfter {
				beat()
			}
			assert.Equal(t, len(r.list()), workers)
			for _, w := range r.list() {
				assert.Equal(t, w.Incarnation == 5, own == "pool@5")
			}
			write(0, "pool@6")
			write(0, own)
			write(0, "pool@6")
			write(0, own)
			assert.Equal(t, r.entries["0"].worker.Incarnation, int64(6), "entries of an earlier incarnation that are done late")
		})
	}
}

func TestWorkersOfUnconfiguredPoolsAreNotListed(t *testing.T) {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.NewNop()})
	i.workers.apply([]workload.Row{entryRow("a", "pool", 1), entryRow("b", "elsewhere", 2)})
	i.applyConfiguration([]workload.Row{entryRow("config", "pool", 1)})
	assert.DeepEqual(t, ids(i.listedWorkers()), map[string]bool{"a": true})
	i.applyConfiguration([]workload.Row{entryRow("config", "elsewhere", 2)})
	assert.DeepEqual(t, ids(i.listedWorkers()), map[string]bool{"b": true})
}

func TestAConfigurationThatCannotBeReadLeavesTheOldOneInForceAndSaysSoOnce(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.New(core)})
	i.applyConfiguration([]workload.Row{entryRow("config", "pool", 1)})
	for range 3 {
		i.applyConfiguration([]workload.Row{entryRow("config", "?", 2), entryRow("wave/1", "?", 3)})
	}
	assert.Equal(t, i.configVersion(), int64(len("pool")))
	assert.Equal(t, logs.Len(), 1)
}

func TestUnreadableRowsDoNotAffectOthers(t *testing.T) {
	applyValidJob := func(r *replica) {
		r.apply([]workload.Row{jobRow("sound", 1)})
	}
	for name, c := range map[string]struct {
		row   workload.Row
		check func(t *testing.T, r *replica)
	}{
		"a job row that is not a JSON object": {
			workload.Row{Key: jobPrefix + "bad", Value: []byte("{"), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
		"a job with a field of another type": {
			workload.Row{Key: jobPrefix + "bad", Value: []byte(`{"id":"bad","steps":"none"}`), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
		"a job with a negative count": {
			workload.Row{Key: jobPrefix + "bad", Value: []byte(`{"id":"bad","steps":[{"count":-1}]}`), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
		"a job without steps": {
			workload.Row{Key: jobPrefix + "bad", Value: []byte(`{"id":"bad"}`), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
		"a job whose id is not that of its key": {
			workload.Row{Key: jobPrefix + "bad", Value: []byte(`{"id":"other","steps":[{"count":1}]}`), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
		"a record that is not a JSON object: the job's progress is unknown": {
			workload.Row{Key: recordPrefix + "sound", Value: []byte("?"), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 0) },
		},
		"a record with an unknown final state": {
			workload.Row{Key: recordPrefix + "sound", Value: []byte(`{"final":"evaporated"}`), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 0) },
		},
		"a worker row that is not a JSON object: the worker may run something": {
			workload.Row{Key: workerPrefix + "w", Value: []byte("?"), Version: 2},
			func(t *testing.T, r *replica) {
				assert.DeepEqual(t, ids(r.storedWorkers()), map[string]bool{"w": true})
			},
		},
		"an instance row that is not a JSON object": {
			workload.Row{Key: instancePrefix + "10.0.0.1:1", Value: []byte("7"), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.zones("")), 0) },
		},
		"a leader row that is not a JSON object": {
			workload.Row{Key: leaderKey, Value: []byte("[]"), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, r.seenLeader().version, int64(0)) },
		},
		"a key that is too short": {
			workload.Row{Key: "?", Value: []byte("x"), Version: 2},
			func(t *testing.T, r *replica) { assert.Equal(t, len(r.snapshot()), 1) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			applyValidJob(r)
			r.apply([]workload.Row{c.row})
			c.check(t, r)
			_, ok := r.get("sound")
			assert.Assert(t, ok)
		})
	}
}

func TestAJobIsUsableAgainOnceItsRecordIsReadable(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("a", 1), {Key: recordPrefix + "a", Value: []byte("?"), Version: 2}})
	assert.Equal(t, len(r.snapshot()), 0)
	r.apply([]workload.Row{recordRow("a", "", 3)})
	assert.Equal(t, len(r.snapshot()), 1)
	assert.Equal(t, r.snapshot()[0].record.Final, dispatch.Final(""))
}

func FuzzRowsOfTheTableNeverPanic(f *testing.F) {
	for _, seed := range []string{"j/a", "e/a", "c/a", "n/a", "w/a", "a/leader", "a/epoch", "", "x"} {
		f.Add(seed, []byte(`{"id":"a","steps":[{"count":2}]}`), false)
		f.Add(seed, []byte(`{"final":"completed","done":{"0.0":"zz"}}`), true)
	}
	f.Fuzz(func(_ *testing.T, key string, value []byte, deleted bool) {
		r := newReplica(zap.NewNop())
		r.apply([]workload.Row{{Key: key, Value: value, Version: 1, Deleted: deleted}})
		now := time.Unix(1_000_000, 0)
		core := dispatch.New(workload.Bounds{}, 1, now, now)
		for _, known := range r.snapshot() {
			core.AddJob(known.job, known.record, known.cancelled, now, 0)
		}
		core.WorkersListed(r.storedWorkers(), now, 0)
		core.Decide(now.Add(time.Second), 1000)
	})
}

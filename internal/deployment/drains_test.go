package deployment

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func drainRow(zone string, version int64) workload.Row {
	return workload.Row{Key: "drain/" + zone, Value: []byte("any"), Version: version}
}

func undrainRow(zone string, version int64) workload.Row {
	return workload.Row{Key: "drain/" + zone, Version: version, Deleted: true}
}

// drainUpdate is one answer of the store: changes, or a whole read at a version.
type drainUpdate struct {
	changes []workload.Row
	table   []workload.Row
	version int64
}

func changesOf(rows ...workload.Row) drainUpdate { return drainUpdate{changes: rows} }

func tableAt(version int64, rows ...workload.Row) drainUpdate {
	return drainUpdate{table: rows, version: version}
}

func TestTheNewestWordOnAZoneCounts(t *testing.T) {
	for name, c := range map[string]struct {
		updates []drainUpdate
		want    []string
	}{
		"a row drains its zone":                                    {[]drainUpdate{changesOf(drainRow("a", 3))}, []string{"a"}},
		"removing the row undrains it":                             {[]drainUpdate{changesOf(drainRow("a", 3), undrainRow("a", 5))}, nil},
		"an old row after the removal changes nothing":             {[]drainUpdate{changesOf(drainRow("a", 3), undrainRow("a", 5)), changesOf(drainRow("a", 3))}, nil},
		"an old removal after a new row changes nothing":           {[]drainUpdate{changesOf(undrainRow("a", 5), drainRow("a", 7)), changesOf(undrainRow("a", 5))}, []string{"a"}},
		"a zone is drained again before its removal was seen":      {[]drainUpdate{changesOf(drainRow("a", 3)), changesOf(drainRow("a", 9))}, []string{"a"}},
		"a whole read without its row undrains a zone":             {[]drainUpdate{changesOf(drainRow("a", 3)), tableAt(8)}, nil},
		"a whole read older than its row does not undrain it":      {[]drainUpdate{changesOf(drainRow("a", 9)), tableAt(8)}, []string{"a"}},
		"a row from before a whole read without it does not drain": {[]drainUpdate{tableAt(2, drainRow("a", 1)), tableAt(8), changesOf(drainRow("a", 1))}, nil},
		"several zones":            {[]drainUpdate{tableAt(8, drainRow("b", 4), drainRow("a", 3))}, []string{"a", "b"}},
		"other rows drain nothing": {[]drainUpdate{tableAt(8, workload.Row{Key: "config", Version: 2}, workload.Row{Key: "wave/drain/a", Version: 2})}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDrains(plainDecoder{}, zap.NewNop())
			for _, update := range c.updates {
				if update.changes != nil {
					d.apply(update.changes)
				} else {
					d.reload(update.table, update.version)
				}
			}
			assert.DeepEqual(t, d.list(), c.want)
		})
	}
}

func TestOnlyChangesOfDrainedZonesAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	d := newDrains(plainDecoder{}, zap.New(core))
	for range 3 {
		d.reload([]workload.Row{drainRow("a", 3)}, 5)
	}
	d.reload(nil, 7)
	d.reload(nil, 8)
	assert.Equal(t, logs.Len(), 2)
}

func newDrainInstance(store workload.Store, logger *zap.Logger) *Instance {
	settings := defaultSettings()
	return New(Options{Settings: &settings, Store: store, Decoder: plainDecoder{}, Logger: logger})
}

func TestALeaderReadsDrainedZonesBeforeItStarts(t *testing.T) {
	for name, failures := range map[string]int{"the store answers": 0, "the first calls fail": 3} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.rows["drain/a"] = drainRow("a", 1)
			store.ver = 1
			reads := 0
			store.fail = func() error {
				if reads++; reads <= failures {
					return fmt.Errorf("%w: injected", workload.ErrNotDone)
				}
				return nil
			}
			i := newDrainInstance(store, zap.NewNop())
			c := &leader{instance: i, grant: &grant{epoch: 2}, logger: zap.NewNop(), ctx: t.Context()}
			_, loaded := c.load()
			assert.Assert(t, loaded)
			assert.DeepEqual(t, i.drains.list(), []string{"a"})
			assert.Assert(t, i.drainsCurrent(bootTime()))
		})
	}
}

func TestALeaderThatHeardNothingOfDrainedZonesForLongStartsNothing(t *testing.T) {
	store := newMemoryStore()
	i := newDrainInstance(store, zap.NewNop())
	assert.Assert(t, !i.drainsCurrent(bootTime()), "nothing has been read yet")
	assert.NilError(t, i.readOperatorTable(t.Context()))
	now := bootTime()
	assert.Assert(t, i.drainsCurrent(now))
	assert.Assert(t, i.drainsCurrent(now.Add(3*time.Second)), "the last known state is valid for some time")
	assert.Assert(t, !i.drainsCurrent(now.Add(i.settings.drainLimit())))
	store.fail = func() error { return errors.New("injected") }
	assert.Assert(t, i.readOperatorTable(t.Context()) != nil)
	assert.Assert(t, !i.drainsCurrent(now.Add(i.settings.drainLimit())), "a failed read confirms nothing")
}

package deployment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file tracks which availability zones operators have drained. Each zone has a row
// in the operators' table while it is drained. Rows arrive from the feed, from whole
// reads and late by slow routes, so the newest version for each zone wins, and the
// version of a removal is remembered.

// drains holds the availability zones that operators have drained, as last seen by this
// instance. mu guards zones and asOf.
type drains struct {
	decoder Decoder
	logger  *zap.Logger

	mu    sync.Mutex
	zones map[string]drainState
	// asOf is the time at which the request was sent whose answer is the newest to
	// cover the whole table.
	asOf time.Time
}

// drainState is the newest known state of one zone.
type drainState struct {
	drained bool
	version int64
}

func newDrains(decoder Decoder, logger *zap.Logger) *drains {
	return &drains{decoder: decoder, logger: logger, zones: make(map[string]drainState)}
}

// apply applies changes of the table and reports whether a zone changed.
func (d *drains) apply(rows []workload.Row) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, row := range rows {
		if zone, ok := d.decoder.DrainedZone(row.Key); ok {
			changed = d.update(zone, drainState{!row.Deleted, row.Version}) || changed
		}
	}
	return changed
}

// reload applies a whole read of the table at a version and reports whether a zone
// changed.
func (d *drains) reload(rows []workload.Row, version int64) bool {
	changed := d.apply(rows)
	present := make(map[string]bool)
	for _, row := range rows {
		if zone, names := d.decoder.DrainedZone(row.Key); names {
			present[zone] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for zone := range d.zones {
		if !present[zone] {
			changed = d.update(zone, drainState{false, version}) || changed
		}
	}
	return changed
}

// update sets the state of a zone, unless a newer one is known, and reports whether the
// zone was drained or undrained.
func (d *drains) update(zone string, state drainState) bool {
	known := d.zones[zone]
	if state.version < known.version {
		return false
	}
	d.zones[zone] = state
	if state.drained == known.drained {
		return false
	}
	d.logger.Info("availability zone", zap.String("zone", zone), zap.Bool("drained", state.drained), zap.Int64("version", state.version))
	return true
}

// list returns the drained zones, sorted.
func (d *drains) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var zones []string
	for zone, state := range d.zones {
		if state.drained {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// confirm records that an answer to a request sent at the given time covers the whole
// table.
func (d *drains) confirm(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.asOf) {
		d.asOf = sent
	}
}

// age returns how old the local state may be.
func (d *drains) age(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.asOf)
}

// drainReserve is subtracted from the bound within which starts in a drained zone must
// cease: a start that was already ordered may be carried out a little later.
const drainReserve = 1 * time.Second

// drainsCurrent reports whether this instance's knowledge of drained zones is recent
// enough to start work.
func (i *Instance) drainsCurrent(now time.Time) bool {
	return i.drains.age(now) <= i.liveSettings.Load().drainLimit()-drainReserve
}

// applyOperatorTable applies a whole read of the operators' table.
func (i *Instance) applyOperatorTable(rows []workload.Row, version int64) {
	i.applyConfiguration(rows)
	if i.drains.reload(rows, version) {
		i.drainsChanged()
	}
}

// applyOperatorRows applies changes of the operators' table.
func (i *Instance) applyOperatorRows(rows []workload.Row) {
	i.applyConfiguration(rows)
	if i.drains.apply(rows) {
		i.drainsChanged()
	}
}

// readOperatorTable reads and applies the whole operators' table.
func (i *Instance) readOperatorTable(ctx context.Context) error {
	sent := bootTime()
	rows, version, err := readTable(ctx, i.store, workload.SourceConfiguration)
	if err != nil {
		return err
	}
	i.applyOperatorTable(rows, version)
	i.drains.confirm(sent)
	return nil
}

// drainsChanged passes the drained zones to the core if this instance leads.
func (i *Instance) drainsChanged() {
	leader := i.leader.Load()
	if leader == nil {
		return
	}
	leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		core.SetDrainedZones(i.drains.list(), now, wallMS)
	})
}

// DrainedZones returns the availability zones that operators have drained, as last seen
// by this instance.
func (i *Instance) DrainedZones() []string { return i.drains.list() }

func (i *Instance) registerDrainMetrics() {
	metrics.GetOrCreateGauge("corianderbank_deployment_drained_zones", func() float64 { return float64(len(i.DrainedZones())) })
}

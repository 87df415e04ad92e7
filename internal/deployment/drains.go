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

// This file keeps which availability zones operators have drained. Each zone has a row
// in the operators' table while it is drained. Rows arrive by the feed, by whole reads
// and late by slow paths, so the newest word on each zone counts, and a removal is
// remembered by its version.

// drains are the availability zones that operators have drained, as far as this
// instance knows. mu guards its fields.
type drains struct {
	decode Decoder
	logger *zap.Logger

	mu    sync.Mutex
	zones map[string]drainMark
	// asOf is when the newest answer about the whole table was asked for.
	asOf time.Time
}

// drainMark is the newest word on one zone.
type drainMark struct {
	drained bool
	version int64
}

func newDrains(decode Decoder, logger *zap.Logger) *drains {
	return &drains{decode: decode, logger: logger, zones: make(map[string]drainMark)}
}

// apply takes changes of the table; it reports whether a zone changed.
func (d *drains) apply(rows []workload.Row) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, row := range rows {
		if zone, names := d.decode.DrainedZone(row.Key); names {
			changed = d.mark(zone, drainMark{!row.Deleted, row.Version}) || changed
		}
	}
	return changed
}

// reload takes a whole read of the table at a version; it reports whether a zone changed.
func (d *drains) reload(rows []workload.Row, version int64) bool {
	changed := d.apply(rows)
	present := make(map[string]bool)
	for _, row := range rows {
		if zone, names := d.decode.DrainedZone(row.Key); names {
			present[zone] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for zone := range d.zones {
		if !present[zone] {
			changed = d.mark(zone, drainMark{false, version}) || changed
		}
	}
	return changed
}

// mark takes the word on a zone, unless a newer one is known.
func (d *drains) mark(zone string, mark drainMark) bool {
	known := d.zones[zone]
	if mark.version < known.version {
		return false
	}
	d.zones[zone] = mark
	if mark.drained == known.drained {
		return false
	}
	d.logger.Info("availability zone", zap.String("zone", zone), zap.Bool("drained", mark.drained), zap.Int64("version", mark.version))
	return true
}

// list returns the zones that are drained, in order.
func (d *drains) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var zones []string
	for zone, mark := range d.zones {
		if mark.drained {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// confirm notes that the table was heard of by a call that was sent at a time.
func (d *drains) confirm(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.asOf) {
		d.asOf = sent
	}
}

// age is how old what is known here may be.
func (d *drains) age(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.asOf)
}

// drainReserve is kept of the bound within which nothing more may start in a drained
// zone: a start that was ordered may still be carried out a little later.
const drainReserve = 1 * time.Second

// drainsKnown reports whether this instance has heard lately enough which zones are
// drained to start work.
func (i *Instance) drainsKnown(now time.Time) bool {
	return i.drains.age(now) <= i.live.Load().drainWithin()-drainReserve
}

// takeOperatorTable takes a whole read of the operators' table.
func (i *Instance) takeOperatorTable(rows []workload.Row, version int64) {
	i.takeConfiguration(rows)
	if i.drains.reload(rows, version) {
		i.drainsChanged()
	}
}

// takeOperatorRows takes changes of the operators' table.
func (i *Instance) takeOperatorRows(rows []workload.Row) {
	i.takeConfiguration(rows)
	if i.drains.apply(rows) {
		i.drainsChanged()
	}
}

// readOperatorTable reads the operators' table whole.
func (i *Instance) readOperatorTable(ctx context.Context) error {
	sent := bootTime()
	rows, version, err := readTable(ctx, i.store, workload.SourceConfiguration)
	if err != nil {
		return err
	}
	i.takeOperatorTable(rows, version)
	i.drains.confirm(sent)
	return nil
}

// drainsChanged tells the core, if this instance leads.
func (i *Instance) drainsChanged() {
	leader := i.leader.Load()
	if leader == nil {
		return
	}
	leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.Drain(i.drains.list(), now, wallMS) })
}

// DrainedZones returns the availability zones that operators have drained, as far as is
// known here.
func (i *Instance) DrainedZones() []string { return i.drains.list() }

func (i *Instance) registerDrainMetrics() {
	metrics.GetOrCreateGauge("corianderbank_deployment_drained_zones", func() float64 { return float64(len(i.DrainedZones())) })
}

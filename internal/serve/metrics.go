package serve

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/api"
)

// statusTimeout limits the time to read the placer's status for the metrics.
const statusTimeout = time.Second

// writeMetrics writes the metrics whose values are read at each request: those of
// the store, of the configuration, and of the zone while this instance is its
// placer. It is the Metrics option of the entry server.
func (i *instance) writeMetrics(w io.Writer) {
	i.platform.WriteMetrics(w)
	_, confirmed := i.config.Age()
	metrics.WriteGaugeUint64(w, "corianderbank_config_version", uint64(i.config.Version()))
	metrics.WriteGaugeFloat64(w, "corianderbank_config_confirmed_seconds", confirmed.Seconds())
	metrics.WriteGaugeUint64(w, "corianderbank_placer_epoch", uint64(i.placer.Epoch()))
	if i.placer.Epoch() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := i.placer.Status(ctx)
	for _, zone := range status.Zones {
		writeZoneMetrics(w, zone)
	}
	for _, account := range status.Accounts {
		writeAccountMetrics(w, account)
	}
}

func writeZoneMetrics(w io.Writer, zone api.ZoneStatus) {
	gauge := func(format string, value float64) {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(format, zone.AvailabilityZone), value)
	}
	gauge(`corianderbank_zone_workers{availability_zone=%q}`, float64(zone.Workers))
	gauge(`corianderbank_zone_workers_sick{availability_zone=%q}`, float64(zone.WorkersSick))
	gauge(`corianderbank_zone_accelerators{availability_zone=%q}`, float64(zone.Accelerators))
	gauge(`corianderbank_zone_accelerators_free{availability_zone=%q}`, float64(zone.Free))
	gauge(`corianderbank_zone_gangs_running{availability_zone=%q}`, float64(zone.Running))
	gauge(`corianderbank_zone_gangs_waiting{availability_zone=%q}`, float64(zone.Waiting))
	gauge(`corianderbank_zone_fragmentation{availability_zone=%q}`, zone.Fragmentation)
}

func writeAccountMetrics(w io.Writer, account api.AccountStatus) {
	gauge := func(use string, value int) {
		name := fmt.Sprintf(`corianderbank_account_accelerators{client_account=%q,availability_zone=%q,use=%q}`,
			account.Account, account.AvailabilityZone, use)
		metrics.WriteGaugeUint64(w, name, uint64(max(value, 0)))
	}
	gauge("guaranteed", account.Guaranteed)
	gauge("used", account.Used)
	gauge("borrowed", account.Borrowed)
	gauge("lent", account.Lent)
	gauge("waiting", account.Waiting)
	atRisk := uint64(0)
	if account.AtRisk != "" {
		atRisk = 1
	}
	name := fmt.Sprintf(`corianderbank_account_at_risk{client_account=%q,availability_zone=%q}`, account.Account, account.AvailabilityZone)
	metrics.WriteGaugeUint64(w, name, atRisk)
}

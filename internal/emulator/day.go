package emulator

import (
	"fmt"
	"time"
)

// Day describes the load and the faults of one simulation.
type Day struct {
	Name string `json:"name"`
	// Load is a factor on the deployment's arrival rates.
	Load   float64 `json:"load"`
	Bursts []burst `json:"bursts,omitempty"`
	// WorkerFaults affect workers, Partitions zones, Outages the store.
	WorkerFaults []workerFault   `json:"workers,omitempty"`
	Partitions   []zonePartition `json:"cuts,omitempty"`
	Outages      []timeRange     `json:"outages,omitempty"`
	// CrashingJobs are jobs that crash their workers.
	CrashingJobs []crashingJobs `json:"crashing,omitempty"`
	// Drains are drains of zones by operators.
	Drains []zoneDrain `json:"drains,omitempty"`
	// LeaderHandovers are the times of planned leader changes, LeaderCrashes those of
	// unplanned ones, in seconds.
	LeaderHandovers []float64 `json:"handovers_s,omitempty"`
	LeaderCrashes   []float64 `json:"crashes_s,omitempty"`
	// Restarts are the times at which all instances are killed and start again, in seconds.
	Restarts []float64 `json:"restarts_s,omitempty"`
	// KeepIDs makes crashed workers restart under the ids that they had.
	KeepIDs bool `json:"keep_ids,omitempty"`
	// CancelledShare is added to each kind's share of cancelled jobs.
	CancelledShare float64 `json:"cancelled,omitempty"`
}

// timeRange is a period of the day, in seconds.
type timeRange struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

func (r timeRange) contains(at time.Duration) bool {
	return at >= seconds(r.From) && at < seconds(r.To)
}

// burst multiplies the arrivals of a class of jobs during a period.
type burst struct {
	timeRange
	Class  jobClass `json:"of"`
	Factor float64  `json:"times"`
}

// workerFault affects a share of the workers during a period.
type workerFault struct {
	timeRange
	Share float64 `json:"share"`
	// Slowdown divides the speed; zero means no change.
	Slowdown float64 `json:"slower,omitempty"`
	// Stalled workers make no progress.
	Stalled bool `json:"stalled,omitempty"`
	// FailsTasks makes every task that starts during the fault fail after a short time.
	FailsTasks bool `json:"fails,omitempty"`
	// LostOrders is the share of orders that are not answered and not executed.
	LostOrders float64 `json:"loses,omitempty"`
	// Partitioned workers cannot be reached and keep running.
	Partitioned bool `json:"silent,omitempty"`
	// PartitionedRestart workers cannot be reached, crash during the partition and
	// restart as a new incarnation.
	PartitionedRestart bool `json:"reborn,omitempty"`
	// CrashIntervalS is the mean time between two crashes of an affected worker, in
	// seconds; zero means that it does not crash.
	CrashIntervalS float64 `json:"crash_every_s,omitempty"`
}

// crashingJobs makes a share of the arriving jobs crash every worker that starts them.
type crashingJobs struct {
	timeRange
	Class jobClass `json:"of"`
	Share float64  `json:"share"`
}

// zonePartition separates a zone from the other zones and from the store.
type zonePartition struct {
	timeRange
	// Zone counts from zero, modulo the number of zones of the deployment.
	Zone int `json:"zone"`
	// Refused makes connections fail immediately; otherwise calls time out.
	Refused bool `json:"refused,omitempty"`
}

// zoneDrain is the drain of a zone during a period.
type zoneDrain struct {
	timeRange
	// Zone counts from zero, modulo the number of zones of the deployment.
	Zone int `json:"zone"`
}

// Days returns the embedded days, on which scheduling decisions are evaluated.
func Days() ([]Day, error) { return loadAll("days", ReadDay) }

// ReadDay decodes the file of a day.
func ReadDay(name string, data []byte) (Day, error) {
	var d Day
	if err := decode(name, data, &d); err != nil {
		return d, err
	}
	if d.Name == "" || d.Load <= 0 {
		return d, fmt.Errorf("%s: name and load must be set", name)
	}
	return d, nil
}

// arrivalFactor returns the factor on the arrivals of a class at a time.
func (d *Day) arrivalFactor(class jobClass, at time.Duration) float64 {
	factor := 1.0
	for _, b := range d.Bursts {
		if b.Class == class && b.contains(at) {
			factor *= b.Factor
		}
	}
	return factor
}

// crashingShare returns the share of the jobs of a class that crash their workers.
func (d *Day) crashingShare(class jobClass, at time.Duration) float64 {
	share := 0.0
	for _, c := range d.CrashingJobs {
		if c.Class == class && c.contains(at) {
			share += c.Share
		}
	}
	return share
}

func (d *Day) storeDown(at time.Duration) bool {
	for _, o := range d.Outages {
		if o.contains(at) {
			return true
		}
	}
	return false
}

// partitionAt returns the partition of a zone at a time, or nil.
func (d *Day) partitionAt(zone, zones int, at time.Duration) *zonePartition {
	for i := range d.Partitions {
		if p := &d.Partitions[i]; p.Zone%zones == zone && p.contains(at) {
			return p
		}
	}
	return nil
}

// drainedZones returns the names of the zones that are drained at a time.
func (d *Day) drainedZones(zones int, at time.Duration) []string {
	var list []string
	for _, drain := range d.Drains {
		if drain.contains(at) {
			list = append(list, zoneName(drain.Zone%zones))
		}
	}
	return list
}

package emulator

import (
	"fmt"
	"time"
)

// Day is a load with troubles.
type Day struct {
	Name string `json:"name"`
	// Load is the arrivals as a multiple of the deployment's.
	Load   float64 `json:"load"`
	Bursts []burst `json:"bursts,omitempty"`
	// Workers are troubles of workers, Cuts of zones, Outages of the store.
	Workers []workerTrouble `json:"workers,omitempty"`
	Cuts    []cut           `json:"cuts,omitempty"`
	Outages []stretch       `json:"outages,omitempty"`
	// Crashing are jobs that take down their workers.
	Crashing []crashing `json:"crashing,omitempty"`
	// Drains are zones that operators drain.
	Drains []drained `json:"drains,omitempty"`
	// Handovers are planned changes of the leader, Crashes are others, by their times
	// in seconds.
	Handovers []float64 `json:"handovers_s,omitempty"`
	Crashes   []float64 `json:"crashes_s,omitempty"`
	// Cancelled adds to every kind's share of cancelled jobs.
	Cancelled float64 `json:"cancelled,omitempty"`
}

// stretch is a time of the day, in seconds.
type stretch struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

func (s stretch) holds(at time.Duration) bool { return at >= seconds(s.From) && at < seconds(s.To) }

// burst multiplies the arrivals of a kind for a while.
type burst struct {
	stretch
	Of    sort    `json:"of"`
	Times float64 `json:"times"`
}

// workerTrouble changes a share of the workers for a while.
type workerTrouble struct {
	stretch
	Share float64 `json:"share"`
	// Slower divides the speed; zero leaves it.
	Slower float64 `json:"slower,omitempty"`
	// Stalled workers make no progress.
	Stalled bool `json:"stalled,omitempty"`
	// Fails: every task that starts there ends failed after a moment.
	Fails bool `json:"fails,omitempty"`
	// Loses is the share of orders that get no answer and are not carried out in time.
	Loses float64 `json:"loses,omitempty"`
	// Silent workers are cut off from everybody and run on.
	Silent bool `json:"silent,omitempty"`
	// Reborn workers are cut off from everybody, crash meanwhile and come back as others.
	Reborn bool `json:"reborn,omitempty"`
	// CrashEvery is the mean time between two crashes of such a worker, in seconds; zero
	// is never.
	CrashEvery float64 `json:"crash_every_s,omitempty"`
}

// crashing makes a share of the jobs that arrive take down each worker that starts them.
type crashing struct {
	stretch
	Of    sort    `json:"of"`
	Share float64 `json:"share"`
}

// cut parts a zone from the others and from the store.
type cut struct {
	stretch
	// Zone counts from zero; a deployment with fewer zones has another one cut.
	Zone int `json:"zone"`
	// Refused connections fail at once; others are silent.
	Refused bool `json:"refused,omitempty"`
}

// drained is a zone that operators drain for a while.
type drained struct {
	stretch
	// Zone counts from zero; a deployment with fewer zones has another one drained.
	Zone int `json:"zone"`
}

// Days are the days that the decisions are judged by.
func Days() ([]Day, error) { return load("days", ReadDay) }

// ReadDay reads a day's file.
func ReadDay(name string, data []byte) (Day, error) {
	var d Day
	if err := decode(name, data, &d); err != nil {
		return d, err
	}
	if d.Name == "" || d.Load <= 0 {
		return d, fmt.Errorf("%s: a name and a load are needed", name)
	}
	return d, nil
}

// times is the factor of a kind's arrivals at a time.
func (d *Day) times(of sort, at time.Duration) float64 {
	factor := 1.0
	for _, b := range d.Bursts {
		if b.Of == of && b.holds(at) {
			factor *= b.Times
		}
	}
	return factor
}

// crashes is the share of a kind's jobs that take down their workers.
func (d *Day) crashes(of sort, at time.Duration) float64 {
	share := 0.0
	for _, c := range d.Crashing {
		if c.Of == of && c.holds(at) {
			share += c.Share
		}
	}
	return share
}

func (d *Day) storeAway(at time.Duration) bool {
	for _, o := range d.Outages {
		if o.holds(at) {
			return true
		}
	}
	return false
}

// cutAt returns the cut of a zone at a time, or nil.
func (d *Day) cutAt(zone, zones int, at time.Duration) *cut {
	for i := range d.Cuts {
		if c := &d.Cuts[i]; c.Zone%zones == zone && c.holds(at) {
			return c
		}
	}
	return nil
}

// drainedZones are the zones that are drained at a time.
func (d *Day) drainedZones(zones int, at time.Duration) []string {
	var list []string
	for _, one := range d.Drains {
		if one.holds(at) {
			list = append(list, zoneName(one.Zone%zones))
		}
	}
	return list
}

package dispatch

import (
	"math"
	"time"
)

// demandForecast predicts the accelerators that urgent work will need in a pool. It answers waves and
// bursts: an average over several bursts keeps too little capacity free while one begins, so that
// ordinary work starts where urgent work arrives a moment later, and is stopped within its first
// second. Work that waits counts like work that runs, so the forecast follows arrivals and not
// starts.
type demandForecast struct {
	// fast and slow are averages of the demand; the difference between them is its trend.
	fast, slow float64
	// variance is that of the demand around the fast average.
	variance float64
	at       time.Time
}

const (
	// fastDemandWindow and slowDemandWindow are the averaging times.
	fastDemandWindow = 1 * time.Second
	slowDemandWindow = 3 * time.Second
	// demandHorizon is how far ahead demand is predicted: about the run time of urgent work, for
	// which the capacity that it finds free is used.
	demandHorizon = 1500 * time.Millisecond
)

// observe adds the demand at a time.
func (f *demandForecast) observe(demand float64, now time.Time) {
	if f.at.IsZero() {
		f.fast, f.slow, f.at = demand, demand, now
		return
	}
	elapsed := now.Sub(f.at).Seconds()
	f.at = now
	weight := 1 - math.Exp(-elapsed/fastDemandWindow.Seconds())
	difference := demand - f.fast
	f.fast += weight * difference
	f.variance += weight * (difference*difference - f.variance)
	f.slow += (1 - math.Exp(-elapsed/slowDemandWindow.Seconds())) * (demand - f.slow)
}

// ahead returns the demand that is expected within the horizon, with one standard deviation added.
// A falling demand is not extrapolated: capacity that is kept for too long costs less than capacity
// that is missing.
func (f *demandForecast) ahead() float64 {
	trend := max(f.fast-f.slow, 0) / (slowDemandWindow - fastDemandWindow).Seconds()
	return f.fast + trend*demandHorizon.Seconds() + math.Sqrt(f.variance)
}

// observeDemand updates the forecasts of all pools.
func (c *Core) observeDemand(pending []*pendingStep, pools map[string][]*workerCapacity) {
	demand := make(map[string]float64)
	for pool, workers := range pools {
		for _, r := range workers {
			demand[pool] += float64(r.urgentAccelerators)
		}
	}
	for _, u := range pending {
		if u.queue.Priority == 0 {
			demand[u.queue.Pool] += float64(int64(len(u.tasks)) * u.step.spec.Need.Accelerators)
		}
	}
	for pool := range pools {
		f := c.demand[pool]
		if f == nil {
			f = &demandForecast{}
			c.demand[pool] = f
		}
		f.observe(demand[pool], c.now)
	}
}

// expectedUrgentUse returns the accelerators of a pool to keep for urgent work. The forecast counts
// where stops take too long: elsewhere urgent work that finds too little preempts in time, and
// capacity that is kept is missed by ordinary work.
func (c *Core) expectedUrgentUse(pool string) float64 {
	average := c.numberOr(NumHeadroomFactor, headroomFactor) * c.urgentUsage[pool]
	f := c.demand[pool]
	if f == nil || !c.stopsTakeTooLong(pool) {
		return average
	}
	return max(average, f.ahead())
}

// stopsTakeTooLong reports whether urgent work of a pool cannot wait for a run to stop: its callers
// allow less than that on top of the work. All ordinary work then keeps away from what is kept for
// it, also work that would lose little.
func (c *Core) stopsTakeTooLong(pool string) bool {
	if !c.enabled(MechDemandForecast) {
		return false
	}
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		if q.Pool == pool && q.Priority == 0 && time.Duration(q.GracePeriodMS)*time.Millisecond < c.bounds.MaxStopTime {
			return true
		}
	}
	return false
}

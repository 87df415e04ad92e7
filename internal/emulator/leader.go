package emulator

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/knowledge"
)

const (
	// crashTakeoverDelay is the time without a leader after one crashed or was
	// partitioned: two missed renewals, a query, the takeover and a read of the table.
	// handoverDelay is the time without a leader after a planned stop.
	crashTakeoverDelay = 1300 * time.Millisecond
	handoverDelay      = 60 * time.Millisecond
	// leaseDuration is the validity of a lease without renewal; renewalAge is the age of
	// the last renewal when a leader is lost.
	leaseDuration = 2 * time.Second
	renewalAge    = 200 * time.Millisecond
	// drainLatency is the time until a leader receives a change of the drained zones.
	drainLatency = 500 * time.Millisecond
	// storeRecoveryDelay is the time from the end of a store outage until a new leader
	// can hold the lease.
	storeRecoveryDelay = 100 * time.Millisecond
)

// leader is the instance that holds the lease and schedules.
type leader struct {
	// core is nil while there is no leader.
	core  *dispatch.Core
	epoch int64
	zone  int
	// nextStart is the earliest time at which the next leader can start;
	// earlierOrdersUntil is the time until which its predecessor may have sent orders.
	nextStart          time.Duration
	earlierOrdersUntil time.Duration
	// learned is what the predecessors have learned.
	learned knowledge.Knowledge
	// storeDownSince is the start of the current store outage, or zero.
	storeDownSince time.Duration
}

// changeLeader applies the leader changes of this tick.
func (sim *simulation) changeLeader() {
	l := &sim.leader
	if sim.popDue(&sim.restarts) {
		sim.restartInstances()
	}
	if l.core != nil {
		switch {
		case sim.popDue(&sim.leaderHandovers):
			sim.loseLeader(handoverDelay, sim.now)
		case sim.popDue(&sim.leaderCrashes), sim.day.partitionAt(l.zone, sim.deployment.Zones, sim.now) != nil:
			sim.loseLeader(crashTakeoverDelay, sim.now-renewalAge+leaseDuration)
		}
	}
	sim.trackStore()
	if l.core == nil && sim.now >= l.nextStart && !sim.day.storeDown(sim.now) {
		sim.startLeader()
	}
}

// popDue reports whether the first of the times, in seconds, has been reached, and
// removes it if so.
func (sim *simulation) popDue(times *[]float64) bool {
	if len(*times) == 0 || sim.now < seconds((*times)[0]) {
		return false
	}
	*times = (*times)[1:]
	return true
}

func (sim *simulation) loseLeader(delay, ordersUntil time.Duration) {
	l := &sim.leader
	l.learned = l.core.Knowledge()
	l.core, l.nextStart, l.earlierOrdersUntil = nil, sim.now+delay, ordersUntil
	sim.pendingAnswers = nil
	for _, w := range sim.workerList {
		w.waitingPoll = nil
	}
}

// restartInstances kills all instances: what they held in memory is lost.
func (sim *simulation) restartInstances() {
	if sim.leader.core != nil {
		sim.loseLeader(crashTakeoverDelay, sim.now-renewalAge+leaseDuration)
	}
	clear(sim.announced)
}

// trackStore records store outages. After an outage, the lease cannot be taken until
// storeRecoveryDelay has passed.
func (sim *simulation) trackStore() {
	l := &sim.leader
	switch down := sim.day.storeDown(sim.now); {
	case down && l.storeDownSince == 0:
		l.storeDownSince = sim.now
	case !down && l.storeDownSince != 0:
		l.storeDownSince = 0
		l.nextStart = max(l.nextStart, sim.now+storeRecoveryDelay)
	}
}

// updateDrains notifies the leader when the drained zones change.
func (sim *simulation) updateDrains() {
	if sim.leader.core != nil && !slices.Equal(sim.reportedDrains, sim.knownDrains()) {
		sim.notifyDrains()
	}
}

func (sim *simulation) notifyDrains() {
	sim.reportedDrains = sim.knownDrains()
	sim.leader.core.SetDrainedZones(sim.reportedDrains, sim.clock(), sim.wallMS())
	sim.roundDue = true
}

// knownDrains returns the drained zones as of drainLatency ago, which is what a leader
// has received by now.
func (sim *simulation) knownDrains() []string {
	return sim.day.drainedZones(sim.deployment.Zones, sim.now-drainLatency)
}

// leaseExpired reports whether the leader's lease has expired because the store is
// down.
func (sim *simulation) leaseExpired() bool {
	l := &sim.leader
	return l.storeDownSince != 0 && sim.now-l.storeDownSince > leaseDuration-renewalAge
}

// startLeader starts a new leader from the stored state and the announced completions.
// The first leader runs in the first zone, a later one in the next zone that is not
// partitioned.
func (sim *simulation) startLeader() {
	l := &sim.leader
	for range sim.deployment.Zones {
		if l.epoch > 0 {
			l.zone = (l.zone + 1) % sim.deployment.Zones
		}
		if sim.day.partitionAt(l.zone, sim.deployment.Zones, sim.now) == nil {
			break
		}
	}
	l.epoch++
	var earlierOrdersUntil time.Time
	if l.epoch > 1 {
		earlierOrdersUntil = simulationStart.Add(max(l.earlierOrdersUntil, sim.now))
	}
	l.core = dispatch.New(sim.deployment.bounds, l.epoch, sim.clock(), earlierOrdersUntil)
	l.core.Tune(sim.tuning)
	l.core.TrustStartIntents()
	l.core.StoreStartIntents(true)
	l.core.Configure(sim.deployment.config)
	l.core.Restore(l.learned, sim.clock(), sim.wallMS())
	sim.notifyWorkers()
	sim.notifyDrains()
	for _, a := range sim.accepted {
		record, announced := sim.records[a.job.ID], sim.announced[a.job.ID]
		if record.Final == "" && announced.Final != "" {
			record = announced
		}
		l.core.AddJob(a.job, record, slices.Contains(sim.cancelled, a), sim.clock(), sim.wallMS())
		if announced.Final != "" {
			l.core.MarkDirty(a.job.ID)
		}
	}
	sim.writeInFlight = false
	sim.roundDue = true
}

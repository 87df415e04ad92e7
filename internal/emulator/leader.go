package emulator

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
)

const (
	// crashGap is how long nobody schedules after a leader crashed or was cut off: two
	// missed renewals, a question, the take-over and a read of the table. handoverGap
	// is the same for a planned stop.
	crashGap    = 1300 * time.Millisecond
	handoverGap = 60 * time.Millisecond
	// leaseLength is how long a lease holds without a renewal, renewedAgo how old the
	// last renewal is when a leader is lost.
	leaseLength = 2 * time.Second
	renewedAgo  = 200 * time.Millisecond
	// drainHeard is how long it takes until a leader knows that a zone was drained.
	drainHeard = 500 * time.Millisecond
	// storeBack is how long after the store's return a new leader has its lease.
	storeBack = 100 * time.Millisecond
)

// leader is whoever schedules.
type leader struct {
	// core is nil while nobody does.
	core  *dispatch.Core
	epoch int64
	zone  int
	// ready is when the next one begins, and earlier until when the one before may have
	// given orders.
	ready   time.Duration
	earlier time.Duration
	// storeGone is since when the store is away; zero while it is not.
	storeGone time.Duration
}

// changeHolders takes what happens to the leader at this tick.
func (pl *player) changeLeaders() {
	h := &pl.leader
	if h.core != nil {
		switch {
		case pl.due(&pl.handovers):
			pl.lose(handoverGap, pl.now)
		case pl.due(&pl.crashes), pl.day.cutAt(h.zone, pl.deployment.Zones, pl.now) != nil:
			pl.lose(crashGap, pl.now-renewedAgo+leaseLength)
		}
	}
	pl.watchStore()
	if h.core == nil && pl.now >= h.ready && !pl.day.storeAway(pl.now) {
		pl.begin()
	}
}

// due reports whether the next of a list of times has come.
func (pl *player) due(list *[]float64) bool {
	if len(*list) == 0 || pl.now < seconds((*list)[0]) {
		return false
	}
	*list = (*list)[1:]
	return true
}

func (pl *player) lose(gap, earlier time.Duration) {
	h := &pl.leader
	h.core, h.ready, h.earlier = nil, pl.now+gap, earlier
	pl.answers = nil
	for _, w := range pl.order {
		w.poll = nil
	}
}

// watchStore notes since when the store is away; nobody can take the lease before it
// is back for a moment.
func (pl *player) watchStore() {
	h := &pl.leader
	switch away := pl.day.storeAway(pl.now); {
	case away && h.storeGone == 0:
		h.storeGone = pl.now
	case !away && h.storeGone != 0:
		h.storeGone = 0
		h.ready = max(h.ready, pl.now+storeBack)
	}
}

// hearDrains tells the leader when operators drain a zone or end that.
func (pl *player) hearDrains() {
	if pl.leader.core != nil && !slices.Equal(pl.drained, pl.drainsHeard()) {
		pl.tellDrains()
	}
}

func (pl *player) tellDrains() {
	pl.drained = pl.drainsHeard()
	pl.leader.core.Drain(pl.drained, pl.time(), pl.wall())
	pl.touched = true
}

// drainsHeard are the drained zones that a leader knows of now.
func (pl *player) drainsHeard() []string {
	return pl.day.drainedZones(pl.deployment.Zones, pl.now-drainHeard)
}

// paused reports whether the leader's lease ran out because the store is away.
func (pl *player) paused() bool {
	h := &pl.leader
	return h.storeGone != 0 && pl.now-h.storeGone > leaseLength-renewedAgo
}

// begin lets a new leader begin with what is stored, in a zone that is not cut off.
func (pl *player) begin() {
	h := &pl.leader
	for range pl.deployment.Zones {
		if h.epoch > 0 {
			h.zone = (h.zone + 1) % pl.deployment.Zones
		}
		if pl.day.cutAt(h.zone, pl.deployment.Zones, pl.now) == nil {
			break
		}
	}
	h.epoch++
	var earlier time.Time
	if h.epoch > 1 {
		earlier = began.Add(max(h.earlier, pl.now))
	}
	h.core = dispatch.New(pl.deployment.bounds, h.epoch, pl.time(), earlier)
	h.core.Tune(pl.tuning)
	h.core.TrustBegins()
	h.core.StoreBegins(true)
	h.core.Configure(pl.deployment.config)
	pl.tellWorkers()
	pl.tellDrains()
	for _, a := range pl.accepted {
		record, announced := pl.table[a.job.ID], pl.announced[a.job.ID]
		if record.Final == "" && announced.Final != "" {
			record = announced
		}
		h.core.AddJob(a.job, record, slices.Contains(pl.cancelled, a), pl.time(), pl.wall())
		if announced.Final != "" {
			h.core.MarkDirty(a.job.ID)
		}
	}
	pl.writing = false
	pl.touched = true
}

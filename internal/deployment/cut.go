package deployment

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers availability zones that are cut off. An instance there can
// accept nothing, and its callers are served in the other zones as soon as it says
// that it is not ready. Without it the silence was noticed after two seconds, calls
// were held until the caller's deadline, and callers of the zone who came in the
// first three seconds of a cut were not served at all.

const (
	// pingEvery is how often one instance of each other zone is pinged: a cut is noticed
	// well before the balancer's next check.
	pingEvery = 200 * time.Millisecond
	// pingTimeout bounds a ping, and each call of the check beside it; a slowed instance
	// answers within half of it.
	pingTimeout = 250 * time.Millisecond
	// checkAfter is how long all pings may go without an answer before the store and
	// more instances are asked as well.
	checkAfter = 100 * time.Millisecond
	// witnesses is how many more instances of other zones are asked before a lost
	// ping is taken for a cut.
	witnesses = 2
)

// cutWatch says whether this instance is cut off: whether neither the store nor any
// instance of another zone has answered since a check of all of them failed.
type cutWatch struct {
	mu sync.Mutex
	// since is when the cut was noticed; zero while there is none.
	since time.Time
	// noticed is closed when a cut is noticed.
	noticed chan struct{}
	// alone says that the other instances of the zone did not answer either: they may
	// be as connected as ever.
	alone bool
}

func newCutWatch() *cutWatch { return &cutWatch{noticed: make(chan struct{})} }

// cut reports whether the instance is cut off.
func (c *cutWatch) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.since.IsZero()
}

// notice takes that nobody answered; true if that is new.
func (c *cutWatch) notice(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.IsZero() {
		return false
	}
	c.since = now
	close(c.noticed)
	return true
}

// clear takes that somebody answered a call that began at a time; true if that ends
// a cut. What began before the cut was noticed says nothing.
func (c *cutWatch) clear(began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || began.Before(c.since) {
		return false
	}
	c.since = time.Time{}
	c.alone = false
	c.noticed = make(chan struct{})
	return true
}

// setAlone notes whether the instance is cut off from those of its zone as well.
func (c *cutWatch) setAlone(alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alone = alone && !c.since.IsZero()
}

func (c *cutWatch) isAlone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone
}

// errCutOff ends calls under way once a cut is noticed.
var errCutOff = errors.New("the availability zone is cut off")

// guard returns a context that ends once a cut is noticed.
func (c *cutWatch) guard(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	noticed := c.noticed
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-noticed:
			cancel(errCutOff)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// refuseCutOff is the answer to work that this instance cannot take while it is cut
// off: nothing of it was sent.
func (i *Instance) refuseCutOff() error {
	after := comeBackSoonest
	switch {
	case !i.settings.Tuning.has(mechRetryAfter):
	case i.cut.isAlone():
		after = 0 // the next try reaches another instance of the zone
	default:
		after = comeBackElsewhere(i.rotation.outIn(bootTime()))
	}
	return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "%v", errCutOff), after)
}

// watchCut pings the other zones, one instance of each at a time, and checks all ways
// out when none answers soon.
func (i *Instance) watchCut(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		pause(ctx, pingEvery)
		if i.hubsWatch() {
			continue
		}
		zones := i.elsewhere()
		if len(zones) == 0 {
			continue // there is nobody to be cut off from
		}
		began := bootTime()
		silent, answered := i.tryWaysOut(ctx, zones, turn)
		switch {
		case ctx.Err() != nil:
			return
		case answered:
			i.reconnected(began)
			i.suspectZones(silent)
		case i.cut.notice(bootTime()):
			alone := i.aloneInZone(ctx)
			i.cut.setAlone(alone)
			i.logger.Warn("cut off", zap.Int("zones_elsewhere", len(zones)), zap.Bool("alone", alone))
			i.tellLeaves(ctx)
		}
	}
}

// hubQuiet is how long a leaf may hear nothing from the hubs of its zone before it
// checks by itself whether it is cut off: a hello, and the time-out of the next one.
const hubQuiet = helloEvery + helloTimeout

// hubsWatch reports whether this instance may leave the watch to the hubs of its zone:
// it is a leaf, and one of them has said lately that it is not cut off.
func (i *Instance) hubsWatch() bool {
	if i.follows() || i.cut.cut() {
		return false
	}
	now := bootTime()
	hubs := i.peers.fresh(func(v peerView) bool {
		return v.hub && v.zone == i.settings.AvailabilityZone && now.Sub(v.at) < hubQuiet
	})
	connected := i.peers.fresh(func(v peerView) bool {
		return v.hub && !v.cutOff && v.zone == i.settings.AvailabilityZone && now.Sub(v.at) < hubQuiet
	})
	return len(connected) > 0 && len(connected) == len(hubs)
}

// tellLeaves tells the leaves of the zone that a cut was noticed: they look for
// themselves.
func (i *Instance) tellLeaves(ctx context.Context) {
	hello := i.hello(false)
	for _, id := range i.peers.fresh(func(v peerView) bool { return !v.hub && v.zone == i.settings.AvailabilityZone }) {
		i.calls.Go(func() { i.sayHello(ctx, id, hello) })
	}
}

// aloneInZone reports whether none of the other instances of the zone answers that
// said something lately.
func (i *Instance) aloneInZone(ctx context.Context) bool {
	mates := i.peers.fresh(func(v peerView) bool { return v.zone == i.settings.AvailabilityZone })
	answers := make(chan bool, len(mates))
	for _, id := range mates {
		go func() { answers <- i.ping(ctx, id) }()
	}
	for range mates {
		if <-answers {
			return false
		}
	}
	return len(mates) > 0
}

// tryWaysOut pings one instance of each zone and returns the first instances of the
// zones that do not answer, and whether anybody did. If nobody has after checkAfter,
// the store and some more instances are asked beside them.
func (i *Instance) tryWaysOut(ctx context.Context, zones [][]string, turn int) (silent []string, answered bool) {
	answers := make(chan string, len(zones))
	for _, members := range zones {
		go func() {
			if i.ping(ctx, members[turn%len(members)]) {
				answers <- ""
				return
			}
			answers <- members[0]
		}()
	}
	check := time.NewTimer(checkAfter)
	defer check.Stop()
	checked := make(chan bool, 1)
	checking := false
	for left := len(zones); left > 0; {
		select {
		case id := <-answers:
			left--
			if id == "" {
				answered = true
			} else {
				silent = append(silent, id)
			}
		case <-check.C:
			if checking = !answered; checking {
				go func() { checked <- i.anyAnswers(ctx, slices.Concat(zones...), turn) }()
			}
		}
	}
	switch {
	case answered:
	case checking:
		answered = <-checked
	default:
		answered = i.anyAnswers(ctx, slices.Concat(zones...), turn)
	}
	return silent, answered
}

// suspectZones lets the core look at the workers of zones of which an instance does
// not answer, before it starts anything there.
func (i *Instance) suspectZones(members []string) {
	leader := i.leader.Load()
	if leader == nil {
		return
	}
	for _, id := range members {
		zone := i.replica.zoneOf(id)
		leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.Suspect(zone, now, wallMS) })
	}
}

// elsewhere lists the instances of each other zone. Those that said something lately
// come first: rows of instances that are gone stay for a while.
func (i *Instance) elsewhere() [][]string {
	lately := make(map[string]bool)
	for _, id := range i.peers.fresh(func(peerView) bool { return true }) {
		lately[id] = true
	}
	zones := i.replica.otherZones(i.settings.AvailabilityZone)
	for n, members := range zones {
		if fresh := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return !lately[id] }); len(fresh) > 0 {
			zones[n] = fresh
		}
	}
	return zones
}

// ping reports whether an instance answers. It sends a note without rows: a hello would
// bring the leader's list of jobs each time.
func (i *Instance) ping(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Rows{Rows: &peerpb.RowsNote{}}})
	return err == nil
}

// anyAnswers asks the store and some more instances at once.
func (i *Instance) anyAnswers(ctx context.Context, others []string, turn int) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	asks := []func() bool{func() bool {
		_, err := i.store.direct.Read(ctx, workload.SourceOwn, mainPart, epochKey, leaderKey)
		return err == nil
	}}
	for n := range min(witnesses, len(others)-1) {
		id := others[(turn+1+n)%len(others)]
		asks = append(asks, func() bool { return i.ping(ctx, id) })
	}
	answers := make(chan bool, len(asks))
	for _, ask := range asks {
		go func() { answers <- ask() }()
	}
	for range asks {
		if <-answers {
			return true
		}
	}
	return false
}

// reconnected ends a cut.
func (i *Instance) reconnected(began time.Time) {
	if i.cut.clear(began) {
		i.logger.Info("no longer cut off")
	}
}

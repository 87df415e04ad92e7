package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/ring"
)

const (
	// maxGossipCalls bounds the state messages in flight.
	maxGossipCalls = 64
	// gossipTimeout bounds one exchange. A peer that takes longer is tried
	// again.
	gossipTimeout = time.Second
	// roundsPerInterval is the number of rounds per peer interval.
	roundsPerInterval = 5
)

// gossip exchanges states with peers: with those that are due; with every peer
// at once when a backend server or this instance starts to leave or the placer
// role changes; and, when a new configuration is in force here, with those that
// lack it.
type gossip struct {
	fleet    *Fleet
	schedule *schedule
	// wake starts a round at once. Triggers that arrive before that round
	// share its entry.
	wake *ring.Dropping[struct{}]
	// lastEpoch is the placer epoch sent last, and sentVersions holds the
	// configuration version sent last to each peer. Only the gossip loop uses
	// them.
	lastEpoch    int64
	sentVersions map[string]int64

	// mu guards inProgress, which has an entry for each peer with an exchange
	// in progress; the value reports whether another one must follow.
	mu         sync.Mutex
	inProgress map[string]bool
}

func newGossip(fleet *Fleet) *gossip {
	return &gossip{
		fleet:        fleet,
		schedule:     newSchedule(fleet.options.Self),
		wake:         ring.NewDropping[struct{}](1),
		sentVersions: make(map[string]int64),
		inProgress:   make(map[string]bool),
	}
}

// triggerRound starts a round with every peer at once.
func (g *gossip) triggerRound() { g.wake.Push(struct{}{}) }

func (g *gossip) run(ctx context.Context) {
	if g.fleet.options.Caller == nil {
		return
	}
	exchanges := newCallPool(maxGossipCalls)
	defer exchanges.wait()
	ticker := time.NewTicker(g.fleet.options.PeerInterval / roundsPerInterval)
	defer ticker.Stop()
	toAll := true
	for {
		g.round(ctx, exchanges, toAll)
		select {
		case <-ticker.C:
			toAll = false
		case <-g.wake.C():
			toAll = true
		case <-ctx.Done():
			return
		}
	}
}

// round starts an exchange with every peer that is due. If the pool is full, a
// peer waits for its next turn.
func (g *gossip) round(ctx context.Context, exchanges *callPool, toAll bool) {
	own := g.fleet.OwnState()
	toAll = toAll || own.GetEpoch() != g.lastEpoch
	g.lastEpoch = own.GetEpoch()
	peers, versions, intervals := g.fleet.peersAndIntervals()
	urgent := func(id string) bool { return toAll || g.needsConfig(id, versions[id], own.GetConfigVersion()) }
	for _, target := range g.schedule.due(time.Now(), peers, intervals, urgent, rand.Float64) {
		if !g.reserve(target.ID, urgent(target.ID)) {
			continue
		}
		g.sentVersions[target.ID] = own.GetConfigVersion()
		if !exchanges.start(func() { g.exchangeUntilCurrent(ctx, target) }) {
			g.finish(target.ID)
		}
	}
}

// needsConfig reports whether a peer has an older configuration than this
// instance, according to its last message, and has not been sent the current
// version.
func (g *gossip) needsConfig(id string, peerVersion, ownVersion int64) bool {
	return peerVersion > 0 && peerVersion < ownVersion && g.sentVersions[id] < ownVersion
}

// reserve reserves the exchange with a peer. It returns false if one is in
// progress, which is then repeated if urgent is set.
func (g *gossip) reserve(id string, urgent bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeat, inProgress := g.inProgress[id]
	if inProgress {
		g.inProgress[id] = repeat || urgent
		return false
	}
	g.inProgress[id] = false
	return true
}

// finish ends the exchange with a peer. It returns true if it must be repeated.
func (g *gossip) finish(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inProgress[id] {
		g.inProgress[id] = false
		return true
	}
	delete(g.inProgress, id)
	return false
}

// exchangeUntilCurrent exchanges states with a peer until no urgent change
// arrived during the last exchange.
func (g *gossip) exchangeUntilCurrent(ctx context.Context, target model.Instance) {
	_ = g.exchange(ctx, target)
	for g.finish(target.ID) && ctx.Err() == nil {
		_ = g.exchange(ctx, target)
	}
}

// exchange exchanges states with one peer once.
func (g *gossip) exchange(ctx context.Context, target model.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_State{State: g.fleet.OwnState()}}
	response, err := g.fleet.options.Caller.Call(ctx, target.ID, request)
	if err != nil {
		g.fleet.logger.Debug("peer silent", zap.String("peer", target.ID), zap.Error(err))
		return err
	}
	if state := response.GetState(); state != nil {
		g.fleet.observe(func(now time.Time) bool { return g.fleet.state.applyPeerState(state, now) })
	}
	return nil
}

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
	// gossipCalls bounds the state messages under way.
	gossipCalls = 64
	// gossipTimeout bounds one of them; a peer that takes longer is asked again.
	gossipTimeout = time.Second
	// roundsPerInterval is how often in an interval the duty looks who is due.
	roundsPerInterval = 5
)

// gossip exchanges states with the peers that are due; with every peer at once
// when there is news of leaving or of the placer role; and with those that lack
// it when a new configuration is in force here.
type gossip struct {
	fleet    *Fleet
	schedule *schedule
	// urgent wakes the duty; one waiting entry stands for all later ones.
	urgent *ring.Dropping[struct{}]
	// epoch is the placer epoch last told, and told the configuration version
	// last told to each peer. They belong to the duty.
	epoch int64
	told  map[string]int64

	// mu guards talking: the peers with a message under way, with whether news
	// came meanwhile.
	mu      sync.Mutex
	talking map[string]bool
}

func newGossip(fleet *Fleet) *gossip {
	return &gossip{
		fleet:    fleet,
		schedule: newSchedule(fleet.options.Self),
		urgent:   ring.NewDropping[struct{}](1),
		told:     make(map[string]int64),
		talking:  make(map[string]bool),
	}
}

// urge makes the next round start now and go to every peer.
func (g *gossip) urge() { g.urgent.Push(struct{}{}) }

func (g *gossip) run(ctx context.Context) {
	if g.fleet.options.Caller == nil {
		return
	}
	exchanges := newCalls(gossipCalls)
	defer exchanges.wait()
	ticker := time.NewTicker(g.fleet.options.PeerInterval / roundsPerInterval)
	defer ticker.Stop()
	news := true
	for {
		g.round(ctx, exchanges, news)
		select {
		case <-ticker.C:
			news = false
		case <-g.urgent.C():
			news = true
		case <-ctx.Done():
			return
		}
	}
}

// round starts an exchange with every peer that is due. A full pool leaves a
// peer to its next time.
func (g *gossip) round(ctx context.Context, exchanges *calls, news bool) {
	own := g.fleet.OwnState()
	news = news || own.GetEpoch() != g.epoch
	g.epoch = own.GetEpoch()
	peers, versions, every := g.fleet.peersAndIntervals()
	urgent := func(id string) bool { return news || g.lacks(id, versions[id], own.GetConfigVersion()) }
	for _, target := range g.schedule.due(time.Now(), peers, every, urgent, rand.Float64) {
		if !g.begin(target.ID, urgent(target.ID)) {
			continue
		}
		g.told[target.ID] = own.GetConfigVersion()
		if !exchanges.start(func() { g.talkOut(ctx, target) }) {
			g.end(target.ID)
		}
	}
}

// lacks reports whether a peer that was heard has an older configuration than
// this instance and was not told of the present one.
func (g *gossip) lacks(id string, theirs, own int64) bool {
	return theirs > 0 && theirs < own && g.told[id] < own
}

// begin reserves the talk with a peer; false if one is under way, which then
// repeats itself if there is news.
func (g *gossip) begin(id string, news bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	again, talking := g.talking[id]
	if talking {
		g.talking[id] = again || news
		return false
	}
	g.talking[id] = false
	return true
}

// end ends the talk with a peer; true if it must be repeated.
func (g *gossip) end(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.talking[id] {
		g.talking[id] = false
		return true
	}
	delete(g.talking, id)
	return false
}

// talkOut talks to a peer until no news came meanwhile.
func (g *gossip) talkOut(ctx context.Context, target model.Instance) {
	_ = g.talk(ctx, target)
	for g.end(target.ID) && ctx.Err() == nil {
		_ = g.talk(ctx, target)
	}
}

// talk exchanges states with one peer.
func (g *gossip) talk(ctx context.Context, target model.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_State{State: g.fleet.OwnState()}}
	response, err := g.fleet.options.Caller.Call(ctx, target.ID, request)
	if err != nil {
		g.fleet.logger.Debug("peer silent", zap.String("peer", target.ID), zap.Error(err))
		return err
	}
	if state := response.GetState(); state != nil {
		g.fleet.observe(func(now time.Time) bool { return g.fleet.state.peerSaid(state, now) })
	}
	return nil
}

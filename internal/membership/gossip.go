package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
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

// gossip exchanges states with the peers that are due, and with every peer at
// once when there is news.
type gossip struct {
	fleet    *Fleet
	schedule *schedule
	// urgent wakes the duty; one waiting entry stands for all later ones.
	urgent *ring.Dropping[struct{}]

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
		talking:  make(map[string]bool),
	}
}

// urge makes the next round start now and go to every peer.
func (g *gossip) urge() { g.urgent.Push(struct{}{}) }

func (g *gossip) run(ctx context.Context) {
	if g.fleet.options.Caller == nil {
		return
	}
	pool := pond.NewPool(gossipCalls, pond.WithQueueSize(gossipCalls), pond.WithNonBlocking(true))
	defer pool.StopAndWait()
	ticker := time.NewTicker(g.fleet.options.PeerInterval / roundsPerInterval)
	defer ticker.Stop()
	news := true
	for {
		g.round(ctx, pool, news)
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
func (g *gossip) round(ctx context.Context, pool pond.Pool, news bool) {
	peers, every := g.fleet.peersAndIntervals()
	for _, target := range g.schedule.due(time.Now(), peers, every, news, rand.Float64) {
		if !g.begin(target.ID, news) {
			continue
		}
		if pool.Go(func() { g.talkOut(ctx, target) }) != nil {
			g.end(target.ID)
		}
	}
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

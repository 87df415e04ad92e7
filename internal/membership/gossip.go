package membership

import (
	"context"
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
)

// gossip sends this instance's state to every peer at an interval, and at once
// when there is news.
type gossip struct {
	fleet *Fleet
	// urgent wakes the duty; one waiting entry stands for all later ones.
	urgent *ring.Dropping[struct{}]

	// mu guards talking: the peers with a message under way.
	mu      sync.Mutex
	talking map[string]bool
}

func newGossip(fleet *Fleet) *gossip {
	return &gossip{fleet: fleet, urgent: ring.NewDropping[struct{}](1), talking: make(map[string]bool)}
}

// urge makes the next round start now.
func (g *gossip) urge() { g.urgent.Push(struct{}{}) }

func (g *gossip) run(ctx context.Context) {
	if g.fleet.options.Caller == nil {
		return
	}
	pool := pond.NewPool(gossipCalls, pond.WithQueueSize(gossipCalls), pond.WithNonBlocking(true))
	defer pool.StopAndWait()
	ticker := time.NewTicker(g.fleet.options.PeerInterval)
	defer ticker.Stop()
	for {
		g.round(ctx, pool)
		select {
		case <-ticker.C:
		case <-g.urgent.C():
		case <-ctx.Done():
			return
		}
	}
}

// round starts one message to every peer that none is under way to. A full
// pool leaves a peer to the next round.
func (g *gossip) round(ctx context.Context, pool pond.Pool) {
	for _, target := range g.fleet.targets() {
		if !g.begin(target.ID) {
			continue
		}
		err := pool.Go(func() {
			defer g.end(target.ID)
			g.talk(ctx, target)
		})
		if err != nil {
			g.end(target.ID)
		}
	}
}

func (g *gossip) begin(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.talking[id] {
		return false
	}
	g.talking[id] = true
	return true
}

func (g *gossip) end(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.talking, id)
}

// talk exchanges states with one peer.
func (g *gossip) talk(ctx context.Context, target model.Instance) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_State{State: g.fleet.OwnState()}}
	response, err := g.fleet.options.Caller.Call(ctx, target.ID, request)
	if err != nil {
		g.fleet.logger.Debug("peer silent", zap.String("peer", target.ID), zap.Error(err))
		return
	}
	if state := response.GetState(); state != nil {
		g.fleet.observe(func(now time.Time) bool { return g.fleet.state.peerSaid(state, now) })
	}
}

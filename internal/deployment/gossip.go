package deployment

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// helloEvery is the time between two hellos to a peer. A count of waiting
	// jobs may be two seconds old; half of it leaves one hello to be lost.
	helloEvery = 700 * time.Millisecond
	// helloFresh is for how long a peer that said hello is not called: less than the
	// interval, so that one of the two calls in each.
	helloFresh = helloEvery * 3 / 4
	// helloTimeout bounds one hello.
	helloTimeout = 600 * time.Millisecond
	// noteTimeout bounds passing rows on.
	noteTimeout = 800 * time.Millisecond
	// peerFreshFor is how long a peer's hello counts.
	peerFreshFor = 2 * time.Second
)

// peerView is what a peer said last.
type peerView struct {
	zone           string
	storeReachable bool
	at             time.Time
}

// peers keeps what the peers said.
type peers struct {
	mu    sync.Mutex
	views map[string]peerView
}

func (p *peers) set(id string, view peerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views[id] = view
}

// fresh lists the peers that said something lately and match.
func (p *peers) fresh(match func(peerView) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	var ids []string
	for id, view := range p.views {
		if now.Sub(view.at) < peerFreshFor && match(view) {
			ids = append(ids, id)
		}
	}
	return ids
}

// heardSince reports whether a peer has said something since a time.
func (p *peers) heardSince(id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.views[id].at.After(since)
}

// peerIDs lists all other instances, from the table and the seeds.
func (i *Instance) peerIDs() []string {
	seen := map[string]bool{i.settings.Listen.Peers: true}
	var ids []string
	for _, list := range [][]string{i.replica.instances(), i.live.Load().Seeds} {
		for _, id := range list {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (i *Instance) hello() *peerpb.Hello {
	_, directly := i.store.reachable()
	h := &peerpb.Hello{
		AvailabilityZone: i.settings.AvailabilityZone, ConfigVersion: i.configVersion(), StoreReachable: directly,
		Leaving: i.stopping.Load(),
	}
	if g := i.lease.current(); g != nil && !g.ended() {
		h.Epoch = g.epoch
		h.Began = i.replica.beganList()
	}
	return h
}

// gossip says hello to every peer at an interval. A hello is answered with one, so a
// peer that has just said hello needs none: of two, one calls. With both calling, 36
// instances made 1,800 such calls a second.
func (i *Instance) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		hello := i.hello()
		for _, id := range i.peerIDs() {
			if i.peers.heardSince(id, bootTime().Add(-helloFresh)) {
				continue
			}
			i.calls.Go(func() { i.sayHello(ctx, id, hello) })
		}
		pause(ctx, helloEvery)
	}
}

func (i *Instance) sayHello(ctx context.Context, id string, hello *peerpb.Hello) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: hello}})
	if err != nil {
		return
	}
	i.heard(id, response.GetHello())
}

// holdsLease asks an instance whether it holds the lease.
func (i *Instance) holdsLease(ctx context.Context, id string) (bool, error) {
	response, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: i.hello()}})
	if err != nil {
		return false, err
	}
	return response.GetHello().GetEpoch() > 0, nil
}

// heard takes a peer's hello, and passes the configuration on to a peer that
// has an older one.
func (i *Instance) heard(id string, hello *peerpb.Hello) {
	if hello == nil {
		return
	}
	i.peers.set(id, peerView{
		zone: hello.GetAvailabilityZone(), storeReachable: hello.GetStoreReachable() && !hello.GetLeaving(), at: bootTime(),
	})
	if hello.GetAvailabilityZone() != i.settings.AvailabilityZone {
		i.reconnected(bootTime())
	}
	if hello.GetEpoch() > 0 {
		i.replica.setBegan(hello.GetEpoch(), hello.GetBegan())
	}
	if row := i.configRow.Load(); row != nil && hello.GetConfigVersion() < i.configVersion() {
		i.calls.Go(func() { i.sendRows(id, workload.SourceConfiguration, []workload.Row{*row}) })
	}
}

func (i *Instance) sendRows(id string, source workload.Source, rows []workload.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	note := &peerpb.RowsNote{Source: string(source), Rows: packRows(rows)}
	if _, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Rows{Rows: note}}); err != nil {
		i.logger.Debug("passing rows on failed", zap.String("peer", id), zap.Error(err))
	}
}

// passOn sends rows to every peer: a peer whose feed is silent has them too.
func (i *Instance) passOn(source workload.Source, rows []workload.Row) {
	for _, id := range i.peers.fresh(func(peerView) bool { return true }) {
		i.calls.Go(func() { i.sendRows(id, source, rows) })
	}
}

// tellHolder sends rows to the holder of the lease, which has them from its
// feed as well, a little later.
func (i *Instance) tellHolder(rows []workload.Row) {
	holder := i.replica.seenLeader().Holder
	if holder == "" || holder == i.settings.Listen.Peers {
		return
	}
	i.calls.Go(func() { i.sendRows(holder, workload.SourceOwn, rows) })
}

// Handle implements peer.Handler.
func (i *Instance) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Hello:
		i.heard(request.GetFrom(), body.Hello)
		return &peerpb.Response{Body: &peerpb.Response_Hello{Hello: i.hello()}}, nil
	case *peerpb.Request_Rows:
		i.takeRows(body.Rows)
		return &peerpb.Response{}, nil
	case *peerpb.Request_Store:
		answer := serveStore(ctx, i.store.direct, body.Store)
		return &peerpb.Response{Body: &peerpb.Response_Store{Store: answer}}, nil
	}
	return nil, api.NewError(api.KindMethodNotAllowed, "a deployment-wide instance does not take this call")
}

func (i *Instance) takeRows(note *peerpb.RowsNote) {
	rows := unpackRows(note.GetRows())
	switch workload.Source(note.GetSource()) {
	case workload.SourceOwn:
		i.replica.apply(rows)
	case workload.SourceConfiguration:
		i.takeConfiguration(rows)
	case sourceAnnounced:
		i.replica.announce(rows)
	}
}

package deployment

import (
	"context"
	"slices"
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

// hello is what this instance says of itself, to a hub or to a leaf.
func (i *Instance) hello(toHub bool) *peerpb.Hello {
	_, directly := i.store.reachable()
	h := &peerpb.Hello{
		AvailabilityZone: i.settings.AvailabilityZone,
		ConfigVersion:    i.configVersion(),
		StoreReachable:   directly,
		Leaving:          i.stopping.Load(),
		Hub:              i.follows() && i.replica.isLoaded(),
		Leader:           i.leaderAddr(),
		CutOff:           i.cut.cut(),
	}
	if g := i.lease.current(); g != nil && !g.ended() {
		h.Epoch = g.epoch
		if toHub {
			h.Began = i.replica.beganList()
		}
	}
	if h.Hub && !toHub {
		h.Pending = i.counts.of(i.replica, bootTime())
	}
	return h
}

// pendingCounts keeps what was counted last: a hub tells it to every leaf.
type pendingCounts struct {
	mu     sync.Mutex
	counts map[string]int64
	at     time.Time
}

// countsFresh is for how long a count of waiting jobs is told.
const countsFresh = 250 * time.Millisecond

func (p *pendingCounts) of(r *replica, now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil || now.Sub(p.at) > countsFresh {
		p.counts, p.at = r.pending(), now
	}
	return p.counts
}

// gossip says hello to every contact at an interval. A hello is answered with one, so
// a peer that has just said hello needs none: of two, one calls.
func (i *Instance) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		hello := i.hello(true)
		for _, id := range i.contacts() {
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
		i.peers.miss(id)
		return
	}
	i.heard(id, response.GetHello())
}

// leads asks an instance whether it holds the lease.
func (i *Instance) leads(ctx context.Context, id string) (bool, error) {
	response, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: i.hello(true)}})
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
	now := bootTime()
	i.peers.set(id, peerView{
		zone:           hello.GetAvailabilityZone(),
		storeReachable: hello.GetStoreReachable() && !hello.GetLeaving(),
		hub:            hello.GetHub(),
		cutOff:         hello.GetCutOff(),
		leaderAddr:     hello.GetLeader(),
		pending:        hello.GetPending(),
		at:             now,
	})
	switch {
	case hello.GetAvailabilityZone() != i.settings.AvailabilityZone:
		i.reconnected(now)
	case hello.GetHub() && !hello.GetLeaving():
		i.hubHeard(now)
	}
	if hello.GetEpoch() > 0 {
		i.replica.setBegan(hello.GetEpoch(), hello.GetBegan())
	}
	if row := i.configRow.Load(); row != nil && hello.GetConfigVersion() < i.configVersion() && i.peers.mayPush(id, row.Version, now) {
		i.calls.Go(func() { i.sendRows(id, workload.SourceConfiguration, []workload.Row{*row}) })
	}
}

func (i *Instance) sendRows(id string, source workload.Source, rows []workload.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	note := &peerpb.RowsNote{Source: string(source), Rows: packRows(rows)}
	compressRows(note.Rows)
	if _, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Rows{Rows: note}}); err != nil {
		i.logger.Debug("passing rows on failed", zap.String("peer", id), zap.Error(err))
	}
}

// passOn sends rows to every hub: one whose feed is silent has them too.
func (i *Instance) passOn(source workload.Source, rows []workload.Row) {
	for _, id := range i.peers.fresh(func(v peerView) bool { return v.hub }) {
		i.calls.Go(func() { i.sendRows(id, source, rows) })
	}
}

// tellLeader sends rows to the leader, and a leaf to the hub that it asks
// as well. Both have them from their feeds a little later.
func (i *Instance) tellLeader(rows []workload.Row) {
	told := []string{i.leaderAddr()}
	if hubs := i.zoneHubs(); len(hubs) > 0 && !i.follows() {
		told = append(told, hubs[0])
	}
	for _, id := range slices.Compact(told) {
		if id != "" && id != i.settings.Listen.Peers {
			i.calls.Go(func() { i.sendRows(id, workload.SourceOwn, rows) })
		}
	}
}

// Handle implements peer.Handler.
func (i *Instance) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Hello:
		i.heard(request.GetFrom(), body.Hello)
		return &peerpb.Response{Body: &peerpb.Response_Hello{Hello: i.hello(body.Hello.GetHub())}}, nil
	case *peerpb.Request_Rows:
		i.takeRows(body.Rows)
		return &peerpb.Response{}, nil
	case *peerpb.Request_Store:
		answer := serveStore(ctx, i.store.direct, body.Store)
		return &peerpb.Response{Body: &peerpb.Response_Store{Store: answer}}, nil
	case *peerpb.Request_WorkerCalls:
		return &peerpb.Response{}, i.relayCalls(request.GetFrom(), body.WorkerCalls.GetCalls())
	case *peerpb.Request_WorkerAnswers:
		i.workerReach.takeAnswers(request.GetFrom(), body.WorkerAnswers.GetAnswers())
		return &peerpb.Response{}, nil
	case *peerpb.Request_JobQuery:
		return i.answerQuery(ctx, body.JobQuery)
	}
	return nil, api.NewError(api.KindMethodNotAllowed, "a deployment-wide instance does not take this call")
}

func (i *Instance) takeRows(note *peerpb.RowsNote) {
	if err := expandRows(note.GetRows()); err != nil {
		i.logger.Error("rows of a peer cannot be read", zap.Error(err))
		return
	}
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

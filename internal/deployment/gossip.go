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
	// helloInterval is the time between two hellos to a peer. A count of waiting jobs
	// may be two seconds old; with less than half of that as the interval, one hello
	// may be lost.
	helloInterval = 700 * time.Millisecond
	// helloSkipWindow is the time for which no hello is sent to a peer after one was
	// received from it. It is shorter than the interval, so that one of the two sends a
	// hello in each interval.
	helloSkipWindow = helloInterval * 3 / 4
	// helloTimeout bounds one hello.
	helloTimeout = 600 * time.Millisecond
	// rowsTimeout bounds sending rows to a peer.
	rowsTimeout = 800 * time.Millisecond
	// peerViewTTL is the time for which a peer's hello counts as recent.
	peerViewTTL = 2 * time.Second
)

// hello returns the state that this instance sends to a hub or to a leaf.
func (i *Instance) hello(toHub bool) *peerpb.Hello {
	_, directly := i.store.reachable()
	h := &peerpb.Hello{
		AvailabilityZone: i.settings.AvailabilityZone,
		ConfigVersion:    i.configVersion(),
		StoreReachable:   directly,
		Leaving:          i.stopping.Load(),
		Hub:              i.followsTable() && i.replica.isLoaded(),
		Leader:           i.leaderAddr(),
		CutOff:           i.partition.isCutOff(),
		InstancesVersion: i.replica.knownInstancesVersion(),
	}
	if g := i.lease.current(); g != nil && !g.ended() {
		h.Epoch = g.epoch
		if toHub {
			h.Began = i.replica.startedJobs()
		}
	}
	if h.Hub && !toHub {
		h.Pending = i.counts.of(i.replica, bootTime())
	}
	return h
}

// pendingCounts caches the counts of waiting jobs, which a hub sends to every leaf.
type pendingCounts struct {
	mu        sync.Mutex
	counts    map[string]int64
	countedAt time.Time
}

// pendingCountsTTL is the time for which the cached counts are used.
const pendingCountsTTL = 250 * time.Millisecond

func (p *pendingCounts) of(r *replica, now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil || now.Sub(p.countedAt) > pendingCountsTTL {
		p.counts, p.countedAt = r.pending(), now
	}
	return p.counts
}

// gossip sends a hello to every contact at an interval. A hello is answered with a
// hello, so none is sent to a peer from which one was received just before.
func (i *Instance) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		hello := i.hello(true)
		for _, id := range i.contacts() {
			if i.peers.helloSince(id, bootTime().Add(-helloSkipWindow)) {
				continue
			}
			i.peerCalls.Go(func() { i.sendHello(ctx, id, hello) })
		}
		pause(ctx, helloInterval)
	}
}

func (i *Instance) sendHello(ctx context.Context, id string, hello *peerpb.Hello) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: hello}})
	if err != nil {
		i.peers.recordMiss(id)
		return
	}
	i.receiveHello(id, response.GetHello())
}

// peerHoldsLease asks an instance whether it holds the lease.
func (i *Instance) peerHoldsLease(ctx context.Context, id string) (bool, error) {
	response, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: i.hello(true)}})
	if err != nil {
		return false, err
	}
	return response.GetHello().GetEpoch() > 0, nil
}

// receiveHello records a peer's hello, and sends the configuration to a peer that has
// an older one.
func (i *Instance) receiveHello(id string, hello *peerpb.Hello) {
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
		sendsInstances: hello.GetHub() && hello.GetInstancesVersion() > 0,
		receivedAt:     now,
	})
	switch {
	case hello.GetAvailabilityZone() != i.settings.AvailabilityZone:
		i.markReconnected(now)
	case hello.GetHub() && !hello.GetLeaving():
		i.recordHubContact(now)
	}
	if hello.GetEpoch() > 0 {
		i.replica.setStarted(hello.GetEpoch(), hello.GetBegan())
	}
	i.sendInstances(id, hello, now)
	if row := i.configRow.Load(); row != nil && hello.GetConfigVersion() < i.configVersion() && i.peers.mayPush(id, row.Version, now) {
		i.peerCalls.Go(func() { i.sendRows(id, workload.SourceConfiguration, []workload.Row{*row}) })
	}
}

func (i *Instance) sendRows(id string, source workload.Source, rows []workload.Row) {
	i.sendNote(id, &peerpb.RowsNote{Source: string(source), Rows: rowsToProto(rows)})
}

func (i *Instance) sendNote(id string, message *peerpb.RowsNote) {
	ctx, cancel := context.WithTimeout(context.Background(), rowsTimeout)
	defer cancel()
	compressRows(message.Rows)
	if _, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Rows{Rows: message}}); err != nil {
		i.logger.Debug("passing rows on failed", zap.String("peer", id), zap.Error(err))
	}
}

// sendToHubs sends rows to every hub with a recent hello, so that hubs whose feed has
// stopped responding receive them too.
func (i *Instance) sendToHubs(source workload.Source, rows []workload.Row) {
	for _, id := range i.peers.recent(func(v peerView) bool { return v.hub }) {
		i.peerCalls.Go(func() { i.sendRows(id, source, rows) })
	}
}

// notifyLeader sends rows to the leader and, from a leaf, also to the hub that it
// queries first. Both receive them from their feeds a little later.
func (i *Instance) notifyLeader(rows []workload.Row) {
	recipients := []string{i.leaderAddr()}
	if hubs := i.zoneHubs(); len(hubs) > 0 && !i.followsTable() {
		recipients = append(recipients, hubs[0])
	}
	for _, id := range slices.Compact(recipients) {
		if id != "" && id != i.settings.Listen.Peers {
			i.peerCalls.Go(func() { i.sendRows(id, workload.SourceOwn, rows) })
		}
	}
}

// Handle implements peer.Handler.
func (i *Instance) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Hello:
		i.receiveHello(request.GetFrom(), body.Hello)
		return &peerpb.Response{Body: &peerpb.Response_Hello{Hello: i.hello(body.Hello.GetHub())}}, nil
	case *peerpb.Request_Rows:
		i.receiveRows(body.Rows)
		return &peerpb.Response{}, nil
	case *peerpb.Request_Store:
		answer := serveStore(ctx, i.store.direct, body.Store)
		return &peerpb.Response{Body: &peerpb.Response_Store{Store: answer}}, nil
	case *peerpb.Request_WorkerCalls:
		return &peerpb.Response{}, i.relayCalls(request.GetFrom(), body.WorkerCalls.GetCalls())
	case *peerpb.Request_WorkerAnswers:
		i.routedWorkers.receiveAnswers(request.GetFrom(), body.WorkerAnswers.GetAnswers())
		return &peerpb.Response{}, nil
	case *peerpb.Request_JobQuery:
		return i.answerQuery(ctx, body.JobQuery)
	}
	return nil, api.NewError(api.KindMethodNotAllowed, "a deployment-wide instance does not take this call")
}

func (i *Instance) receiveRows(message *peerpb.RowsNote) {
	if err := expandRows(message.GetRows()); err != nil {
		i.logger.Error("rows of a peer cannot be read", zap.Error(err))
		return
	}
	rows := rowsFromProto(message.GetRows())
	switch workload.Source(message.GetSource()) {
	case workload.SourceOwn:
		i.replica.apply(rows)
	case workload.SourceConfiguration:
		i.applyConfiguration(rows)
	case sourceAnnounced:
		i.replica.applyAnnounced(rows)
	case sourceInstances:
		i.receiveInstances(rows, message.GetVersion())
	case noteStoreDoubted, noteStoreSilent, noteStoreAnswers:
		i.receiveStoreNote(workload.Source(message.GetSource()), rows)
	}
}

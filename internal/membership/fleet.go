package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// Local is what an instance says of itself besides its identity.
type Local struct {
	ConfigVersion int64
	ConfigAge     time.Duration
	// Epoch is set while the instance holds its zone's placer lease.
	Epoch             int64
	PlatformReachable bool
	// LoadPermille is the load level of the request path.
	LoadPermille int64
}

// Options are what a Fleet needs.
type Options struct {
	Self model.Instance
	// Seeds are the peers that the settings name.
	Seeds []settings.Peer
	// Lister reads the instance list; nil for none.
	Lister platform.InstanceLister
	// Caller reaches peers; nil for none.
	Caller peer.Caller
	// Prober asks backend servers of this zone for their health; nil for none.
	Prober Prober
	// Local returns the present figures for state messages; nil for none. It
	// is called from several goroutines.
	Local  func() Local
	Logger *zap.Logger
	// PeerInterval is the shortest time between exchanges with a peer of the
	// same availability zone; ListInterval is that between reads of the list.
	PeerInterval time.Duration
	ListInterval time.Duration
	// Thresholds may be left zero for the defaults.
	Thresholds Thresholds
}

// Fleet is what this instance knows of the fleet. It implements View and is
// safe for concurrent use.
type Fleet struct {
	options Options
	logger  *zap.Logger
	gossip  *gossip

	// mu guards state and self.
	mu    sync.Mutex
	state *state
	self  model.Instance
}

var _ View = (*Fleet)(nil)

// New returns a fleet that knows its seeds. Run keeps it fresh.
func New(options Options) *Fleet {
	if options.Thresholds == (Thresholds{}) {
		options.Thresholds = DefaultThresholds()
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	f := &Fleet{
		options: options,
		logger:  options.Logger.Named("membership"),
		state:   newState(options.Self, options.PeerInterval, options.Thresholds),
		self:    options.Self,
	}
	f.state.probing = options.Prober != nil
	now := time.Now()
	for _, seed := range options.Seeds {
		f.state.seeded(model.Instance{
			ID: seed.Instance, Addr: seed.Addr, PeerAddr: seed.PeerAddr, Zone: seed.AvailabilityZone,
		}, now)
	}
	f.gossip = newGossip(f)
	return f
}

// Run polls the instance list, talks to peers, asks backend servers and judges
// silence until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){f.pollList, f.gossip.run, f.judge, f.probe} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// pollList reads the instance list at its interval, and less often while it
// cannot be read.
func (f *Fleet) pollList(ctx context.Context) {
	if f.options.Lister == nil {
		return
	}
	failing := backoff.Backoff{Base: 2 * f.options.ListInterval, Max: listBackoffFactor * f.options.ListInterval}
	for ctx.Err() == nil {
		wait := backoff.Spread(f.options.ListInterval, rand.Float64())
		if err := f.readList(ctx); err == nil {
			failing.Succeeded()
		} else {
			wait = failing.Failed(rand.Float64())
			f.logger.Warn("instance list unavailable", zap.Int("failures", failing.Failures()), zap.Error(err))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// listBackoffFactor bounds the wait between reads during an outage, in
// intervals: the list is back in force soon after the platform is.
const listBackoffFactor = 5

// readList reads the list once. A failure leaves everything as it is.
func (f *Fleet) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := f.options.Lister.List(ctx)
	if err != nil {
		return err
	}
	f.ObserveList(list)
	return nil
}

// listTimeout bounds one read; a slow list is better than none.
const listTimeout = 3 * time.Second

// judge judges silence once in a while.
func (f *Fleet) judge(ctx context.Context) {
	ticker := time.NewTicker(f.options.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.mu.Lock()
			f.state.tick(now)
			changes := f.state.drainChanges()
			f.mu.Unlock()
			f.logChanges(changes)
		case <-ctx.Done():
			return
		}
	}
}

// ObserveList takes in one read of the instance list.
func (f *Fleet) ObserveList(list api.InstanceList) {
	f.observe(func(now time.Time) bool { return f.state.listed(list, now) })
}

// ObserveBackend takes in what a backend server said of itself. The sign of
// leaving holds from here on, and goes to every peer at once.
func (f *Fleet) ObserveBackend(id string, incarnation int64, leaving bool) {
	f.observe(func(now time.Time) bool { return f.state.backendSaid(id, incarnation, leaving, now) })
}

// ObserveWorker takes in a worker's report.
func (f *Fleet) ObserveWorker(report api.WorkerReport) {
	f.observe(func(now time.Time) bool {
		f.state.workerReported(report, now)
		return false
	})
}

// HandleState takes in a peer's state message and returns this instance's own.
func (f *Fleet) HandleState(message *peerpb.State) *peerpb.State {
	f.observe(func(now time.Time) bool { return f.state.peerSaid(message, now) })
	return f.OwnState()
}

// observe applies an event; news goes to the peers at once.
func (f *Fleet) observe(apply func(now time.Time) bool) {
	f.mu.Lock()
	news := apply(time.Now())
	changes := f.state.drainChanges()
	f.mu.Unlock()
	f.logChanges(changes)
	if news {
		f.gossip.urge()
	}
}

// logChanges writes one line for each change of what is known.
func (f *Fleet) logChanges(changes []change) {
	for _, c := range changes {
		f.logger.Info("member", zap.String("subject", c.subject), zap.String("id", c.id),
			zap.Int64("incarnation", c.incarnation), zap.String("from", c.from), zap.String("to", c.to))
	}
}

// Announce tells every peer of this instance's present state at once, for
// example after a change of the configuration or of the placer role.
func (f *Fleet) Announce() { f.gossip.urge() }

// AnnounceLeaving says that this instance leaves, and waits until every live
// peer was told or ctx ends. The error then counts those that were not reached.
func (f *Fleet) AnnounceLeaving(ctx context.Context) error {
	f.SetLeaving()
	if f.options.Caller == nil {
		return nil
	}
	peers := f.Instances()
	var told sync.WaitGroup
	var missed atomic.Int64
	for _, target := range peers {
		told.Go(func() {
			if f.gossip.talk(ctx, target) != nil {
				missed.Add(1)
			}
		})
	}
	told.Wait()
	if missed.Load() > 0 {
		return api.NewError(api.KindNotReady, "%d of %d peers were not told", missed.Load(), len(peers))
	}
	return nil
}

// SetLeaving says that this instance starts to leave; the gossip duty tells
// the peers at once.
func (f *Fleet) SetLeaving() {
	f.mu.Lock()
	f.self.Leaving = true
	f.state.leaving = true
	f.mu.Unlock()
	f.gossip.urge()
}

// Self returns this instance.
func (f *Fleet) Self() model.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.self
	self.LastSeen = time.Now()
	return self
}

// OwnState returns the state message of this instance.
func (f *Fleet) OwnState() *peerpb.State {
	var local Local
	if f.options.Local != nil {
		local = f.options.Local()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peerpb.State{
		Instance:          f.self.ID,
		AvailabilityZone:  f.self.Zone,
		Addr:              f.self.Addr,
		PeerAddr:          f.self.PeerAddr,
		Incarnation:       f.self.Incarnation,
		Leaving:           f.self.Leaving,
		ConfigVersion:     local.ConfigVersion,
		ConfigAgeMs:       local.ConfigAge.Milliseconds(),
		Epoch:             local.Epoch,
		PlatformReachable: local.PlatformReachable,
		LoadPermille:      local.LoadPermille,
		Backends:          f.state.leavingSignals(),
	}
}

// Instances implements View. Leaving instances are among them, marked so.
func (f *Fleet) Instances() []model.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.liveInstances(time.Now())
}

// BackendServers implements View. Those that are gone, or have
// not answered a first probe yet, are left out.
func (f *Fleet) BackendServers(zone string) []model.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.backendServers(zone, time.Now())
}

// Workers implements View.
func (f *Fleet) Workers(zone string) []model.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.zoneWorkers(zone)
}

// PeerStates returns the latest state message of each peer that was heard.
func (f *Fleet) PeerStates() map[string]HeardState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, every := time.Now(), f.state.intervals()
	heard := make(map[string]HeardState, len(f.state.instances))
	for id, entry := range f.state.instances {
		if entry.heard.State != nil {
			latest := entry.heard
			latest.Fresh = f.state.heardLately(entry, every, now)
			heard[id] = latest
		}
	}
	return heard
}

// Reach returns how many instances of this zone and of the others were heard of
// lately, and the highest placer epoch heard of in this zone.
func (f *Fleet) Reach() (zonePeers, otherPeers int, epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, every := time.Now(), f.state.intervals()
	for _, entry := range f.state.instances {
		sameZone := entry.Zone == f.self.Zone
		if sameZone {
			epoch = max(epoch, entry.heard.State.GetEpoch())
		}
		switch {
		case !f.state.heardLately(entry, every, now):
		case sameZone:
			zonePeers++
		default:
			otherPeers++
		}
	}
	return zonePeers, otherPeers, epoch
}

// Resolve returns the peer address of an instance, for peer.Options.
func (f *Fleet) Resolve(instance string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.state.instances[instance]
	if !ok || entry.PeerAddr == "" {
		return "", false
	}
	return entry.PeerAddr, true
}

// peersAndIntervals returns every known peer, those of this zone first, the
// configuration versions heard of them, and the times between exchanges.
func (f *Fleet) peersAndIntervals() ([]model.Instance, map[string]int64, intervals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := make([]model.Instance, 0, len(f.state.instances))
	versions := make(map[string]int64, len(f.state.instances))
	for _, id := range sortedKeys(f.state.instances) {
		entry := f.state.instances[id]
		peers = append(peers, entry.Instance)
		versions[id] = entry.heard.State.GetConfigVersion()
	}
	slices.SortStableFunc(peers, func(a, b model.Instance) int {
		return cmp.Compare(zoneRank(a, f.self), zoneRank(b, f.self))
	})
	return peers, versions, f.state.intervals()
}

func zoneRank(instance, self model.Instance) int {
	if instance.Zone == self.Zone {
		return 0
	}
	return 1
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

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

// Local holds the properties of this instance, apart from its identity, that it
// sends in state messages.
type Local struct {
	ConfigVersion int64
	ConfigAge     time.Duration
	// Epoch is set while the instance holds its zone's placer lease.
	Epoch             int64
	PlatformReachable bool
	// LoadPermille is the load level of the request path.
	LoadPermille int64
}

// Options configures a Fleet.
type Options struct {
	Self model.Instance
	// Seeds are the peers listed in the settings.
	Seeds []settings.Peer
	// Lister reads the instance list. It may be nil.
	Lister platform.InstanceLister
	// Caller calls peers. It may be nil.
	Caller peer.Caller
	// Prober queries the health of the backend servers of this zone. It may be
	// nil.
	Prober Prober
	// Local returns the current values for state messages. It may be nil. It is
	// called from several goroutines.
	Local  func() Local
	Logger *zap.Logger
	// PeerInterval is the mean time between exchanges with a peer of the same
	// availability zone in a small fleet; it is longer in a large one (see
	// planIntervals). ListInterval is the maximum wait between reads of the
	// list while they succeed.
	PeerInterval time.Duration
	ListInterval time.Duration
	// Thresholds defaults to DefaultThresholds.
	Thresholds Thresholds
}

// Fleet maintains this instance's view of the fleet. It implements View and is
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

// New returns a fleet that contains the seeds. Run keeps it up to date.
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
	f.state.probesEnabled = options.Prober != nil
	now := time.Now()
	for _, seed := range options.Seeds {
		f.state.addSeed(model.Instance{
			ID: seed.Instance, Addr: seed.Addr, PeerAddr: seed.PeerAddr, Zone: seed.AvailabilityZone,
		}, now)
	}
	f.gossip = newGossip(f)
	return f
}

// Run polls the instance list, exchanges states with peers, probes backend
// servers and checks timeouts until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){f.pollList, f.gossip.run, f.timeoutLoop, f.probeLoop} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// pollList reads the instance list at its interval, and less often while reads
// fail.
func (f *Fleet) pollList(ctx context.Context) {
	if f.options.Lister == nil {
		return
	}
	retry := backoff.Backoff{Base: 2 * f.options.ListInterval, Max: maxListBackoffFactor * f.options.ListInterval}
	for ctx.Err() == nil {
		wait := backoff.Jitter(f.options.ListInterval, rand.Float64())
		if err := f.readList(ctx); err == nil {
			retry.Reset()
		} else {
			wait = retry.RecordFailure(rand.Float64())
			f.logger.Warn("instance list unavailable", zap.Int("failures", retry.Failures()), zap.Error(err))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// maxListBackoffFactor bounds the wait between reads during an outage, in list
// intervals, so that the list is current again soon after the platform
// recovers.
const maxListBackoffFactor = 5

// readList reads the list once. A failure changes nothing.
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

// listTimeout bounds one read. It is long because a slow list is better than
// none.
const listTimeout = 3 * time.Second

// timeoutLoop checks timeouts at the peer interval.
func (f *Fleet) timeoutLoop(ctx context.Context) {
	ticker := time.NewTicker(f.options.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.mu.Lock()
			f.state.checkTimeouts(now)
			changes := f.state.takeChanges()
			f.mu.Unlock()
			f.logChanges(changes)
		case <-ctx.Done():
			return
		}
	}
}

// ObserveList applies one read of the instance list.
func (f *Fleet) ObserveList(list api.InstanceList) {
	f.observe(func(now time.Time) bool { return f.state.applyList(list, now) })
}

// ObserveBackend applies what a backend server reported about itself. A leaving
// signal takes effect at once and is sent to every peer without delay.
func (f *Fleet) ObserveBackend(id string, incarnation int64, leaving bool) {
	f.observe(func(now time.Time) bool { return f.state.applyBackendAnswer(id, incarnation, leaving, now) })
}

// ObserveWorker applies a worker's report.
func (f *Fleet) ObserveWorker(report api.WorkerReport) {
	f.observe(func(now time.Time) bool {
		f.state.applyWorkerReport(report, now)
		return false
	})
}

// HandleState applies a peer's state message and returns this instance's own.
func (f *Fleet) HandleState(message *peerpb.State) *peerpb.State {
	f.observe(func(now time.Time) bool { return f.state.applyPeerState(message, now) })
	return f.OwnState()
}

// observe applies an event. If apply reports an urgent change, it is sent to
// the peers at once.
func (f *Fleet) observe(apply func(now time.Time) bool) {
	f.mu.Lock()
	urgent := apply(time.Now())
	changes := f.state.takeChanges()
	f.mu.Unlock()
	f.logChanges(changes)
	if urgent {
		f.gossip.triggerRound()
	}
}

// logChanges logs one line for each change.
func (f *Fleet) logChanges(changes []change) {
	for _, c := range changes {
		f.logger.Info("member", zap.String("subject", c.subject), zap.String("id", c.id),
			zap.Int64("incarnation", c.incarnation), zap.String("from", c.from), zap.String("to", c.to))
	}
}

// Announce sends this instance's current state to every peer at once, for
// example after a change of the configuration or of the placer role.
func (f *Fleet) Announce() { f.gossip.triggerRound() }

// AnnounceLeaving marks this instance as leaving and waits until every live
// peer has been notified or ctx ends. The error then contains the number of
// peers that were not reached.
func (f *Fleet) AnnounceLeaving(ctx context.Context) error {
	f.SetLeaving()
	if f.options.Caller == nil {
		return nil
	}
	peers := f.Instances()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, target := range peers {
		wg.Go(func() {
			if f.gossip.exchange(ctx, target) != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	if failed.Load() > 0 {
		return api.NewError(api.KindNotReady, "%d of %d peers were not told", failed.Load(), len(peers))
	}
	return nil
}

// SetLeaving marks this instance as leaving; the gossip loop notifies the peers
// at once.
func (f *Fleet) SetLeaving() {
	f.mu.Lock()
	f.self.Leaving = true
	f.state.leaving = true
	f.mu.Unlock()
	f.gossip.triggerRound()
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

// Instances implements View. The result includes leaving instances, marked as
// such.
func (f *Fleet) Instances() []model.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.liveInstances(time.Now())
}

// BackendServers implements View. It leaves out servers that are gone, and new
// ones that have not answered a probe yet.
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

// PeerStates returns the latest state message of each peer that has sent one.
func (f *Fleet) PeerStates() map[string]ReceivedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, intervals := time.Now(), f.state.intervals()
	states := make(map[string]ReceivedState, len(f.state.instances))
	for id, entry := range f.state.instances {
		if entry.lastState.State != nil {
			latest := entry.lastState
			latest.Fresh = f.state.hasRecentState(entry, intervals, now)
			states[id] = latest
		}
	}
	return states
}

// Reach returns the numbers of peers of this zone and of the other zones that
// sent a state message recently, and the highest placer epoch received from
// this zone.
func (f *Fleet) Reach() (zonePeers, otherPeers int, epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, intervals := time.Now(), f.state.intervals()
	for _, entry := range f.state.instances {
		sameZone := entry.Zone == f.self.Zone
		if sameZone {
			epoch = max(epoch, entry.lastState.State.GetEpoch())
		}
		switch {
		case !f.state.hasRecentState(entry, intervals, now):
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
// last configuration version received from each, and the times between
// exchanges.
func (f *Fleet) peersAndIntervals() ([]model.Instance, map[string]int64, exchangeIntervals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := make([]model.Instance, 0, len(f.state.instances))
	versions := make(map[string]int64, len(f.state.instances))
	for _, id := range sortedKeys(f.state.instances) {
		entry := f.state.instances[id]
		peers = append(peers, entry.Instance)
		versions[id] = entry.lastState.State.GetConfigVersion()
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

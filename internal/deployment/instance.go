package deployment

import (
	"context"
	"os"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"go.uber.org/zap"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/lifecycle"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Decoder decodes the documents that operators and the platform keep in the store.
type Decoder interface {
	// IsConfiguration reports whether a row of SourceConfiguration is the
	// configuration.
	IsConfiguration(key string) bool
	// DrainedZone returns the availability zone that a row of SourceConfiguration
	// drains for as long as it exists, whatever its value. ok is false for other rows.
	DrainedZone(key string) (zone string, ok bool)
	Configuration(data []byte) (*workload.Configuration, error)
	Worker(id string, data []byte) (workload.Worker, error)
}

// Options holds the dependencies of an instance.
type Options struct {
	Settings *Settings
	Store    workload.Store
	Workers  workload.Workers
	// Advisor is the placement advisor, or nil.
	Advisor workload.Advisor
	Decoder Decoder
	Logger  *zap.Logger
	// Reload reads the settings again. SettingsChanged is called with settings that differ.
	Reload          func() (*Settings, error)
	SettingsChanged func(*Settings)
}

// Servers serve the callers.
type Servers interface {
	// Announce makes responses close their connections.
	Announce()
	// Drain accepts no new requests and waits for those in flight.
	Drain(ctx context.Context) error
	Close()
}

// Instance is one instance of a deployment-wide scheduler.
type Instance struct {
	// settings are the settings at the start; the addresses and names in them do not
	// change.
	settings *Settings
	// liveSettings are the newest settings, which provide seeds and bounds.
	liveSettings atomic.Pointer[Settings]
	options      Options
	logger       *zap.Logger
	decoder      Decoder
	// store reaches the store by any route.
	store *routedStore
	// routedWorkers reaches the workers.
	routedWorkers *routedWorkers
	// relayPool runs the calls to workers that this hub makes for the leader;
	// workerAnswers sends their answers to it.
	relayPool     pond.Pool
	workerAnswers *batcher[*peerpb.WorkerAnswer]
	replica       *replica
	workers       *roster
	drains        *drains
	lease         *lease
	partition     *partitionWatch
	silence       *silenceWatch
	probeRequests chan string
	cancelBudget  *cancelBudget
	rotation      rotation
	// unreadable holds the configuration rows that were logged as undecodable.
	unreadable    unreadableRows
	node          *peer.Node
	peers         *peers
	role          role
	counts        pendingCounts
	peerCalls     pond.Pool
	lifecycle     *lifecycle.Lifecycle
	configuration atomic.Pointer[workload.Configuration]
	configRow     atomic.Pointer[workload.Row]
	configMu      sync.Mutex
	leader        atomic.Pointer[leader]
	stopping      atomic.Bool
	// stopLoops stops the background loops that outlive the lease during a shutdown.
	stopLoops context.CancelFunc
	stopLease context.CancelFunc
	loops     sync.WaitGroup
	leaseLoop sync.WaitGroup
}

// maxPeerCalls bounds the calls to peers in flight, and also those that are queued.
// Further calls are dropped, since the information in each is sent again or arrives by
// another route.
const maxPeerCalls = 128

// peerLimits bounds how long an unresponsive peer can hold calls.
var peerLimits = peer.Limits{DialTimeout: 500 * time.Millisecond, CallTimeout: 2 * time.Second, IOTimeout: time.Second}

// New returns an instance that does nothing until Run.
func New(o Options) *Instance {
	s := o.Settings
	i := &Instance{
		settings:      s,
		options:       o,
		logger:        o.Logger,
		decoder:       o.Decoder,
		replica:       newReplica(o.Logger),
		partition:     newPartitionWatch(),
		silence:       newSilenceWatch(),
		probeRequests: make(chan string, jobParts+1),
		cancelBudget:  newCancelBudget(),
		peers:         newPeers(),
		peerCalls:     pond.NewPool(maxPeerCalls, pond.WithQueueSize(maxPeerCalls), pond.WithNonBlocking(true)),
	}
	i.liveSettings.Store(s)
	i.replica.keepOnlyInstances()
	i.node = peer.New(peer.Options{
		Instance:    s.Listen.Peers,
		Incarnation: time.Now().UnixMilli(),
		Listen:      s.Listen.Peers,
		Handler:     i,
		Logger:      o.Logger,
		Resolve:     func(id string) (string, bool) { return id, true },
		Limits:      peerLimits,
		Inbound:     s.InboundLimits(),
	})
	i.routedWorkers = newRoutedWorkers(o.Workers, i.node, i.relayHubs, maxDirectWorkers(s), o.Logger)
	i.relayPool = pond.NewPool(maxRelayedCalls, pond.WithQueueSize(maxRelayedCalls), pond.WithNonBlocking(true))
	i.workerAnswers = newBatcher(answerBatchLinger, maxAnswersPerMessage, i.sendAnswers)
	i.store = &routedStore{
		attemptTimeout: routeTimeout,
		hedgeDelay:     routeHedgeDelay,
		routeState: &routeState{
			direct:     o.Store,
			caller:     i.node,
			logger:     o.Logger,
			relayPeers: i.storeRelayPeers,
		},
	}
	if !s.Tuning.enabled(mechRouteHedging) {
		i.store.hedgeDelay = routeTimeout
	}
	i.store.onAnswer, i.store.onPartAnswer, i.store.onOverdue = i.markReconnected, i.storeAnsweredAt, i.storeOverdue
	retention := 2 * s.bounds().MaxLease
	i.workers = newRoster(o.Decoder, retention, o.Logger)
	i.drains = newDrains(o.Decoder, o.Logger)
	i.lease = &lease{
		self:            s.Listen.Peers,
		store:           i.store.withAttemptTimeout(leaseRouteTimeout),
		replica:         i.replica,
		logger:          o.Logger,
		eligible:        i.eligible,
		storeStable:     i.store.stableFor,
		holdsLease:      i.peerHoldsLease,
		ping:            i.ping,
		lead:            i.lead,
		cores:           i.cores(),
		tuning:          s.Tuning,
		otherCandidates: i.otherCandidates,
		otherInstances:  i.otherInstances,
		synced:          i.synced,
		quiesce:         i.quiesce,
	}
	i.replica.onChange = i.jobChanged
	i.workers.onChange = i.workersChanged
	return i
}

// eligible reports whether this instance may take the lease: it has the table and the
// configuration, reaches the store, and is not stopping.
func (i *Instance) eligible() bool {
	reachable, _ := i.store.reachable()
	return reachable && i.followsTable() && i.replica.isLoaded() && i.configuration.Load() != nil && !i.stopping.Load()
}

// storeRelayPeers returns the peers that can make store calls for this instance.
func (i *Instance) storeRelayPeers() []string {
	if !i.settings.Tuning.enabled(mechStoreRelays) {
		return nil
	}
	return i.peers.recent(func(v peerView) bool { return v.storeReachable })
}

// relayHubs returns the hubs of a zone that can call its workers for this instance.
func (i *Instance) relayHubs(zone string) []string {
	if !i.settings.Tuning.enabled(mechWorkerRelays) {
		return nil
	}
	return i.peers.recent(func(v peerView) bool { return v.hub && !v.cutOff && v.zone == zone })
}

// cores returns the processor time that this instance may use, in cores.
func (i *Instance) cores() float64 {
	if !i.settings.Tuning.enabled(mechLargerFirst) {
		return 0
	}
	return i.settings.Processor.cores()
}

// otherInstances returns all other instances in the table with their sizes.
func (i *Instance) otherInstances() []peerSize {
	return i.replica.sizes(func(addr string) bool { return addr != i.settings.Listen.Peers })
}

// otherCandidates returns the other hubs that could take the lease now, according to
// their recent hellos.
func (i *Instance) otherCandidates() []peerSize {
	ready := make(map[string]bool)
	for _, addr := range i.peers.recent(func(v peerView) bool { return v.hub && v.storeReachable }) {
		ready[addr] = true
	}
	return i.replica.sizes(func(addr string) bool { return ready[addr] })
}

// synced reports whether this leader could hand over the lease now.
func (i *Instance) synced() bool {
	leader := i.leader.Load()
	return leader != nil && leader.synced.Load()
}

// quiesce waits for the orders and writes of this leader before it gives up the lease.
func (i *Instance) quiesce() {
	if leader := i.leader.Load(); leader != nil {
		leader.quiesce()
	}
}

// jobChanged passes a new job or a cancellation to the core if this instance leads.
func (i *Instance) jobChanged(c change) {
	leader := i.leader.Load()
	if leader == nil || !leader.takesJobs.Load() {
		return
	}
	leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		known, readable := i.replica.jobForLeader(c.job)
		if readable {
			leader.logLateJob(&known, wallMS)
			leader.addJob(&known, now, wallMS)
		}
		if c.cancelled || known.cancelled {
			core.Cancel(c.job, now, wallMS)
		}
	})
}

// tableReloaded applies a whole read of the product's table.
func (i *Instance) tableReloaded(rows []workload.Row, at int64) {
	i.replica.reload(rows, at)
	i.tableAdvanced(at)
}

// tableAdvanced notes that all changes of the product's table up to a version were applied.
func (i *Instance) tableAdvanced(version int64) {
	i.replica.advance(version)
	if leader := i.leader.Load(); leader != nil {
		leader.tableKnown(version)
	}
}

func (i *Instance) workersChanged() {
	if leader := i.leader.Load(); leader != nil {
		leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
			core.WorkersListed(i.listedWorkers(), now, wallMS)
		})
	}
}

// listedWorkers returns the workers that the platform lists, without those of pools
// that the configuration does not name.
func (i *Instance) listedWorkers() []workload.Worker {
	config := i.configuration.Load()
	list := slices.DeleteFunc(i.workers.list(), func(w workload.Worker) bool { return config != nil && !config.HasPool(w.Pool) })
	i.routedWorkers.setWorkerCount(len(list))
	return list
}

// Ready reports whether this instance should receive callers.
func (i *Instance) Ready() bool {
	if i.stopping.Load() || i.configuration.Load() == nil {
		return false
	}
	// Callers of a cut-off instance are served better elsewhere. If all instances have
	// lost the store, moving callers does not help.
	return !i.partition.isCutOff()
}

// CheckReady answers a readiness check of the balancer and records the answer.
func (i *Instance) CheckReady() bool {
	ready := i.Ready()
	i.rotation.recordCheck(ready, bootTime())
	return ready
}

// Run serves callers with serve until a signal arrives, then shuts down gracefully.
func (i *Instance) Run(serve func(*Instance) (Servers, error), signals <-chan os.Signal) error {
	started := time.Now()
	if err := i.node.Start(); err != nil {
		return err
	}
	servers, err := serve(i)
	if err != nil {
		return err
	}
	i.lifecycle = lifecycle.New(lifecycle.Options{
		StopTimeout: time.Duration(i.settings.StopWithinMS) * time.Millisecond, Linger: stopLinger, Logger: i.logger,
		Announce: func(context.Context) error { servers.Announce(); return nil },
		HandOver: i.handOver,
		Drain:    servers.Drain,
		Close:    func(context.Context) error { i.close(servers); return nil },
	})
	limitMemory(i.settings)
	i.startLoops()
	i.logger.Info("started", zap.Duration("took", time.Since(started)), zap.Int("pid", os.Getpid()))
	i.awaitStop(signals)
	i.stopping.Store(true)
	return i.lifecycle.Stop()
}

// awaitStop returns at the first signal to stop. SIGHUP, or a change of the file
// without a signal, reloads the settings.
func (i *Instance) awaitStop(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case signal := <-signals:
			i.logger.Info("signal", zap.Stringer("signal", signal))
			if signal != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
		}
		i.reload()
	}
}

// settingsPollInterval is the interval at which the settings file is polled.
const settingsPollInterval = 1 * time.Second

// reload puts changed settings in force. Invalid settings change nothing.
func (i *Instance) reload() {
	if i.options.Reload == nil {
		return
	}
	settings, err := i.options.Reload()
	if err != nil {
		i.logger.Error("settings not taken", zap.Error(err))
		return
	}
	if reflect.DeepEqual(settings, i.liveSettings.Load()) {
		return
	}
	i.liveSettings.Store(settings)
	if i.options.SettingsChanged != nil {
		i.options.SettingsChanged(settings)
	}
	i.logger.Info("settings in force", zap.String("store", settings.Store), zap.Strings("seeds", settings.Seeds))
}

// stopLinger is the time for which a stopping instance still answers calls after it is
// no longer ready: long enough for a balancer that checks once a second and removes an
// instance after two failed checks.
const stopLinger = 2200 * time.Millisecond

func (i *Instance) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	i.stopLoops = cancel
	start := func(run func(context.Context)) {
		i.loops.Add(1)
		go func() {
			defer i.loops.Done()
			run(ctx)
		}()
	}
	ownTable := &follower{
		store:         i.store,
		source:        workload.SourceOwn,
		logger:        i.logger,
		reload:        i.tableReloaded,
		apply:         i.replica.applyFeed,
		advanced:      i.tableAdvanced,
		gap:           i.tableGap,
		wanted:        i.followsTable,
		whileUnwanted: i.dropTable,
	}
	operatorTable := &follower{
		store:         i.store,
		source:        workload.SourceConfiguration,
		logger:        i.logger,
		apply:         i.applyOperatorRows,
		gap:           func() time.Duration { return configurationGap },
		wanted:        i.readsConfiguration,
		whileUnwanted: func() {},
		reload:        i.applyOperatorTable,
		confirm:       i.drains.confirm,
	}
	start(ownTable.run)
	start(operatorTable.run)
	start(i.listInstances)
	start(i.watchRole)
	start(i.rereadConfiguration)
	if i.settings.Tuning.enabled(mechEarlyReplacement) {
		start(i.lease.watchLeader)
	}
	start(i.register)
	start(i.gossip)
	start(i.watchBusyLoop)
	if i.settings.Tuning.enabled(mechPartitionWatch) {
		start(i.watchPartition)
	}
	if i.settings.Tuning.enabled(mechSilenceWatch) {
		start(i.watchSilence)
	}
	leaseCtx, stopLease := context.WithCancel(ctx)
	i.stopLease = stopLease
	i.leaseLoop.Add(1)
	go func() {
		defer i.leaseLoop.Done()
		i.lease.run(leaseCtx)
	}()
	i.registerMetrics()
	i.registerDrainMetrics()
}

// tableGap returns the pause after changes of the product's table.
func (i *Instance) tableGap() time.Duration {
	if !i.settings.Tuning.enabled(mechRankedTableGap) {
		return tableGap(i.lease.current() != nil, 0)
	}
	return tableGap(i.lease.current() != nil, rankAmong(i.lease.size(), i.otherCandidates()))
}

// registerRetryPause is the pause between two attempts to register.
const registerRetryPause = 500 * time.Millisecond

// register writes the row by which other instances find this one.
func (i *Instance) register(ctx context.Context) {
	key := instancePrefix + i.settings.Listen.Peers
	row := workload.Row{Key: key, Value: encode(instanceRow{Name: i.settings.Instance, Zone: i.settings.AvailabilityZone, Cores: i.cores()})}
	for ctx.Err() == nil {
		written, err := i.store.Write(ctx, workload.Write{Put: []workload.Row{row}})
		if err == nil {
			row.Version = written.Version
			i.replica.apply([]workload.Row{row})
			return
		}
		i.logger.Debug("registering failed", zap.Error(err))
		pause(ctx, registerRetryPause)
	}
}

// handOver gives up the lease, so that another instance leads while requests finish
// here.
func (i *Instance) handOver(context.Context) error {
	i.stopLease()
	i.leaseLoop.Wait()
	return nil
}

func (i *Instance) close(servers Servers) {
	i.stopLoops()
	servers.Close()
	i.node.Close()
	i.loops.Wait()
	i.peerCalls.Stop()
	i.relayPool.Stop()
}

func (i *Instance) registerMetrics() {
	gauge := func(name string, value func() float64) { metrics.GetOrCreateGauge(name, value) }
	gauge("corianderbank_deployment_config_version", func() float64 { return float64(i.configVersion()) })
	gauge("corianderbank_deployment_epoch", func() float64 {
		if g := i.lease.current(); g != nil {
			return float64(g.epoch)
		}
		return 0
	})
	gauge("corianderbank_deployment_store_reachable", func() float64 {
		if _, directly := i.store.reachable(); directly {
			return 1
		}
		return 0
	})
}

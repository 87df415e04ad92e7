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

// Decoder reads the documents that others keep in the store.
type Decoder interface {
	// IsConfiguration reports whether a row of SourceConfiguration is the
	// configuration.
	IsConfiguration(key string) bool
	// DrainedZone returns the availability zone that a row of SourceConfiguration
	// drains for as long as it exists, whatever its value; false for other rows.
	DrainedZone(key string) (zone string, names bool)
	Configuration(data []byte) (*workload.Configuration, error)
	Worker(id string, data []byte) (workload.Worker, error)
}

// Options are what an instance needs.
type Options struct {
	Settings *Settings
	Store    workload.Store
	Workers  workload.Workers
	// Advisor is the placement advisor, or nil.
	Advisor workload.Advisor
	Decoder Decoder
	Logger  *zap.Logger
	// Reload reads the settings again. Changed is told of new ones.
	Reload  func() (*Settings, error)
	Changed func(*Settings)
}

// Servers is what takes callers.
type Servers interface {
	// Announce makes answers close their connections.
	Announce()
	// Drain takes nothing new and waits for the requests in flight.
	Drain(ctx context.Context) error
	Close()
}

// Instance is one instance of a deployment-wide scheduler.
type Instance struct {
	// settings are those of the start; its addresses and names stay.
	settings *Settings
	// live are the newest ones: seeds and bounds are taken from here.
	live    atomic.Pointer[Settings]
	options Options
	logger  *zap.Logger
	decoder Decoder
	// store is the store by any path.
	store *reach
	// workerReach is the way to the workers.
	workerReach *workerReach
	// relayed runs the calls to workers that this hub makes for the leader, and answers
	// takes what became of them to it.
	relayed  pond.Pool
	answers  *batcher[*peerpb.WorkerAnswer]
	replica  *replica
	workers  *roster
	drains   *drains
	lease    *lease
	cut      *cutWatch
	rotation rotation
	// unread are the configuration's rows of which a line said that they cannot be read.
	unread        unreadRows
	node          *peer.Node
	peers         *peers
	role          role
	counts        pendingCounts
	calls         pond.Pool
	life          *lifecycle.Life
	configuration atomic.Pointer[workload.Configuration]
	configRow     atomic.Pointer[workload.Row]
	configMu      sync.Mutex
	leader        atomic.Pointer[leader]
	stopping      atomic.Bool
	// background ends the duties that outlive the lease at a stop.
	background context.CancelFunc
	leaseOver  context.CancelFunc
	duties     sync.WaitGroup
	leaseDuty  sync.WaitGroup
}

// callsAtOnce bounds the calls to peers under way; more are dropped, because
// each carries news that comes again.
const callsAtOnce = 128

// peerLimits keeps a peer that went silent from holding calls for long.
var peerLimits = peer.Limits{DialTimeout: 500 * time.Millisecond, CallTimeout: 2 * time.Second, IOTimeout: time.Second}

// New returns an instance that does nothing until Run.
func New(o Options) *Instance {
	s := o.Settings
	i := &Instance{
		settings: s,
		options:  o,
		logger:   o.Logger,
		decoder:  o.Decoder,
		replica:  newReplica(o.Logger),
		cut:      newCutWatch(),
		peers:    newPeers(),
		calls:    pond.NewPool(callsAtOnce, pond.WithQueueSize(callsAtOnce), pond.WithNonBlocking(true)),
	}
	i.live.Store(s)
	i.replica.keepInstances()
	i.node = peer.New(peer.Options{
		Instance:    s.Listen.Peers,
		Incarnation: time.Now().UnixMilli(),
		Listen:      s.Listen.Peers,
		Handler:     i,
		Logger:      o.Logger,
		Resolve:     func(id string) (string, bool) { return id, true },
		Limits:      peerLimits,
	})
	i.workerReach = newWorkerReach(o.Workers, i.node, i.hubsToRelay, ownWorkers(s), o.Logger)
	i.relayed = pond.NewPool(relayedAtOnce, pond.WithQueueSize(relayedAtOnce), pond.WithNonBlocking(true))
	i.answers = newBatcher(answersLinger, answersAtOnceMost, i.sendAnswers)
	i.store = &reach{
		limit:    pathTimeout,
		patience: pathPatience,
		reachState: &reachState{
			direct:  o.Store,
			caller:  i.node,
			logger:  o.Logger,
			helpers: i.helpers,
		},
	}
	if !s.Tuning.has(mechOvertaking) {
		i.store.patience = pathTimeout
	}
	i.store.answered = i.reconnected
	kept := 2 * s.bounds().LongestLease
	i.workers = newRoster(o.Decoder, kept, o.Logger)
	i.drains = newDrains(o.Decoder, o.Logger)
	i.lease = &lease{
		self:     s.Listen.Peers,
		store:    i.store.within(leasePathTimeout),
		replica:  i.replica,
		logger:   o.Logger,
		eligible: i.eligible,
		steady:   i.store.steady,
		holds:    i.leads,
		pings:    i.ping,
		lead:     i.lead,
		cores:    i.cores(),
		tuning:   s.Tuning,
		rivals:   i.rivals,
		known:    i.otherInstances,
		synced:   i.synced,
		finish:   i.finish,
	}
	i.replica.changed = i.jobChanged
	i.workers.changed = i.workersChanged
	return i
}

// eligible reports whether this instance may take the lease: it knows the
// table, the configuration and the workers, reaches the store, and stays.
func (i *Instance) eligible() bool {
	reachable, _ := i.store.reachable()
	return reachable && i.follows() && i.replica.isLoaded() && i.configuration.Load() != nil && !i.stopping.Load()
}

// helpers are the peers that can make store calls for this instance.
func (i *Instance) helpers() []string {
	if !i.settings.Tuning.has(mechPeerPaths) {
		return nil
	}
	return i.peers.fresh(func(v peerView) bool { return v.storeReachable })
}

// hubsToRelay are the hubs of a zone that can make calls to its workers for this
// instance.
func (i *Instance) hubsToRelay(zone string) []string {
	if !i.settings.Tuning.has(mechWorkerRelays) {
		return nil
	}
	return i.peers.fresh(func(v peerView) bool { return v.hub && !v.cutOff && v.zone == zone })
}

// cores is what this instance may use of the processor.
func (i *Instance) cores() float64 {
	if !i.settings.Tuning.has(mechLargerFirst) {
		return 0
	}
	return i.settings.Processor.cores()
}

// otherInstances are all others in the table, with their sizes.
func (i *Instance) otherInstances() []peerSize {
	return i.replica.sizes(func(addr string) bool { return addr != i.settings.Listen.Peers })
}

// rivals are the other hubs that could take the lease now, as far as they said lately.
func (i *Instance) rivals() []peerSize {
	ready := make(map[string]bool)
	for _, addr := range i.peers.fresh(func(v peerView) bool { return v.hub && v.storeReachable }) {
		ready[addr] = true
	}
	return i.replica.sizes(func(addr string) bool { return ready[addr] })
}

// synced reports whether this leader could hand the lease on now.
func (i *Instance) synced() bool {
	leader := i.leader.Load()
	return leader != nil && leader.synced.Load()
}

// finish lets the orders and writes of this leader end before it gives up the lease.
func (i *Instance) finish() {
	if leader := i.leader.Load(); leader != nil {
		leader.finish()
	}
}

// jobChanged tells the core, if this instance leads, of a new job or cancel.
func (i *Instance) jobChanged(c change) {
	leader := i.leader.Load()
	known, ok := i.replica.get(c.job)
	if leader == nil || !ok || known.unread {
		return
	}
	leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		core.AddJob(known.job, known.record, known.cancelled, now, wallMS)
		if known.cancelled {
			core.Cancel(c.job, now, wallMS)
		}
	})
}

func (i *Instance) workersChanged() {
	if leader := i.leader.Load(); leader != nil {
		leader.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
			core.Listed(i.listedWorkers(), now, wallMS)
		})
	}
}

// listedWorkers are the workers that the platform lists, of pools that the
// configuration names.
func (i *Instance) listedWorkers() []workload.Worker {
	config := i.configuration.Load()
	list := slices.DeleteFunc(i.workers.list(), func(w workload.Worker) bool { return config != nil && !config.HasPool(w.Pool) })
	i.workerReach.setWorkers(len(list))
	return list
}

// Ready reports whether callers should come here.
func (i *Instance) Ready() bool {
	if i.stopping.Load() || i.configuration.Load() == nil {
		return false
	}
	// Cut off, callers are served better elsewhere. When the store is away for all
	// instances, nobody is better off elsewhere.
	return !i.cut.cut()
}

// CheckReady answers a check of the balancer.
func (i *Instance) CheckReady() bool {
	ready := i.Ready()
	i.rotation.checked(ready, bootTime())
	return ready
}

// Run starts to take callers by serve and runs until a signal, then shuts down
// gracefully.
func (i *Instance) Run(serve func(*Instance) (Servers, error), signals <-chan os.Signal) error {
	started := time.Now()
	if err := i.node.Start(); err != nil {
		return err
	}
	servers, err := serve(i)
	if err != nil {
		return err
	}
	i.life = lifecycle.New(lifecycle.Options{
		StopWithin: time.Duration(i.settings.StopWithinMS) * time.Millisecond, Linger: stopLinger, Logger: i.logger,
		Announce: func(context.Context) error { servers.Announce(); return nil },
		HandOver: i.handOver,
		Drain:    servers.Drain,
		Close:    func(context.Context) error { i.close(servers); return nil },
	})
	i.startDuties()
	i.logger.Info("started", zap.Duration("took", time.Since(started)), zap.Int("pid", os.Getpid()))
	i.awaitStop(signals)
	i.stopping.Store(true)
	return i.life.Stop()
}

// awaitStop returns at the first signal to stop. SIGHUP, and a file that
// changed without one, make new settings take effect.
func (i *Instance) awaitStop(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsEvery)
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

// settingsEvery is how often the settings file is polled.
const settingsEvery = 1 * time.Second

// reload puts changed settings in force. Settings with problems change nothing.
func (i *Instance) reload() {
	if i.options.Reload == nil {
		return
	}
	settings, err := i.options.Reload()
	if err != nil {
		i.logger.Error("settings not taken", zap.Error(err))
		return
	}
	if reflect.DeepEqual(settings, i.live.Load()) {
		return
	}
	i.live.Store(settings)
	if i.options.Changed != nil {
		i.options.Changed(settings)
	}
	i.logger.Info("settings in force", zap.String("store", settings.Store), zap.Strings("seeds", settings.Seeds))
}

// stopLinger covers a balancer that looks once a second and takes an instance
// out after two misses.
const stopLinger = 2200 * time.Millisecond

func (i *Instance) startDuties() {
	ctx, cancel := context.WithCancel(context.Background())
	i.background = cancel
	duty := func(run func(context.Context)) {
		i.duties.Add(1)
		go func() {
			defer i.duties.Done()
			run(ctx)
		}()
	}
	own := &follower{
		store:   i.store,
		source:  workload.SourceOwn,
		logger:  i.logger,
		whole:   i.replica.reload,
		changes: i.replica.apply,
		gap:     i.tableGap,
		wanted:  i.follows,
		idle:    i.forgetTable,
	}
	config := &follower{
		store:   i.store,
		source:  workload.SourceConfiguration,
		logger:  i.logger,
		changes: i.takeOperatorRows,
		gap:     func() time.Duration { return configurationGap },
		wanted:  i.readsConfiguration,
		idle:    func() {},
		whole:   i.takeOperatorTable,
		heard:   i.drains.confirm,
	}
	duty(own.run)
	duty(config.run)
	duty(i.listInstances)
	duty(i.watchRole)
	duty(i.rereadConfiguration)
	if i.settings.Tuning.has(mechEarlyReplacement) {
		duty(i.lease.watchLeader)
	}
	duty(i.register)
	duty(i.gossip)
	duty(i.watchBusyLoop)
	if i.settings.Tuning.has(mechCutWatch) {
		duty(i.watchCut)
	}
	leasing, over := context.WithCancel(ctx)
	i.leaseOver = over
	i.leaseDuty.Add(1)
	go func() {
		defer i.leaseDuty.Done()
		i.lease.run(leasing)
	}()
	i.registerMetrics()
	i.registerDrainMetrics()
}

// tableGap is the pause after changes of the product's table.
func (i *Instance) tableGap() time.Duration {
	if !i.settings.Tuning.has(mechSeldomReads) {
		return tableGap(i.lease.current() != nil, 0)
	}
	return tableGap(i.lease.current() != nil, placeAmong(i.lease.size(), i.rivals()))
}

// registerPause is the pause between two tries to register.
const registerPause = 500 * time.Millisecond

// register writes this instance's row, by which the others find it.
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
		pause(ctx, registerPause)
	}
}

// handOver gives the lease up, so that another instance schedules while
// requests finish here.
func (i *Instance) handOver(context.Context) error {
	i.leaseOver()
	i.leaseDuty.Wait()
	return nil
}

func (i *Instance) close(servers Servers) {
	i.background()
	servers.Close()
	i.node.Close()
	i.duties.Wait()
	i.calls.Stop()
	i.relayed.Stop()
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

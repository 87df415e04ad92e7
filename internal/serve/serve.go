// Package serve assembles the components of an entry instance and runs them.
package serve

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backend"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/entry"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/inbound"
	"github.com/corianderbank/corianderbank/internal/jobs"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/lifecycle"
	"github.com/corianderbank/corianderbank/internal/logging"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/worker"
)

// maxRecordedSubjects limits the requests and jobs that can be explained, and
// thereby the memory for their decisions.
const maxRecordedSubjects = 20000

// instance holds the components of an entry instance.
type instance struct {
	settings  *settings.Settings
	logger    *zap.Logger
	platform  *platform.Client
	config    *config.Manager
	recorder  *decision.Recorder
	fleet     *membership.Fleet
	node      *peer.Node
	placer    *placer.Placer
	jobs      *jobs.Router
	claims    *claim.Store
	executor  *request.Executor
	dispatch  *request.Dispatcher
	server    *entry.Server
	lifecycle *lifecycle.Lifecycle
}

// Run runs an entry instance with the settings of a file until SIGTERM or SIGINT,
// then shuts it down gracefully.
func Run(file string) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stdout, loaded.LogLevel, loaded.Instance, loaded.AvailabilityZone)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(inbound.CollectorLimit(loaded.Limits.MemoryMB))
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	return build(loaded, logger).run(stop)
}

func build(s *settings.Settings, logger *zap.Logger) *instance {
	client := platform.NewClient(s.Platform)
	i := &instance{
		settings: s, logger: logger, platform: client,
		recorder: decision.NewRecorder(logger, s.Instance, maxRecordedSubjects),
	}
	i.config = config.NewManager(config.Options{Tables: client, Objects: client, Check: i.checkConfig, Logger: logger})
	incarnation := time.Now().UnixMilli()
	i.node = peer.New(peer.Options{
		Instance: s.Instance, Incarnation: incarnation, Listen: s.PeerListen,
		Inbound: inboundLimits(s), Handler: peerHandler{i}, Logger: logger, Resolve: func(id string) (string, bool) { return i.fleet.Resolve(id) },
	})
	i.fleet = membership.New(membership.Options{
		Self:  model.Instance{ID: s.Instance, Addr: s.Listen, PeerAddr: s.PeerListen, Zone: s.AvailabilityZone, Incarnation: incarnation},
		Seeds: s.Peers, Lister: client, Caller: i.node, Local: i.localState, Logger: logger,
		Prober:       membership.NewHTTPProber(),
		PeerInterval: settings.Milliseconds(s.Timing.PeerIntervalMS), ListInterval: settings.Milliseconds(s.Timing.ListPollMS),
	})
	i.buildExecution(incarnation)
	i.server = entry.New(entry.Options{
		Settings: s, Requests: i.executor, Jobs: i.jobs, Fleet: fleetView{i}, Config: i.config, Logger: logger, Ready: i.ready, Metrics: i.writeMetrics, Inbound: inboundLimits(s),
	})
	i.lifecycle = i.newLifecycle()
	return i
}

// buildExecution creates the components that run requests and jobs.
func (i *instance) buildExecution(incarnation int64) {
	s := i.settings
	store := jobstore.New(i.platform)
	i.placer = placer.New(placer.Options{
		Zone: s.AvailabilityZone, Instance: s.Instance, Config: i.config, Fleet: i.fleet, Jobs: store,
		Holder:  fmt.Sprintf("%s/%d", s.Instance, i.fleet.Self().Incarnation),
		Leases:  lease.New(i.platform, settings.Milliseconds(s.Timing.PlacerLeaseMS)),
		Workers: worker.NewHTTP(), RunTimes: estimate.NewHistory(), Health: quarantine.NewTracker(),
		Recorder: i.recorder, Logger: i.logger,
		PlacerLease: settings.Milliseconds(s.Timing.PlacerLeaseMS), WorkerLease: settings.Milliseconds(s.Timing.WorkerLeaseMS),
		Interval: settings.Milliseconds(s.Timing.PlaceIntervalMS), MaxJobs: s.Limits.MaxJobs, MayPlace: i.mayPlace,
	})
	i.jobs = &jobs.Router{
		Zone: s.AvailabilityZone, Placer: i.placer, Peers: zonePeers{i}, Caller: i.node, Store: store, Evaluate: i.evaluateJob,
	}
	i.dispatch = request.NewDispatcher(request.DispatcherOptions{
		Zone: s.AvailabilityZone, Instance: s.Instance, Incarnation: incarnation, Fleet: i.fleet, Caller: i.node,
		Config: i.config, Recorder: i.recorder, Logger: i.logger, MaxRequests: s.Limits.MaxRequests,
		Seed: uint64(incarnation),
	})
	i.claims = claim.New(i.platform)
	i.executor = &request.Executor{
		Zone: s.AvailabilityZone, Instance: s.Instance, Config: i.config, Fleet: i.fleet,
		Claims: i.claims, Backend: backend.NewClient(s.Limits.MaxBackendConnections, i.fleet.ObserveBackend),
		Recorder: i.recorder, PlatformReachable: i.platform.Reachable,
		Dispatcher: i.dispatch, Caller: i.node, MaxConcurrentAttempts: s.Limits.MaxRequests,
	}
}

// run starts the servers and background loops, and stops them after the shutdown
// that a signal has triggered.
func (i *instance) run(signals <-chan os.Signal) error {
	listener, err := inbound.Listen(i.settings.Listen, inbound.CallerReceiveBytes)
	if err != nil {
		return err
	}
	if err := i.node.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { i.fleet.Run(ctx) })
	loops.Go(func() { i.config.Run(ctx, settings.Milliseconds(i.settings.Timing.ConfigPollMS)) })
	loops.Go(func() { i.syncConfigFromPeers(ctx) })
	loops.Go(func() { i.placer.Run(ctx) })
	loops.Go(func() { i.dispatch.Run(ctx) })
	loops.Go(func() { i.claims.Run(ctx) })
	loops.Go(func() { i.updateStoreShare(ctx) })
	served := make(chan error, 1)
	go func() { served <- i.server.Serve(listener) }()
	i.logger.Info("started", zap.String("listen", i.settings.Listen), zap.String("peer_listen", i.settings.PeerListen))

	stopped := make(chan error, 1)
	go func() { stopped <- i.lifecycle.StopOnSignal(signals) }()
	err = <-stopped
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	cancel()
	loops.Wait()
	i.node.Close()
	i.platform.Close()
	i.logger.Info("stopped", zap.Error(err))
	return err
}

// newLifecycle defines the steps of a graceful shutdown; package lifecycle
// determines their order.
func (i *instance) newLifecycle() *lifecycle.Lifecycle {
	return lifecycle.New(lifecycle.Options{
		Logger:      i.logger,
		StopTimeout: settings.Milliseconds(i.settings.Timing.StopWithinMS),
		Announce:    i.fleet.AnnounceLeaving,
		HandOver: func(ctx context.Context) error {
			i.placer.Leave(ctx)
			return nil
		},
		Drain: func(ctx context.Context) error {
			err := errors.Join(i.server.Shutdown(ctx), i.node.Drain(ctx), i.executor.Drain(ctx))
			i.recordClaimOutcomes(ctx)
			return err
		},
	})
}

// ready returns nil if the instance accepts work, otherwise the error with which
// it refuses. The first call with a configuration and slots of backend servers
// changes the state of the lifecycle to ready.
func (i *instance) ready() error {
	refusal := i.lifecycle.Refusal()
	if refusal == nil {
		return checkGoroutineLimit(i.settings.Limits.MaxGoroutines)
	}
	if !api.IsKind(refusal, api.KindNotReady) {
		return refusal
	}
	if i.config.Current() == nil {
		return api.NewError(api.KindNotReady, "instance %s has no configuration yet", i.settings.Instance)
	}
	if !i.dispatch.WarmedUp() {
		return api.NewError(api.KindNotReady, "instance %s has no slots of backend servers yet", i.settings.Instance)
	}
	i.lifecycle.Configured()
	return nil
}

// Command standin runs a stand-in for the platform, a backend server or a worker,
// or sends work through entry instances and checks the results. It is used by the
// demo and the tests and is not shipped.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/logging"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// memberOptions holds the command-line options that backend servers and workers
// share.
type memberOptions struct {
	listen, id, zone, platform, advertise string
	// leaveGracePeriod is the time between announcing that the member leaves and
	// stopping it.
	leaveGracePeriod time.Duration
}

func (m *memberOptions) registerFlags(command *kingpin.CmdClause) {
	command.Flag("listen", "IP number and port to listen on.").Required().StringVar(&m.listen)
	command.Flag("id", "Id, unique among the fleet.").Required().StringVar(&m.id)
	command.Flag("zone", "Availability zone.").Required().StringVar(&m.zone)
	command.Flag("platform", "IP number and port of the platform.").Required().StringVar(&m.platform)
	command.Flag("advertise", "IP number and port to announce, if another than the one listened on.").StringVar(&m.advertise)
	command.Flag("grace", "Time between saying that it leaves and stopping.").Default("0s").DurationVar(&m.leaveGracePeriod)
}

func main() {
	app := kingpin.New("standin", "Stand-ins for what surrounds corianderbank; for demos and tests only.")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	addPlatform(ctx, app)
	addBackend(ctx, app)
	addWorker(ctx, app)
	addDrive(ctx, app)
	addPorts(app)
	addWait(ctx, app)
	addListening(ctx, app)
	addSettle(ctx, app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func addPlatform(ctx context.Context, app *kingpin.Application) {
	command := app.Command("platform", "Run the platform's tables, objects and instance list.")
	listen := command.Flag("listen", "IP number and port to listen on.").Required().String()
	ttl := command.Flag("list-ttl", "Time an instance stays listed without an announcement.").Default(standin.DefaultListTTL.String()).Duration()
	command.Action(func(*kingpin.ParseContext) error {
		logger, listener, err := newLoggerAndListener("platform", "", *listen)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, listener, standin.NewPlatform(*ttl).Handler(), logger, func() {}, time.Second)
	})
}

func addBackend(ctx context.Context, app *kingpin.Application) {
	var m memberOptions
	command := app.Command("backend", "Run a backend server.")
	m.registerFlags(command)
	slots := command.Flag("slots", "Requests that run at the same time.").Default(fmt.Sprint(standin.DefaultSlots)).Int()
	connections := command.Flag("connections", "Open connections at the same time.").Default(fmt.Sprint(standin.DefaultMaxConnections)).Int()
	command.Action(func(*kingpin.ParseContext) error {
		logger, listener, err := newLoggerAndListener(m.id, m.zone, m.listen)
		if err != nil {
			return err
		}
		incarnation := time.Now().UnixMilli()
		announcer := m.newAnnouncer(api.RoleBackendServer, listener.Addr(), incarnation, logger)
		backend := standin.NewBackend(m.id, incarnation, *slots, announcer.SetLeaving)
		limited := standin.LimitConnections(listener, *connections)
		return m.announceWhile(ctx, announcer, func() error {
			return standin.Serve(ctx, limited, backend.Handler(), logger, m.leaveFunc(backend.Leave), stopGracePeriod)
		})
	})
}

func addWorker(ctx context.Context, app *kingpin.Application) {
	var m memberOptions
	command := app.Command("worker", "Run a worker.")
	m.registerFlags(command)
	rack := command.Flag("rack", "Rack.").Required().String()
	accelerators := command.Flag("accelerators", "Number of accelerators.").Default("8").Int()
	command.Action(func(*kingpin.ParseContext) error {
		logger, listener, err := newLoggerAndListener(m.id, m.zone, m.listen)
		if err != nil {
			return err
		}
		config := standin.WorkerConfig{ID: m.id, Zone: m.zone, Rack: *rack, Incarnation: time.Now().UnixMilli(), Accelerators: *accelerators}
		announcer := m.newAnnouncer(api.RoleWorker, listener.Addr(), config.Incarnation, logger)
		worker := standin.NewWorker(config, standin.NewObjectCheckpointStore(m.platform), announcer.SetLeaving)
		return m.announceWhile(ctx, announcer, func() error {
			return standin.Serve(ctx, listener, worker.Handler(), logger, m.leaveFunc(worker.Leave), stopGracePeriod)
		})
	})
}

// stopGracePeriod is the longest wait for calls in flight when stopping.
const stopGracePeriod = 30 * time.Second

func (m *memberOptions) newAnnouncer(role api.Role, addr net.Addr, incarnation int64, logger *zap.Logger) *standin.Announcer {
	addrToAnnounce := m.advertise
	if addrToAnnounce == "" {
		addrToAnnounce = addr.String()
	}
	listed := api.ListedInstance{ID: m.id, Role: role, Addr: addrToAnnounce, AvailabilityZone: m.zone, Incarnation: incarnation}
	return standin.NewAnnouncer(m.platform, listed, logger)
}

// leaveFunc returns the function that is called first when the member stops. It
// announces that the member leaves and waits for leaveGracePeriod.
func (m *memberOptions) leaveFunc(leave func()) func() {
	return func() {
		leave()
		time.Sleep(m.leaveGracePeriod)
	}
}

// announceWhile announces the member until ctx ends, and runs serve. If ctx has
// ended when serve returns, it removes the member from the instance list.
func (m *memberOptions) announceWhile(ctx context.Context, announcer *standin.Announcer, serve func() error) error {
	announcerDone := make(chan struct{})
	go func() {
		defer close(announcerDone)
		announcer.Run(ctx)
	}()
	err := serve()
	if ctx.Err() != nil {
		<-announcerDone
		announcer.Remove()
	}
	return err
}

// newLoggerAndListener returns the logger of a stand-in and a listener on the
// address listen.
func newLoggerAndListener(id, zone, listen string) (*zap.Logger, net.Listener, error) {
	logger, err := logging.New(os.Stderr, "info", id, zone)
	if err != nil {
		return nil, nil, err
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return nil, nil, fmt.Errorf("--listen is not an IP number and port: %s", listen)
	}
	listener, err := net.Listen("tcp", listen)
	return logger, listener, err
}

// Command standin runs one stand-in for the platform, a backend server or a
// worker, or drives a run of work through entry instances and checks what
// became of it. It serves the demo and the tests and is not shipped.
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

// member holds the flags that backend servers and workers share.
type member struct {
	listen, id, zone, platform, advertise string
	grace                                 time.Duration
}

func (m *member) flags(command *kingpin.CmdClause) {
	command.Flag("listen", "IP number and port to listen on.").Required().StringVar(&m.listen)
	command.Flag("id", "Id, unique among the fleet.").Required().StringVar(&m.id)
	command.Flag("zone", "Availability zone.").Required().StringVar(&m.zone)
	command.Flag("platform", "IP number and port of the platform.").Required().StringVar(&m.platform)
	command.Flag("advertise", "IP number and port to announce, if another than the one listened on.").StringVar(&m.advertise)
	command.Flag("grace", "Time between saying that it leaves and stopping.").Default("0s").DurationVar(&m.grace)
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
		logger, listener, err := open("platform", "", *listen)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, listener, standin.NewPlatform(*ttl).Handler(), logger, func() {}, time.Second)
	})
}

func addBackend(ctx context.Context, app *kingpin.Application) {
	var m member
	command := app.Command("backend", "Run a backend server.")
	m.flags(command)
	slots := command.Flag("slots", "Requests that run at the same time.").Default(fmt.Sprint(standin.DefaultSlots)).Int()
	connections := command.Flag("connections", "Open connections at the same time.").Default(fmt.Sprint(standin.DefaultMaxConnections)).Int()
	command.Action(func(*kingpin.ParseContext) error {
		logger, listener, err := open(m.id, m.zone, m.listen)
		if err != nil {
			return err
		}
		incarnation := time.Now().UnixMilli()
		announcer := m.announcer(api.RoleBackendServer, listener.Addr(), incarnation, logger)
		backend := standin.NewBackend(m.id, incarnation, *slots, announcer.SetLeaving)
		limited := standin.LimitConnections(listener, *connections)
		return m.run(ctx, announcer, func() error {
			return standin.Serve(ctx, limited, backend.Handler(), logger, m.leaving(backend.Leave), stopGrace)
		})
	})
}

func addWorker(ctx context.Context, app *kingpin.Application) {
	var m member
	command := app.Command("worker", "Run a worker.")
	m.flags(command)
	rack := command.Flag("rack", "Rack.").Required().String()
	accelerators := command.Flag("accelerators", "Number of accelerators.").Default("8").Int()
	command.Action(func(*kingpin.ParseContext) error {
		logger, listener, err := open(m.id, m.zone, m.listen)
		if err != nil {
			return err
		}
		config := standin.WorkerConfig{ID: m.id, Zone: m.zone, Rack: *rack, Incarnation: time.Now().UnixMilli(), Accelerators: *accelerators}
		announcer := m.announcer(api.RoleWorker, listener.Addr(), config.Incarnation, logger)
		worker := standin.NewWorker(config, standin.NewObjectCheckpoints(m.platform), announcer.SetLeaving)
		return m.run(ctx, announcer, func() error {
			return standin.Serve(ctx, listener, worker.Handler(), logger, m.leaving(worker.Leave), stopGrace)
		})
	})
}

// stopGrace bounds the wait for calls in flight at a stop.
const stopGrace = 30 * time.Second

func (m *member) announcer(role api.Role, addr net.Addr, incarnation int64, logger *zap.Logger) *standin.Announcer {
	announced := m.advertise
	if announced == "" {
		announced = addr.String()
	}
	listed := api.ListedInstance{ID: m.id, Role: role, Addr: announced, AvailabilityZone: m.zone, Incarnation: incarnation}
	return standin.NewAnnouncer(m.platform, listed, logger)
}

// leaving returns what a stop begins with: saying so, and the grace time.
func (m *member) leaving(leave func()) func() {
	return func() {
		leave()
		time.Sleep(m.grace)
	}
}

// run announces while serve runs, and takes the member off the list at the end.
func (m *member) run(ctx context.Context, announcer *standin.Announcer, serve func() error) error {
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		announcer.Run(ctx)
	}()
	err := serve()
	if ctx.Err() != nil {
		<-announced
		announcer.Leave()
	}
	return err
}

// open returns the logger and the listener of a stand-in.
func open(id, zone, listen string) (*zap.Logger, net.Listener, error) {
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

// Package lifecycle leads one instance's process through charts/instance.json:
// from its start, when it is not ready, to a graceful shutdown that cuts off no
// request in flight.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
)

// The states of charts/instance.json.
const (
	Starting chart.State = "starting"
	Ready    chart.State = "ready"
	Draining chart.State = "draining"
	Stopped  chart.State = "stopped"
)

const (
	eventConfigured chart.Event = "configured"
	eventStop       chart.Event = "stop"
	eventDrained    chart.Event = "drained"
)

// Step is one step of a graceful shutdown. Its context ends when its time is
// up. A step that fails is logged, and the next one follows.
type Step func(ctx context.Context) error

// Options are what a Life needs. A nil step is left out.
type Options struct {
	Logger *zap.Logger
	// StopWithin bounds the whole shutdown.
	StopWithin time.Duration
	// Linger is how long the instance, not ready any more, still answers new
	// calls before it drains, so that the platform's balancer can notice. It
	// refuses them as not run. Zero takes DefaultLinger, a negative one none.
	Linger time.Duration
	// Announce tells the peers that this instance leaves.
	Announce Step
	// HandOver gives up the roles: the placer lease and granted slots.
	HandOver Step
	// Drain waits until no request is in flight, and takes no new ones.
	Drain Step
	// Close ends the duties of the process.
	Close Step
}

// Life is the life of one instance's process. It is safe for concurrent use.
type Life struct {
	options  Options
	logger   *zap.Logger
	machine  *chart.Chart
	stopping chan struct{}
	stopped  chan struct{}

	// mu guards state and result.
	mu     sync.Mutex
	state  chart.State
	result error
}

// DefaultLinger covers a balancer that looks once a second.
const DefaultLinger = 2 * time.Second

const (
	// announceShare and handOverShare bound the first two steps to a part of
	// the whole, because the peers or the store may not answer and the requests
	// in flight need the rest.
	announceShare = 10
	handOverShare = 5
	// closeWithin bounds the last step, which waits for nothing outside the
	// process.
	closeWithin = 2 * time.Second
)

// New returns a life in its initial state.
func New(options Options) *Life {
	machine := chart.MustLoad("instance")
	if options.Linger == 0 {
		options.Linger = DefaultLinger
	}
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Life{
		options:  options,
		logger:   logger.Named("lifecycle"),
		machine:  machine,
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
		state:    machine.Initial,
	}
}

// State returns the present state.
func (l *Life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Ready reports whether the instance takes callers' requests.
func (l *Life) Ready() bool { return l.State() == Ready }

// Refusal returns why callers' work is not taken in the present state: KindStopping
// during a shutdown, KindNotReady before the configuration, else nil.
func (l *Life) Refusal() error {
	switch l.State() {
	case Ready:
		return nil
	case Starting:
		return api.NewError(api.KindNotReady, "this instance has no configuration yet")
	default:
		return api.NewError(api.KindStopping, "this instance is shutting down")
	}
}

// Stopping is closed when a shutdown begins.
func (l *Life) Stopping() <-chan struct{} { return l.stopping }

// Configured says that a configuration is in force.
func (l *Life) Configured() { l.step(eventConfigured) }

// step sends an event to the chart and returns whether the state changed.
func (l *Life) step(event chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, err := l.machine.Next(l.state, event)
	if err != nil {
		l.logger.Error("undeclared transition", zap.Error(err))
		return false
	}
	if next == l.state {
		return false
	}
	l.logger.Info("instance", zap.String("from", string(l.state)), zap.String("to", string(next)), zap.String("event", string(event)))
	l.state = next
	return true
}

// Stop shuts the instance down and waits for the end. A second call, also one
// at the same time, changes nothing: it waits for the same end and returns the
// same error. The error is nil if every request in flight was finished.
func (l *Life) Stop() error {
	if l.step(eventStop) {
		close(l.stopping)
		l.result = l.shutdown()
		l.step(eventDrained)
		close(l.stopped)
	}
	<-l.stopped
	return l.result
}

// StopOnSignal shuts down at the first signal and returns its result. Further
// signals are noted and change nothing.
func (l *Life) StopOnSignal(signals <-chan os.Signal) error {
	first := <-signals
	l.logger.Info("signal", zap.Stringer("signal", first))
	go l.noteSignals(signals)
	return l.Stop()
}

func (l *Life) noteSignals(signals <-chan os.Signal) {
	for {
		select {
		case again := <-signals:
			l.logger.Info("signal during shutdown", zap.Stringer("signal", again))
		case <-l.stopped:
			return
		}
	}
}

// shutdown runs the steps in order. The instance is not ready from before the
// first one. Peers hear first, so that nobody forwards work here; then the
// roles go, so that their next holder can start while requests finish here.
func (l *Life) shutdown() error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.options.StopWithin)
	defer cancel()
	l.run(ctx, "announce", l.options.StopWithin/announceShare, l.options.Announce)
	l.run(ctx, "hand over", l.options.StopWithin/handOverShare, l.options.HandOver)
	l.linger(ctx, started)
	err := l.run(ctx, "drain", l.options.StopWithin, l.options.Drain)
	l.run(context.Background(), "close", closeWithin, l.options.Close)
	l.logger.Info("shutdown", zap.Duration("took", time.Since(started)), zap.Error(err))
	return err
}

// linger waits for what is left of the time that the balancer needs.
func (l *Life) linger(ctx context.Context, started time.Time) {
	select {
	case <-time.After(l.options.Linger - time.Since(started)):
	case <-ctx.Done():
	}
}

// run runs one step within its time. A step that ignores its context is left
// behind.
func (l *Life) run(ctx context.Context, name string, within time.Duration, step Step) error {
	if step == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- l.guarded(ctx, step) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = finished(done, ctx.Err())
	}
	if err != nil {
		l.logger.Warn("shutdown step failed", zap.String("step", name), zap.Error(err))
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// returnGrace is the time that a step has to return once its context ended.
const returnGrace = 100 * time.Millisecond

// finished waits a moment for a step whose time is up, because it may have
// succeeded at the last moment or return a better error than cause.
func finished(done <-chan error, cause error) error {
	select {
	case err := <-done:
		return err
	case <-time.After(returnGrace):
		return cause
	}
}

var errPanic = errors.New("the step panicked")

func (l *Life) guarded(ctx context.Context, step Step) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			l.logger.Error("shutdown step panicked", zap.Any("cause", cause), zap.Stack("stack"))
			err = errPanic
		}
	}()
	return step(ctx)
}

// Package lifecycle implements the state chart charts/instance.json for one
// instance's process, from startup, when it is not ready, to a graceful
// shutdown that lets the requests in flight finish within a time limit.
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

// Step is one step of a graceful shutdown. Its context ends at the step's time
// limit. A step that fails is logged, and the shutdown continues with the next
// one.
type Step func(ctx context.Context) error

// Options configures a Lifecycle. A nil step is skipped.
type Options struct {
	Logger *zap.Logger
	// StopTimeout bounds the shutdown up to the end of Drain. Close has a short
	// time limit of its own.
	StopTimeout time.Duration
	// Linger is the minimum time, within StopTimeout, between the start of the
	// shutdown and Drain. During it the instance, no longer ready, answers new
	// calls with a refusal that marks them as not run, so that the platform's
	// load balancer can notice. Zero means DefaultLinger; a negative value
	// disables it.
	Linger time.Duration
	// Announce notifies the peers that this instance leaves.
	Announce Step
	// HandOver releases the instance's roles: the placer lease and granted
	// slots.
	HandOver Step
	// Drain waits until no request is in flight and accepts no new ones.
	Drain Step
	// Close stops the background goroutines of the process.
	Close Step
}

// Lifecycle runs the state chart of one instance's process. It is safe for
// concurrent use.
type Lifecycle struct {
	options  Options
	logger   *zap.Logger
	machine  *chart.Chart
	stopping chan struct{}
	stopped  chan struct{}

	// mu guards state. result is set before stopped is closed and read
	// afterwards.
	mu     sync.Mutex
	state  chart.State
	result error
}

// DefaultLinger suffices for a load balancer that probes once a second.
const DefaultLinger = 2 * time.Second

const (
	// announceDivisor and handOverDivisor limit the first two steps to a
	// fraction of the whole shutdown, because the peers or the store may not
	// answer and the requests in flight need the remaining time.
	announceDivisor = 10
	handOverDivisor = 5
	// closeTimeout bounds the last step, which depends on nothing outside the
	// process.
	closeTimeout = 2 * time.Second
)

// New returns a Lifecycle in its initial state.
func New(options Options) *Lifecycle {
	machine := chart.MustLoad("instance")
	if options.Linger == 0 {
		options.Linger = DefaultLinger
	}
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Lifecycle{
		options:  options,
		logger:   logger.Named("lifecycle"),
		machine:  machine,
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
		state:    machine.Initial,
	}
}

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Ready reports whether the instance accepts callers' requests.
func (l *Lifecycle) Ready() bool { return l.State() == Ready }

// Refusal returns the error with which callers' work is refused in the current
// state: KindNotReady in Starting, nil in Ready, and KindStopping from the start
// of a shutdown.
func (l *Lifecycle) Refusal() error {
	switch l.State() {
	case Ready:
		return nil
	case Starting:
		return api.NewError(api.KindNotReady, "this instance has no configuration yet")
	default:
		return api.NewError(api.KindStopping, "this instance is shutting down")
	}
}

// Stopping returns a channel that is closed when a shutdown begins.
func (l *Lifecycle) Stopping() <-chan struct{} { return l.stopping }

// Configured records that a configuration is in force.
func (l *Lifecycle) Configured() { l.transition(eventConfigured) }

// transition sends an event to the chart and reports whether the state changed.
func (l *Lifecycle) transition(event chart.Event) bool {
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

// Stop shuts the instance down and waits until it has stopped. Further calls,
// also concurrent ones, wait for the same shutdown and return the same error.
// The error is nil if every request in flight was finished.
func (l *Lifecycle) Stop() error {
	if l.transition(eventStop) {
		close(l.stopping)
		l.result = l.shutdown()
		l.transition(eventDrained)
		close(l.stopped)
	}
	<-l.stopped
	return l.result
}

// StopOnSignal calls Stop at the first signal and returns its result. Further
// signals are logged and have no effect.
func (l *Lifecycle) StopOnSignal(signals <-chan os.Signal) error {
	first := <-signals
	l.logger.Info("signal", zap.Stringer("signal", first))
	go l.logSignals(signals)
	return l.Stop()
}

func (l *Lifecycle) logSignals(signals <-chan os.Signal) {
	for {
		select {
		case repeated := <-signals:
			l.logger.Info("signal during shutdown", zap.Stringer("signal", repeated))
		case <-l.stopped:
			return
		}
	}
}

// shutdown runs the steps in order. Stop has already moved the instance out of
// the state Ready. Peers are notified first, so that none forwards work here;
// then the roles are released, so that their next holder can start while
// requests finish here.
func (l *Lifecycle) shutdown() error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.options.StopTimeout)
	defer cancel()
	l.runStep(ctx, "announce", l.options.StopTimeout/announceDivisor, l.options.Announce)
	l.runStep(ctx, "hand over", l.options.StopTimeout/handOverDivisor, l.options.HandOver)
	l.linger(ctx, started)
	err := l.runStep(ctx, "drain", l.options.StopTimeout, l.options.Drain)
	l.runStep(context.Background(), "close", closeTimeout, l.options.Close)
	l.logger.Info("shutdown", zap.Duration("took", time.Since(started)), zap.Error(err))
	return err
}

// linger waits until the linger time, counted from started, has passed or ctx
// ends.
func (l *Lifecycle) linger(ctx context.Context, started time.Time) {
	select {
	case <-time.After(l.options.Linger - time.Since(started)):
	case <-ctx.Done():
	}
}

// runStep runs one step with a time limit. A step that ignores its context is
// abandoned.
func (l *Lifecycle) runStep(ctx context.Context, name string, timeout time.Duration, step Step) error {
	if step == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- l.callStep(ctx, step) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = awaitLateResult(done, ctx.Err())
	}
	if err != nil {
		l.logger.Warn("shutdown step failed", zap.String("step", name), zap.Error(err))
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// returnGracePeriod is how long a step may take to return once its context has
// ended.
const returnGracePeriod = 100 * time.Millisecond

// awaitLateResult waits briefly for a step whose time limit has passed, because
// it may have succeeded at the last moment or may return a more specific error
// than timeoutErr.
func awaitLateResult(done <-chan error, timeoutErr error) error {
	select {
	case err := <-done:
		return err
	case <-time.After(returnGracePeriod):
		return timeoutErr
	}
}

var errPanic = errors.New("the step panicked")

func (l *Lifecycle) callStep(ctx context.Context, step Step) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			l.logger.Error("shutdown step panicked", zap.Any("cause", cause), zap.Stack("stack"))
			err = errPanic
		}
	}()
	return step(ctx)
}

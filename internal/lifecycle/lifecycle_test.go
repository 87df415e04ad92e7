package lifecycle_test

import (
	"cmp"
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/lifecycle"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder records the names of the steps in the order in which they start.
type recorder struct {
	mu    sync.Mutex
	names []string
}

func (r *recorder) step(name string, duration time.Duration, result error) lifecycle.Step {
	return func(ctx context.Context) error {
		r.mu.Lock()
		r.names = append(r.names, name)
		r.mu.Unlock()
		select {
		case <-time.After(duration):
			return result
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errPlanted = errors.New("planted")

func TestShutdownRunsStepsInOrderWithinTimeLimit(t *testing.T) {
	const (
		never    = time.Hour
		noLinger = -time.Second
	)
	all := []string{"announce", "hand over", "drain", "close"}
	cases := map[string]struct {
		announce, handOver, drain time.Duration
		handOverErr               error
		linger                    time.Duration
		// wantDuration is the duration of the whole shutdown; wantErr is set if
		// drain does not finish.
		wantDuration time.Duration
		wantErr      bool
	}{
		"every step finishes":                                    {announce: time.Second, handOver: time.Second, drain: 5 * time.Second, wantDuration: 7 * time.Second},
		"no peer answers":                                        {announce: never, drain: time.Second, wantDuration: 4 * time.Second},
		"the store is down":                                      {handOver: never, drain: time.Second, wantDuration: 7 * time.Second},
		"the lease is already lost":                              {handOverErr: errPlanted, drain: time.Second, wantDuration: time.Second},
		"the load balancer needs time to notice":                 {announce: time.Second, drain: time.Second, linger: 3 * time.Second, wantDuration: 4 * time.Second},
		"neither peers nor store answer":                         {announce: never, handOver: never, drain: time.Second, wantDuration: 10 * time.Second},
		"a request exceeds the shutdown time":                    {drain: never, wantDuration: 30 * time.Second, wantErr: true},
		"no peer or store answers and a request does not finish": {announce: never, handOver: never, drain: never, wantDuration: 30 * time.Second, wantErr: true},
		"the linger time exceeds the shutdown time":              {drain: time.Second, linger: never, wantDuration: 30 * time.Second, wantErr: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps recorder
				l := lifecycle.New(lifecycle.Options{
					StopTimeout: 30 * time.Second,
					Linger:      cmp.Or(test.linger, noLinger),
					Announce:    steps.step("announce", test.announce, nil),
					HandOver:    steps.step("hand over", test.handOver, test.handOverErr),
					Drain:       steps.step("drain", test.drain, nil),
					Close:       steps.step("close", 0, nil),
				})
				l.Configured()
				start := time.Now()
				err := l.Stop()
				assert.Equal(t, err != nil, test.wantErr, "%v", err)
				assert.Equal(t, time.Since(start), test.wantDuration)
				assert.Assert(t, slices.Equal(steps.names, all), "%v", steps.names)
				assert.Equal(t, l.State(), lifecycle.Stopped)
			})
		})
	}
}

func TestStateFollowsTheChart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var stateDuringAnnounce chart.State
		var l *lifecycle.Lifecycle
		l = lifecycle.New(lifecycle.Options{StopTimeout: time.Minute, Announce: func(context.Context) error {
			stateDuringAnnounce = l.State()
			<-release
			return nil
		}})
		assert.Equal(t, l.State(), lifecycle.Starting)
		l.Configured()
		assert.Assert(t, l.Ready())
		go func() { _ = l.Stop() }()
		synctest.Wait()
		assert.Equal(t, stateDuringAnnounce, lifecycle.Draining)
		l.Configured()
		assert.Assert(t, !l.Ready(), "a draining instance never becomes ready again")
		close(release)
		assert.NilError(t, l.Stop())
	})
}

func TestRepeatedStopsAndSignalsHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps recorder
		l := lifecycle.New(lifecycle.Options{StopTimeout: time.Minute, Linger: time.Second, Drain: steps.step("drain", 10*time.Second, nil)})
		l.Configured()
		signals := make(chan os.Signal, 4)
		signals <- syscall.SIGTERM
		results := make(chan error, 3)
		start := time.Now()
		go func() { results <- l.StopOnSignal(signals) }()
		go func() { results <- l.Stop() }()
		go func() { results <- l.Stop() }()
		time.Sleep(time.Second)
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
		for range 3 {
			assert.NilError(t, <-results)
		}
		assert.Equal(t, time.Since(start), 11*time.Second)
		assert.Assert(t, slices.Equal(steps.names, []string{"drain"}), "%v", steps.names)
	})
}

func TestPanickingOrHangingStepDoesNotBlockShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps recorder
		hang := make(chan struct{})
		l := lifecycle.New(lifecycle.Options{
			StopTimeout: 10 * time.Second,
			Announce:    func(context.Context) error { panic("planted") },
			HandOver:    func(context.Context) error { <-hang; return nil },
			Drain:       steps.step("drain", time.Second, nil),
		})
		assert.NilError(t, l.Stop())
		assert.Assert(t, slices.Equal(steps.names, []string{"drain"}), "%v", steps.names)
		close(hang)
	})
}

package deployment

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers availability zones that are cut off. An instance there can
// accept nothing, and its callers are served in the other zones as soon as it says
// that it is not ready. Without it the silence was noticed after two seconds, calls
// were held until the caller's deadline, and callers of the zone who came in the
// first three seconds of a cut were not served at all.

const (
	// pingEvery is how often one instance of another zone is pinged. With it a cut is
	// noticed within 0.9 s at most, before the second of the balancer's checks.
	pingEvery = 300 * time.Millisecond
	// pingTimeout bounds a ping, and each call of the check that follows a lost one.
	// Instances answer within 10 ms, and within 100 ms when they are slowed.
	pingTimeout = 250 * time.Millisecond
	// witnesses is how many more instances of other zones are asked before a lost
	// ping is taken for a cut.
	witnesses = 2
)

// cutWatch says whether this instance is cut off: whether neither the store nor any
// instance of another zone has answered since a check of all of them failed.
type cutWatch struct {
	mu sync.Mutex
	// since is when the cut was noticed; zero while there is none.
	since time.Time
	// noticed is closed when a cut is noticed.
	noticed chan struct{}
}

func newCutWatch() *cutWatch { return &cutWatch{noticed: make(chan struct{})} }

// cut reports whether the instance is cut off.
func (c *cutWatch) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.since.IsZero()
}

// notice takes that nobody answered; true if that is new.
func (c *cutWatch) notice(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.IsZero() {
		return false
	}
	c.since = now
	close(c.noticed)
	return true
}

// clear takes that somebody answered a call that began at a time; true if that ends
// a cut. What began before the cut was noticed says nothing.
func (c *cutWatch) clear(began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || began.Before(c.since) {
		return false
	}
	c.since = time.Time{}
	c.noticed = make(chan struct{})
	return true
}

// errCutOff ends calls under way once a cut is noticed.
var errCutOff = errors.New("the availability zone is cut off")

// guard returns a context that ends once a cut is noticed.
func (c *cutWatch) guard(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	noticed := c.noticed
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-noticed:
			cancel(errCutOff)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// refuseCutOff is the answer to work that this instance cannot take while it is cut
// off: nothing of it was sent. The balancer needs about two seconds to lead callers
// elsewhere.
func refuseCutOff() error {
	return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "%v", errCutOff), comeBackSoonest)
}

// watchCut pings the other zones, one instance at a time, and checks all ways out
// when one does not answer.
func (i *Instance) watchCut(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		pause(ctx, pingEvery)
		others := i.elsewhere()
		if len(others) == 0 {
			continue // there is nobody to be cut off from
		}
		began := bootTime()
		if i.ping(ctx, others[turn%len(others)]) || i.anyAnswers(ctx, others, turn) {
			i.reconnected(began)
			continue
		}
		if ctx.Err() == nil && i.cut.notice(bootTime()) {
			i.logger.Warn("cut off", zap.Int("instances_elsewhere", len(others)))
		}
	}
}

// elsewhere lists the instances of other zones, those that said something lately if
// there are any: rows of instances that are gone stay for a while.
func (i *Instance) elsewhere() []string {
	own := i.settings.AvailabilityZone
	if fresh := i.peers.fresh(func(v peerView) bool { return v.zone != own }); len(fresh) > 0 {
		return fresh
	}
	return i.replica.inOtherZones(own)
}

// ping reports whether an instance answers.
func (i *Instance) ping(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := i.node.Call(ctx, id, &peerpb.Request{Body: &peerpb.Request_Hello{Hello: i.hello()}})
	return err == nil
}

// anyAnswers asks the store and some more instances at once.
func (i *Instance) anyAnswers(ctx context.Context, others []string, turn int) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	asks := []func() bool{func() bool {
		_, err := i.store.direct.Read(ctx, workload.SourceOwn, epochKey, leaderKey)
		return err == nil
	}}
	for n := range min(witnesses, len(others)-1) {
		id := others[(turn+1+n)%len(others)]
		asks = append(asks, func() bool { return i.ping(ctx, id) })
	}
	answers := make(chan bool, len(asks))
	for _, ask := range asks {
		go func() { answers <- ask() }()
	}
	for range asks {
		if <-answers {
			return true
		}
	}
	return false
}

// reconnected ends a cut.
func (i *Instance) reconnected(began time.Time) {
	if i.cut.clear(began) {
		i.logger.Info("no longer cut off")
	}
}

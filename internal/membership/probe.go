package membership

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-resty/resty/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// A backend server may be idle when it starts to leave, while the instance list
// lags or cannot be read. Without probes, no instance would notice until the
// list is updated, and the first request after a long idle time would still be
// sent there. A list that lags may also contain an incarnation for the first
// time after that has started to leave, so every instance probes a server that
// is new to it before it sends work there. From then on each server is probed
// by one instance of its zone, chosen by rendezvous hashing, and the others
// receive the result as an urgent state message. A server that answered a work
// request within the interval is not probed. The interval is below the two
// seconds within which the whole fleet must be informed, with time left for the
// answer and for one exchange with the peers.

const (
	// probeInterval is the maximum time that a backend server goes without an
	// answer before it is probed.
	probeInterval = 1500 * time.Millisecond
	// probeCheckInterval is the time between checks for servers that are due.
	probeCheckInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// confirmRetryInterval is the time between probes of a server that has not
	// answered yet.
	confirmRetryInterval = 500 * time.Millisecond
	// maxProbeCalls bounds the probes in flight.
	maxProbeCalls = 32
)

// Prober queries the health of a backend server.
type Prober interface {
	Health(ctx context.Context, server model.BackendServer) (api.BackendHealth, error)
}

// HTTPProber implements Prober with GET /v1/health. It is safe for concurrent
// use.
type HTTPProber struct{ client *resty.Client }

// NewHTTPProber returns a prober that uses at most one connection per server.
func NewHTTPProber() *HTTPProber {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 4 * probeInterval, DisableCompression: true}
	client := resty.NewWithClient(&http.Client{Transport: transport, Timeout: probeTimeout})
	return &HTTPProber{client: client.SetHeader("User-Agent", "corianderbank")}
}

// Health implements Prober.
func (p *HTTPProber) Health(ctx context.Context, server model.BackendServer) (api.BackendHealth, error) {
	var health api.BackendHealth
	response, err := p.client.R().SetContext(ctx).SetResult(&health).Get("http://" + server.Addr + "/v1/health")
	if err != nil {
		return health, api.NewError(api.KindNotReady, "backend server %s: %w", server.ID, err)
	}
	if response.IsError() || health.ID != server.ID {
		return health, api.NewError(api.KindAnswerNotWhole, "backend server %s: status %d of %q", server.ID, response.StatusCode(), health.ID)
	}
	return health, nil
}

// probeTargets returns the backend servers that this instance must probe now,
// and records the time of the probe.
func (s *state) probeTargets(now time.Time) []model.BackendServer {
	if s.leaving {
		return nil
	}
	members := s.probingInstances(now)
	var targets []model.BackendServer
	for _, id := range sortedKeys(s.backends) {
		entry := s.backends[id]
		if s.probeDue(entry, now) && (!entry.confirmed || rendezvous(id, members) == s.self.ID) {
			entry.lastProbe = now
			targets = append(targets, entry.BackendServer)
		}
	}
	return targets
}

// probeDue reports whether a server of this zone is due for a probe by any
// instance.
func (s *state) probeDue(entry *backendEntry, now time.Time) bool {
	active := entry.State != model.BackendGone && entry.State != model.BackendLeaving
	if entry.Zone != s.self.Zone || !active {
		return false
	}
	if !entry.confirmed {
		return now.Sub(entry.lastProbe) >= confirmRetryInterval
	}
	const minInterval = probeInterval - probeCheckInterval
	return now.Sub(entry.lastAnswer) >= minInterval && now.Sub(entry.lastProbe) >= minInterval
}

// probingInstances returns the ids of the live instances of this zone that are
// not leaving, including this one.
func (s *state) probingInstances(now time.Time) []string {
	members := []string{s.self.ID}
	for _, instance := range s.liveInstances(now) {
		if instance.Zone == s.self.Zone && !instance.Leaving {
			members = append(members, instance.ID)
		}
	}
	return members
}

// rendezvous returns the member with the highest hash for key. When a member is
// added or removed, only its own keys move.
func rendezvous(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, member := range members {
		if hash := xxhash.Sum64String(member + "|" + key); best == "" || hash > highest {
			best, highest = member, hash
		}
	}
	return best
}

// probeLoop probes the backend servers that are due until ctx ends.
func (f *Fleet) probeLoop(ctx context.Context) {
	if f.options.Prober == nil {
		return
	}
	probes := newCallPool(maxProbeCalls)
	defer probes.wait()
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.sendProbes(ctx, probes, now)
		case <-ctx.Done():
			return
		}
	}
}

// sendProbes probes the servers that are due. If the pool is full, a server
// waits for its next turn.
func (f *Fleet) sendProbes(ctx context.Context, probes *callPool, now time.Time) {
	f.mu.Lock()
	targets := f.state.probeTargets(now)
	f.mu.Unlock()
	for _, server := range targets {
		if !probes.start(func() { f.probeServer(ctx, server) }) {
			f.logger.Warn("probe not sent", zap.String("backend_server", server.ID))
		}
	}
}

// probeServer probes a server and applies its answer. A failed probe has no
// effect here: the routing decisions eject a server that fails its work.
func (f *Fleet) probeServer(ctx context.Context, server model.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := f.options.Prober.Health(ctx, server)
	if err != nil {
		f.logger.Debug("probe", zap.String("backend_server", server.ID), zap.Error(err))
		return
	}
	f.observe(func(now time.Time) bool { return f.state.applyBackendHealth(health, now) })
}

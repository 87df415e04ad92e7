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

// This file answers the pattern of a backend server that is idle when it starts
// to leave, while the instance list lags or cannot be read. Without it nobody
// knows until the list catches up, and the first request after that long would
// still go there. A list that lags may also name an incarnation for the first
// time after that has started to leave, so every instance asks a server that is
// new to it before it sends work there. From then on each server is asked by one instance of its zone, chosen by
// rendezvous hashing, and the others hear the answer as news; a server that
// answered work within the interval is not asked. The interval is below the two
// seconds in which the whole fleet must know, with room for the answer and for
// one exchange with the peers.

const (
	// probeInterval is the longest time without an answer of a backend server.
	probeInterval = 1500 * time.Millisecond
	// probeRound is how often the duty looks who is to be asked.
	probeRound = 250 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = time.Second
	// confirmRetry is the time between the first questions to a new server.
	confirmRetry = 500 * time.Millisecond
	// probeCalls bounds the questions under way.
	probeCalls = 32
)

// Prober asks a backend server for its health.
type Prober interface {
	Health(ctx context.Context, server model.BackendServer) (api.BackendHealth, error)
}

// HTTPProber asks by GET /v1/health. It is safe for concurrent use.
type HTTPProber struct{ client *resty.Client }

// NewHTTPProber returns a prober that keeps one connection to each server.
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

// probeTargets returns the backend servers that this instance is to ask now,
// and notes that it does.
func (s *state) probeTargets(now time.Time) []model.BackendServer {
	if s.leaving {
		return nil
	}
	members := s.probeMembers(now)
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

// probeDue reports whether a server of this zone is to be asked by someone.
func (s *state) probeDue(entry *backendEntry, now time.Time) bool {
	stays := entry.State != model.BackendGone && entry.State != model.BackendLeaving
	if entry.Zone != s.self.Zone || !stays {
		return false
	}
	if !entry.confirmed {
		return now.Sub(entry.lastProbe) >= confirmRetry
	}
	const quiet = probeInterval - probeRound
	return now.Sub(entry.lastAnswer) >= quiet && now.Sub(entry.lastProbe) >= quiet
}

// probeMembers returns the ids of the live instances of this zone that stay,
// this one among them.
func (s *state) probeMembers(now time.Time) []string {
	members := []string{s.self.ID}
	for _, instance := range s.liveInstances(now) {
		if instance.Zone == s.self.Zone && !instance.Leaving {
			members = append(members, instance.ID)
		}
	}
	return members
}

// rendezvous returns the member with the highest hash for key. A member that
// comes or goes moves only its own keys.
func rendezvous(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, member := range members {
		if hash := xxhash.Sum64String(member + "|" + key); best == "" || hash > highest {
			best, highest = member, hash
		}
	}
	return best
}

// probe asks the backend servers that are due until ctx ends.
func (f *Fleet) probe(ctx context.Context) {
	if f.options.Prober == nil {
		return
	}
	questions := newCalls(probeCalls)
	defer questions.wait()
	ticker := time.NewTicker(probeRound)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.probeRound(ctx, questions, now)
		case <-ctx.Done():
			return
		}
	}
}

// probeRound asks who is due. A full pool leaves a server to its next time.
func (f *Fleet) probeRound(ctx context.Context, questions *calls, now time.Time) {
	f.mu.Lock()
	targets := f.state.probeTargets(now)
	f.mu.Unlock()
	for _, server := range targets {
		if !questions.start(func() { f.ask(ctx, server) }) {
			f.logger.Warn("probe not sent", zap.String("backend_server", server.ID))
		}
	}
}

// ask takes in a server's answer. No answer says nothing here: the decisions on
// routing eject a server that fails its work.
func (f *Fleet) ask(ctx context.Context, server model.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := f.options.Prober.Health(ctx, server)
	if err != nil {
		f.logger.Debug("probe", zap.String("backend_server", server.ID), zap.Error(err))
		return
	}
	f.observe(func(now time.Time) bool { return f.state.backendHealth(health, now) })
}

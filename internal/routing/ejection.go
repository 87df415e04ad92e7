package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// Load pattern: one backend server of a zone becomes slow or fails every request
// while the others are healthy.
//
// Without ejection, each request sent there takes many times as long or is lost.
// With seventeen servers of eight slots that is at least one request in seventeen,
// so it determines the 99th percentile. Without maxEjectedShare, a fault common to
// all servers (such as a slow database behind them) would take every server out of
// service.
const (
	// slowRatio is the ratio to the median slowness above which a server is
	// ejected. With a lower one, chance and a mix of request kinds make healthy
	// servers appear slow.
	slowRatio = 3.0
	// failureRateLimit is the share of failed attempts above which a server is
	// ejected, if the share also exceeds failureMultiple.
	failureRateLimit = 0.5
	// failureMultiple is the ratio to the median failure rate that an ejected
	// server must also exceed, so that requests that fail everywhere eject no
	// server.
	failureMultiple = 2.0
	// minSamples is the minimum number of attempts before a server is evaluated.
	minSamples = 8
	// maxEjectedShare bounds the share of ejected servers in a zone; with at
	// least minServers, one may always be ejected. At one fifth, six failing
	// servers of seventeen left three of them in use.
	maxEjectedShare = 0.35
	minServers      = 3
	// evaluateInterval is the minimum time between evaluations.
	evaluateInterval = 100 * time.Millisecond
	// baseEjection is the duration of a first ejection. It doubles with each
	// consecutive ejection, up to maxEjection. A server that was ready for
	// maxEjection starts again at baseEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// maxSlownessSample bounds one observation of slowness, so that a single hung
	// request does not eject a server.
	maxSlownessSample = 10.0
)

// evaluate ejects slow and failing backend servers, and ends the ejections and
// ramps whose time is over.
func (t *Table) evaluate(now time.Time) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	for _, s := range t.servers {
		t.advanceState(s, now)
	}
	if t.policy.NoEjection {
		return
	}
	medianSlowness := t.median(func(s *server) float64 { return s.slowness }, 1)
	medianFailureRate := t.median(func(s *server) float64 { return s.failureRate }, 0)
	for _, s := range t.servers {
		if reason := ejectionReason(s, medianSlowness, medianFailureRate); reason != "" && t.canEject() {
			t.apply(s, eventSlow, reason, now)
			s.consecutiveEjections++
			s.samples, s.slowness, s.failureRate = 0, 1, 0
		}
	}
}

func (t *Table) advanceState(s *server, now time.Time) {
	switch s.State {
	case model.BackendEjected:
		if now.Sub(s.stateSince) >= ejectionDuration(s.consecutiveEjections) {
			t.apply(s, eventCooled, "ejection is over", now)
		}
	case model.BackendRamping:
		if now.Sub(s.stateSince) >= RampTime || t.policy.NoRamp {
			t.apply(s, eventRamped, "ramp is over", now)
		}
	case model.BackendReady:
		if now.Sub(s.stateSince) >= maxEjection {
			s.consecutiveEjections = 0
		}
	}
}

func ejectionDuration(consecutive int) time.Duration {
	duration := baseEjection
	for range consecutive - 1 {
		duration = min(2*duration, maxEjection)
	}
	return duration
}

// ejectionReason returns the reason to eject the server, or "" if there is none.
func ejectionReason(s *server, medianSlowness, medianFailureRate float64) string {
	if s.samples < minSamples || (s.State != model.BackendReady && s.State != model.BackendRamping) {
		return ""
	}
	if s.failureRate > max(failureRateLimit, failureMultiple*medianFailureRate) {
		return fmt.Sprintf("%.0f%% of attempts failed", 100*s.failureRate)
	}
	if s.slowness > slowRatio*medianSlowness {
		return fmt.Sprintf("slowness %.1f against a median of %.1f", s.slowness, medianSlowness)
	}
	return ""
}

// median returns the median of value over the servers that accept work, or
// fallback if there are none.
func (t *Table) median(value func(*server) float64, fallback float64) float64 {
	var values []float64
	for _, s := range t.servers {
		if s.State == model.BackendReady || s.State == model.BackendRamping {
			values = append(values, value(s))
		}
	}
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// canEject reports whether maxEjectedShare allows one more ejected server.
func (t *Table) canEject() bool {
	serving, ejected := 0, 0
	for _, s := range t.servers {
		switch s.State {
		case model.BackendReady, model.BackendRamping:
			serving++
		case model.BackendEjected:
			ejected++
		}
	}
	total := serving + ejected
	if total < minServers {
		return false
	}
	return ejected+1 <= max(1, int(maxEjectedShare*float64(total)))
}

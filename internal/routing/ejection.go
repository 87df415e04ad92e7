package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// Load pattern: one backend server of a zone turns slow or fails every request
// while the others are well.
//
// Without ejection each request that lands there takes many times as long or is
// lost; with eight slots of seventeen servers that is one request in seventeen
// or more, so it decides the 99th percentile. Without the bound a fault that all
// share (a slow database behind them) would take every server out of service.
const (
	// slowRatio is how much slower than the median server one must be. Below it,
	// chance and a mix of kinds make healthy servers look slow.
	slowRatio = 3.0
	// failureRatio is the share of failed attempts that ejects.
	failureRatio = 0.5
	// failingTimes is how many times more often than the median server it must
	// fail, so that requests that fail everywhere eject nobody.
	failingTimes = 2.0
	// minSamples is what a judgment needs.
	minSamples = 8
	// maxEjectedShare bounds the ejected servers of a zone, but one is always
	// allowed if there are at least three.
	// With a fifth, six failing servers of seventeen left three at work.
	maxEjectedShare = 0.35
	minServers      = 3
	// evaluateInterval is the time between judgments.
	evaluateInterval = 100 * time.Millisecond
	// baseEjection doubles with each ejection in a row, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// maxRatio bounds one observation, so that one hung request alone does not
	// eject a server.
	maxRatio = 10.0
)

// evaluate ejects and lets back backend servers, and ends ramps.
func (t *Table) evaluate(now time.Time) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	for _, s := range t.servers {
		t.letBack(s, now)
	}
	if t.policy.NoEjection {
		return
	}
	median := t.median(func(s *server) float64 { return s.slowness }, 1)
	failing := t.median(func(s *server) float64 { return s.failures }, 0)
	for _, s := range t.servers {
		if reason := faultOf(s, median, failing); reason != "" && t.mayEject() {
			t.apply(s, eventSlow, reason, now)
			s.ejections++
			s.samples, s.slowness, s.failures = 0, 1, 0
		}
	}
}

func (t *Table) letBack(s *server, now time.Time) {
	switch s.State {
	case model.BackendEjected:
		if now.Sub(s.since) >= ejectionLength(s.ejections) {
			t.apply(s, eventCooled, "ejection is over", now)
		}
	case model.BackendRamping:
		if now.Sub(s.since) >= RampTime || t.policy.NoRamp {
			t.apply(s, eventRamped, "ramp is over", now)
		}
	case model.BackendReady:
		if now.Sub(s.since) >= maxEjection {
			s.ejections = 0
		}
	}
}

func ejectionLength(ejections int) time.Duration {
	length := baseEjection
	for range ejections - 1 {
		length = min(2*length, maxEjection)
	}
	return length
}

// faultOf says why the server is to be ejected, or nothing.
func faultOf(s *server, median, failing float64) string {
	if s.samples < minSamples || (s.State != model.BackendReady && s.State != model.BackendRamping) {
		return ""
	}
	if s.failures > max(failureRatio, failingTimes*failing) {
		return fmt.Sprintf("%.0f%% of attempts failed", 100*s.failures)
	}
	if s.slowness > slowRatio*median {
		return fmt.Sprintf("slowness %.1f against a median of %.1f", s.slowness, median)
	}
	return ""
}

// median returns the median of value over the servers that take work.
func (t *Table) median(value func(*server) float64, otherwise float64) float64 {
	var all []float64
	for _, s := range t.servers {
		if s.State == model.BackendReady || s.State == model.BackendRamping {
			all = append(all, value(s))
		}
	}
	if len(all) == 0 {
		return otherwise
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// mayEject keeps the ejected servers within their bound.
func (t *Table) mayEject() bool {
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

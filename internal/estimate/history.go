package estimate

import (
	"slices"
	"time"
)

// This file answers declared run times that are off by a factor of 0.1 to 10.
// Without it a deadline is promised by the declared time, and missed; or work
// that would have made it is refused.
const (
	// samplesPerKey bounds the ratios kept for one account and kind. The oldest
	// goes first, so that a caller that mends its declarations is believed
	// after as many jobs.
	samplesPerKey = 32
	// maxKeys bounds the pairs of account and kind. The one that was observed
	// least recently goes first.
	maxKeys = 4096
	// minSamples is the number of ratios below which a declared time is taken
	// as it is: fewer say nothing about a high quantile.
	minSamples = 5
	// quantile is the share of jobs that end within the corrected time.
	quantile = 0.9
	// minRatio and maxRatio bound a ratio, so that one broken clock or a
	// declaration of next to nothing cannot spoil a kind of work.
	minRatio = 0.05
	maxRatio = 20
)

// key is an account's kind of work.
type key struct {
	account, kind string
}

// ratios is the latest ratios of real to declared run time of a key.
type ratios struct {
	ring []float64
	next int
	// corrected is the quantile over the ring.
	corrected float64
	// observed numbers the latest observation among all keys.
	observed int64
}

// History is a Source that learns. It holds a bounded number of ratios. It is
// not safe for concurrent use: one goroutine owns it.
type History struct {
	byKey    map[key]*ratios
	observed int64
}

// NewHistory returns an empty History, which takes declared times as they are.
func NewHistory() *History { return &History{byKey: make(map[key]*ratios)} }

// Observe records that a job of this account and kind with the declared run
// time took this long. Times that are not positive are ignored.
func (h *History) Observe(account, kind string, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	h.observed++
	r := h.ratiosOf(key{account, kind})
	r.observed = h.observed
	ratio := min(max(took.Seconds()/declared.Seconds(), minRatio), maxRatio)
	if len(r.ring) < samplesPerKey {
		r.ring = append(r.ring, ratio)
	} else {
		r.ring[r.next] = ratio
		r.next = (r.next + 1) % samplesPerKey
	}
	r.corrected = quantileOf(r.ring)
}

// Run implements Source.
func (h *History) Run(account, kind string, declared time.Duration) time.Duration {
	r, ok := h.byKey[key{account, kind}]
	if !ok || len(r.ring) < minSamples {
		return declared
	}
	return time.Duration(float64(declared) * r.corrected)
}

func (h *History) ratiosOf(k key) *ratios {
	if r, ok := h.byKey[k]; ok {
		return r
	}
	if len(h.byKey) >= maxKeys {
		h.forgetOldest()
	}
	r := &ratios{}
	h.byKey[k] = r
	return r
}

func (h *History) forgetOldest() {
	var oldest key
	least := h.observed + 1
	for k, r := range h.byKey {
		if r.observed < least {
			oldest, least = k, r.observed
		}
	}
	delete(h.byKey, oldest)
}

// quantileOf returns the smallest sample that the quantile's share of all
// samples does not exceed.
func quantileOf(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	rank := int(quantile*float64(len(sorted)) + 0.5)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

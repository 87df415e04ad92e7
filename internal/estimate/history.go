package estimate

import (
	"slices"
	"time"
)

// History corrects declared run times that are wrong by a factor of 0.1 to 10. Without
// the correction a deadline is accepted based on the declared time and then missed, or
// work that would have met it is refused.
const (
	// samplesPerKey bounds the ratios kept for one account and kind. The oldest is
	// replaced first, so that corrected declarations of a caller take full effect
	// after as many jobs.
	samplesPerKey = 32
	// maxKeys bounds the pairs of account and kind. The least recently observed pair
	// is evicted first.
	maxKeys = 4096
	// minSamples is the number of ratios below which a declared time is used
	// unchanged, because fewer are not enough to estimate a high quantile.
	minSamples = 5
	// quantile is the fraction of jobs that end within the corrected time.
	quantile = 0.9
	// minRatio and maxRatio bound a ratio, so that a wrong clock or a declared time
	// close to zero cannot distort the estimates for a kind of work.
	minRatio = 0.05
	maxRatio = 20
)

// key identifies a kind of work of an account.
type key struct {
	account, kind string
}

// ratios are the most recent ratios of actual to declared run time for a key.
type ratios struct {
	ring []float64
	next int
	// correction is the quantile of the ratios in ring, by which declared run times are
	// multiplied.
	correction float64
	// lastObserved is the sequence number of the latest observation, counted over all
	// keys.
	lastObserved int64
}

// History is a Source based on observed run times. It keeps a bounded number of
// ratios. It is not safe for concurrent use: one goroutine owns it.
type History struct {
	byKey        map[key]*ratios
	observations int64
}

// NewHistory returns an empty History, which returns declared times unchanged.
func NewHistory() *History { return &History{byKey: make(map[key]*ratios)} }

// Observe records the actual run time of a job of this account and kind with the given
// declared run time. Times that are not positive are ignored.
func (h *History) Observe(account, kind string, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	h.observations++
	r := h.ratiosFor(key{account, kind})
	r.lastObserved = h.observations
	ratio := min(max(took.Seconds()/declared.Seconds(), minRatio), maxRatio)
	if len(r.ring) < samplesPerKey {
		r.ring = append(r.ring, ratio)
	} else {
		r.ring[r.next] = ratio
		r.next = (r.next + 1) % samplesPerKey
	}
	r.correction = computeQuantile(r.ring)
}

// Run implements Source.
func (h *History) Run(account, kind string, declared time.Duration) time.Duration {
	r, ok := h.byKey[key{account, kind}]
	if !ok || len(r.ring) < minSamples {
		return declared
	}
	return time.Duration(float64(declared) * r.correction)
}

func (h *History) ratiosFor(k key) *ratios {
	if r, ok := h.byKey[k]; ok {
		return r
	}
	if len(h.byKey) >= maxKeys {
		h.evictLeastRecent()
	}
	r := &ratios{}
	h.byKey[k] = r
	return r
}

func (h *History) evictLeastRecent() {
	var oldest key
	least := h.observations + 1
	for k, r := range h.byKey {
		if r.lastObserved < least {
			oldest, least = k, r.lastObserved
		}
	}
	delete(h.byKey, oldest)
}

// computeQuantile returns the smallest sample such that the fraction of samples up to
// it is about quantile, rounded to the nearest rank.
func computeQuantile(samples []float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	rank := int(quantile*float64(len(sorted)) + 0.5)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

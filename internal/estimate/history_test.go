package estimate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	cases := map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"without history the declared time is used":                  {nil, time.Hour},
		"too few samples are ignored":                                {repeat(10*time.Hour, minSamples-1), time.Hour},
		"run times declared ten times too short are corrected":       {repeat(10*time.Hour, minSamples), 10 * time.Hour},
		"run times declared ten times too long are corrected":        {repeat(6*time.Minute, minSamples), 6 * time.Minute},
		"old samples are replaced once declarations become accurate": {append(repeat(10*time.Hour, 50), repeat(time.Hour, samplesPerKey)...), time.Hour},
		"a high quantile is used":                                    {append(repeat(time.Hour, 16), repeat(2*time.Hour, 4)...), 2 * time.Hour},
		"one outlier among many does not move the quantile":          {append(repeat(time.Hour, 19), 9*time.Hour), time.Hour},
		"a ratio out of bounds is bounded":                           {repeat(1000*time.Hour, minSamples), maxRatio * time.Hour},
		"times that are not positive are ignored":                    {repeat(0, minSamples), time.Hour},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			for _, took := range c.took {
				h.Observe("a", "k", time.Hour, took)
			}
			assert.Equal(t, h.Run("a", "k", time.Hour), c.want)
			assert.Equal(t, h.Run("b", "k", time.Hour), time.Hour, "another account is not affected")
		})
	}
}

func repeat(d time.Duration, count int) []time.Duration {
	all := make([]time.Duration, count)
	for i := range all {
		all[i] = d
	}
	return all
}

func TestCorrectedTimeCoversItsQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	h := NewHistory()
	within, total := 0, 4000
	for range total {
		took := time.Duration(float64(time.Hour) * (0.1 + 9.9*random.Float64()))
		if took <= h.Run("a", "k", time.Hour) {
			within++
		}
		h.Observe("a", "k", time.Hour, took)
	}
	share := float64(within) / float64(total)
	assert.Assert(t, share > quantile-0.05 && share < quantile+0.05, "share %v", share)
}

func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory()
	for i := range maxKeys + 100 {
		h.Observe("a", fmt.Sprint(i), time.Hour, time.Hour)
	}
	assert.Equal(t, len(h.byKey), maxKeys)
	_, kept := h.byKey[key{"a", fmt.Sprint(maxKeys + 99)}]
	assert.Assert(t, kept, "the latest key is kept")
}

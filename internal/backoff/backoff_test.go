package backoff_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/backoff"
)

func TestWaitDoublesUpToItsMaximum(t *testing.T) {
	b := backoff.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	want := []time.Duration{100, 200, 400, 800, 1000, 1000}
	for i, ms := range want {
		assert.Equal(t, b.Failed(1), ms*time.Millisecond, "failure %d", i+1)
	}
	b.Succeeded()
	assert.Equal(t, b.Failed(0), 50*time.Millisecond)
	assert.Equal(t, b.Failures(), 1)
}

// TestInstancesThatReturnTogetherDriftApart plays eight instances that lose a
// server at the same moment and try again until it is back after a minute.
func TestInstancesThatReturnTogetherDriftApart(t *testing.T) {
	const (
		instances = 8
		outage    = time.Minute
		// bound is 1% of the platform's 2,000 reads a second.
		bound = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	perSecond := make(map[time.Duration]int)
	for range instances {
		b := backoff.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}
		for at := time.Duration(0); at < outage; at += b.Failed(random.Float64()) {
			perSecond[at.Truncate(time.Second)]++
		}
	}
	for second, tries := range perSecond {
		if second > 0 {
			assert.Assert(t, tries <= bound, "%d tries in second %v", tries, second)
		}
	}
	last := 0
	for second := outage - 10*time.Second; second < outage; second += time.Second {
		last += perSecond[second]
	}
	assert.Assert(t, last <= 4*instances, "%d tries in the last ten seconds", last)
}

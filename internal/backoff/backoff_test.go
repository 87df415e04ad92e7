package backoff_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/backoff"
)

func TestWaitDoublesUpToMax(t *testing.T) {
	b := backoff.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	want := []time.Duration{100, 200, 400, 800, 1000, 1000}
	for i, ms := range want {
		assert.Equal(t, b.RecordFailure(1), ms*time.Millisecond, "failure %d", i+1)
	}
	b.Reset()
	assert.Equal(t, b.RecordFailure(0), 50*time.Millisecond)
	assert.Equal(t, b.Failures(), 1)
}

// TestInstancesThatReturnTogetherDriftApart simulates eight instances that lose
// a server at the same moment and retry until it is back after a minute. Without
// jitter their tries would stay synchronized and overload the server.
func TestInstancesThatReturnTogetherDriftApart(t *testing.T) {
	const (
		instances      = 8
		outageDuration = time.Minute
		// maxTriesPerSecond is 1% of the platform's 2,000 reads a second.
		maxTriesPerSecond = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	triesPerSecond := make(map[time.Duration]int)
	for range instances {
		b := backoff.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}
		for at := time.Duration(0); at < outageDuration; at += b.RecordFailure(random.Float64()) {
			triesPerSecond[at.Truncate(time.Second)]++
		}
	}
	for second, tries := range triesPerSecond {
		if second > 0 {
			assert.Assert(t, tries <= maxTriesPerSecond, "%d tries in second %v", tries, second)
		}
	}
	lastTries := 0
	for second := outageDuration - 10*time.Second; second < outageDuration; second += time.Second {
		lastTries += triesPerSecond[second]
	}
	assert.Assert(t, lastTries <= 4*instances, "%d tries in the last ten seconds", lastTries)
}

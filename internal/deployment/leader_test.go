package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEventsThatComeTogetherShareARound(t *testing.T) {
	now := bootTime()
	rounds, last := 0, now.Add(-time.Second)
	due := time.Time{}
	// 500 events in a second, one every two milliseconds.
	for range 500 {
		now = now.Add(2 * time.Millisecond)
		if !due.IsZero() && !now.Before(due) {
			rounds, last, due = rounds+1, due, time.Time{}
		}
		due = now.Add(untilRound(last, now))
	}
	assert.Assert(t, rounds <= int(time.Second/roundGap)+1, "%d rounds in a second", rounds)
	assert.Equal(t, untilRound(now.Add(-time.Second), now), time.Duration(0), "one that comes alone does not wait")
}

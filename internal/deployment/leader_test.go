package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// roundsWithin plays a second with an event every two milliseconds, and returns how
// many rounds it had and how long the loop was busy with them.
func roundsWithin(took time.Duration) (rounds int, busy time.Duration) {
	start := bootTime()
	now := start
	last, due := pastRound{at: now.Add(-time.Second)}, time.Time{}
	for now.Sub(start) < time.Second {
		now = now.Add(2 * time.Millisecond)
		if !due.IsZero() && !now.Before(due) {
			last, due = pastRound{at: now, took: took}, time.Time{}
			now = now.Add(took)
			rounds, busy = rounds+1, busy+took
		}
		due = now.Add(untilRound(last, now))
	}
	return rounds, busy
}

func TestEventsThatComeTogetherShareARound(t *testing.T) {
	rounds, _ := roundsWithin(0)
	assert.Assert(t, rounds <= int(time.Second/roundGap)+1, "%d rounds in a second", rounds)
	now := bootTime()
	assert.Equal(t, untilRound(pastRound{at: now.Add(-time.Second)}, now), time.Duration(0), "one that comes alone does not wait")
}

func TestLongRoundsLeaveTheProcessorToPollsAndAnswers(t *testing.T) {
	for _, took := range []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		rounds, busy := roundsWithin(took)
		assert.Assert(t, busy <= time.Second*3/10, "rounds of %v take %v of a second", took, busy)
		assert.Assert(t, rounds >= 5, "%d rounds of %v in a second", rounds, took)
	}
}

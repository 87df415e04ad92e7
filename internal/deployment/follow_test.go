package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWhoIsFarFromTheLeaseAsksTheStoreSeldom(t *testing.T) {
	for sentence, c := range map[string]struct {
		holds bool
		place int
		want  time.Duration
	}{
		"the leader schedules what it finds": {true, 0, leaderGap},
		"the next one":                       {false, 0, othersGap},
		"the last one in line":               {false, inLine, othersGap},
		"behind those in line":               {false, inLine + 1, restGap},
	} {
		t.Run(sentence, func(t *testing.T) { assert.Equal(t, tableGap(c.holds, c.place), c.want) })
	}
}

func TestWhoIsFarFromTheLeaseSeesARenewalBeforeItSuspectsTheHolder(t *testing.T) {
	turn := time.Duration(inLine+1) * candidateStep
	assert.Assert(t, restGap+renewEvery < suspectAfter+turn)
}

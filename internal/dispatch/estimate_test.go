package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// drawn is a step whose run time and declared time stray by the given spreads
// around seven seconds.
func drawn(random *rand.Rand, tookSpread, offSpread float64) (*step, time.Duration) {
	took := 7000 * math.Exp(random.NormFloat64()*tookSpread)
	declared := took * math.Exp(random.NormFloat64()*offSpread)
	s := &step{job: &job{Job: &workload.Job{Queue: "q"}}, spec: &workload.Step{EstimateMS: int64(declared) + 1}}
	return s, time.Duration(took) * time.Millisecond
}

func TestEstimatesTrustWhateverStraysLess(t *testing.T) {
	for name, c := range map[string]struct{ took, off, error float64 }{
		"like tasks, declared far off": {0.3, 0.9, 0.45},
		"unlike tasks, declared well":  {0.9, 0.2, 0.35},
		"both middling":                {0.5, 0.5, 0.55},
		"like tasks, declared well":    {0.2, 0.2, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := newEstimates()
			sum, n := 0.0, 0
			for i := range 400 {
				s, took := drawn(random, c.took, c.off)
				if i >= 50 {
					sum += math.Abs(math.Log(float64(e.of(s)) / float64(took)))
					n++
				}
				e.learn(s, took, 0)
			}
			assert.Assert(t, sum/float64(n) < c.error, "off by a factor of e^%.2f on average", sum/float64(n))
		})
	}
}

func TestOneWrongDeclarationDoesNotMakeAGangWaitForItsRackForLong(t *testing.T) {
	b := newBench(t, 20, false) // two racks of ten
	for n := range 8 {
		past := singleJob(fmt.Sprintf("past-%d", n), "batch", "other", 1, 1)
		past.Steps[0].EstimateMS = []int64{1000, 9000}[n%2]
		b.add(past)
		b.pass(3 * time.Second)
		b.endAll(workload.EndDone)
		b.pass(200 * time.Millisecond)
	}
	for _, rack := range []string{"r0", "r1"} {
		filler := singleJob("filler "+rack, "batch", "other", 7, 8)
		filler.Steps[0].DataRack = rack
		b.add(filler)
	}
	b.pass(time.Second)
	gang := gangJob("gang", "batch", "other", 4, 8)
	gang.Steps[0].OneRack, gang.Steps[0].EstimateMS = true, 60_000
	b.add(gang)
	b.pass(8 * time.Second)
	assert.Equal(t, b.runningOf("gang"), 4, "three workers are free on each rack")
}

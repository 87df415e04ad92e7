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

// randomStep returns a step whose run time and declared time vary around seven seconds with the
// given spreads, and the run time.
func randomStep(random *rand.Rand, runTimeSpread, declaredErrorSpread float64) (*step, time.Duration) {
	runTime := 7000 * math.Exp(random.NormFloat64()*runTimeSpread)
	declared := runTime * math.Exp(random.NormFloat64()*declaredErrorSpread)
	s := &step{job: &job{Job: &workload.Job{Queue: "q"}}, spec: &workload.Step{EstimateMS: int64(declared) + 1}}
	return s, time.Duration(runTime) * time.Millisecond
}

func TestEstimatesTrustWhateverStraysLess(t *testing.T) {
	for name, c := range map[string]struct{ runTime, declaredError, error float64 }{
		"similar tasks, inaccurate declarations":  {0.3, 0.9, 0.45},
		"dissimilar tasks, accurate declarations": {0.9, 0.2, 0.35},
		"moderate variation of both":              {0.5, 0.5, 0.55},
		"similar tasks, accurate declarations":    {0.2, 0.2, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := newEstimates()
			sum, n := 0.0, 0
			for i := range 400 {
				s, runTime := randomStep(random, c.runTime, c.declaredError)
				if i >= 50 {
					sum += math.Abs(math.Log(float64(e.taskDuration(s)) / float64(runTime)))
					n++
				}
				e.historyOf(s).learn(runTime, time.Duration(s.spec.EstimateMS)*time.Millisecond)
				e.observations++
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
		b.advance(3 * time.Second)
		b.endAll(workload.CompletionDone)
		b.advance(200 * time.Millisecond)
	}
	for _, rack := range []string{"r0", "r1"} {
		filler := singleJob("filler "+rack, "batch", "other", 7, 8)
		filler.Steps[0].DataRack = rack
		b.add(filler)
	}
	b.advance(time.Second)
	gang := gangJob("gang", "batch", "other", 4, 8)
	gang.Steps[0].RackSensitive, gang.Steps[0].EstimateMS = true, 60_000
	b.add(gang)
	b.advance(8 * time.Second)
	assert.Equal(t, b.runningOf("gang"), 4, "three workers are free on each rack")
}

package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play observes a demand, as a function of the time in seconds, and returns the forecast at each
// tenth of a second.
func (f *demandForecast) play(duration time.Duration, demand func(s float64) float64) []float64 {
	var forecasts []float64
	for at := time.Duration(0); at < duration; at += 100 * time.Millisecond {
		f.observe(demand(at.Seconds()), testStart.Add(at))
		forecasts = append(forecasts, f.ahead())
	}
	return forecasts
}

func TestTheForecastFollowsABurstAndFades(t *testing.T) {
	var f demandForecast
	forecasts := f.play(20*time.Second, func(s float64) float64 {
		if s >= 8 && s < 12 {
			return 220
		}
		return 100
	})
	assert.Assert(t, math.Abs(forecasts[75]-100) < 5, "%.0f before the burst", forecasts[75])
	assert.Assert(t, forecasts[90] > 200, "%.0f a second after its start", forecasts[90])
	assert.Assert(t, forecasts[199] < 115, "%.0f eight seconds after its end", forecasts[199])
}

func TestTheForecastCoversTheRiseOfAWave(t *testing.T) {
	wave := func(s float64) float64 { return 100 * (1 + 0.5*math.Sin(2*math.Pi*s/12)) }
	var f demandForecast
	forecasts := f.play(48*time.Second, wave)
	missing := 0
	for i := 240; i < 460; i++ {
		if forecasts[i] < wave(float64(i)/10+demandHorizon.Seconds()) {
			missing++
		}
	}
	assert.Assert(t, missing < 66, "less than needed in %d of 220 tenths of a second", missing)
}

// Urgent gangs arrive each half second on a deployment that ordinary work with checkpoints would
// fill. Stops take longer than the callers of urgent work allow.
func TestOrdinaryWorkDoesNotStartWhereUrgentWorkArrives(t *testing.T) {
	stopped := func(without ...Mechanism) int {
		b := newBench(t, 20, false)
		bounds := testBounds
		bounds.MaxStopTime = 900 * time.Millisecond
		b.core = New(bounds, 2, b.now, time.Time{})
		b.core.Configure(testConfig())
		b.core.Tune(Tuning{Without: without})
		b.listWorkers()
		b.stopTakes = 300 * time.Millisecond
		for n := range 12 {
			filler := singleJob(fmt.Sprintf("filler%d", n), "batch", "other", 40, 1)
			filler.Steps[0].Checkpoints = true
			b.add(filler)
		}
		for n := range 24 {
			id := fmt.Sprintf("urgent%d", n)
			b.add(gangJob(id, "urgent", "other", 1, 8))
			b.advance(500 * time.Millisecond)
			if n >= 4 {
				b.completeJob(fmt.Sprintf("urgent%d", n-4))
			}
		}
		return b.stops
	}
	with, without := stopped(), stopped(MechDemandForecast)
	assert.Assert(t, 2*with < without, "%d stops, %d without the forecast", with, without)
}

package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAProcessSpinsOnceItTakesAllForSeconds(t *testing.T) {
	for sentence, c := range map[string]struct {
		used []time.Duration
		want []bool
	}{
		"a busy second is no spin":         {[]time.Duration{400, 100, 400, 400, 400}, []bool{false, false, false, false, false}},
		"four in a row are":                {[]time.Duration{400, 390, 400, 370}, []bool{false, false, false, true}},
		"it is told once":                  {[]time.Duration{400, 400, 400, 400, 400, 400, 400, 400, 400}, []bool{false, false, false, true, false, false, false, false, false}},
		"a busy leader is far from it":     {[]time.Duration{160, 200, 160, 180, 200}, []bool{false, false, false, false, false}},
		"it begins anew after a calm look": {[]time.Duration{400, 400, 400, 10, 400, 400, 400, 400}, []bool{false, false, false, false, false, false, false, true}},
	} {
		t.Run(sentence, func(t *testing.T) {
			w := busyLoopWatch{cores: 0.4}
			for n, used := range c.used {
				assert.Equal(t, w.sees(used*time.Millisecond, time.Second), c.want[n], "look %d", n)
			}
		})
	}
}

func TestProcessorTimeRises(t *testing.T) {
	before := processorTime()
	for sum := 0; processorTime() == before; sum++ {
		_ = sum
	}
	assert.Assert(t, processorTime() > before)
}

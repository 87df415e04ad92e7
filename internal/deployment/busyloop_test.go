package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestABusyLoopIsReportedAfterConsecutiveBusySamples(t *testing.T) {
	for name, c := range map[string]struct {
		used []time.Duration
		want []bool
	}{
		"one busy second is no busy loop":               {[]time.Duration{400, 100, 400, 400, 400}, []bool{false, false, false, false, false}},
		"four consecutive busy samples are a busy loop": {[]time.Duration{400, 390, 400, 370}, []bool{false, false, false, true}},
		"it is reported once":                           {[]time.Duration{400, 400, 400, 400, 400, 400, 400, 400, 400}, []bool{false, false, false, true, false, false, false, false, false}},
		"a busy leader stays below the threshold":       {[]time.Duration{160, 200, 160, 180, 200}, []bool{false, false, false, false, false}},
		"an idle sample resets the count":               {[]time.Duration{400, 400, 400, 10, 400, 400, 400, 400}, []bool{false, false, false, false, false, false, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			w := busyLoopDetector{cores: 0.4}
			for n, used := range c.used {
				assert.Equal(t, w.sample(used*time.Millisecond, time.Second), c.want[n], "sample %d", n)
			}
		})
	}
}

func TestProcessorTimeIncreases(t *testing.T) {
	before := processorTime()
	for sum := 0; processorTime() == before; sum++ {
		_ = sum
	}
	assert.Assert(t, processorTime() > before)
}

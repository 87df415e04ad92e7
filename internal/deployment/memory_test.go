package deployment

import (
	"runtime"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

// A leader with live memory near the limit must stay below it although its collector is set to
// let the heap grow to four times that.
func TestALeaderOnASmallInstanceStaysBelowItsMemoryLimit(t *testing.T) {
	settings := defaultSettings()
	settings.MemoryMB = 256
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	limitMemory(&settings)
	live := make([][]byte, 100)
	most := uint64(0)
	for n := range 4000 {
		live[n%len(live)] = make([]byte, 1<<20)
		if n%100 == 0 {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most = max(most, stats.HeapAlloc)
		}
	}
	runtime.KeepAlive(live)
	assert.Assert(t, most < 256<<20, "%d MB", most>>20)
}

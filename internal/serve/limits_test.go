package serve

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestGoroutineLimitRefusesNewWork(t *testing.T) {
	assert.NilError(t, checkGoroutineLimit(runtime.NumGoroutine()+1000))
	assert.Assert(t, api.IsKind(checkGoroutineLimit(1), api.KindQueueFull))
}

package serve

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestGoroutinesBoundNewWork(t *testing.T) {
	assert.NilError(t, withinGoroutines(runtime.NumGoroutine()+1000))
	assert.Assert(t, api.IsKind(withinGoroutines(1), api.KindQueueFull))
}

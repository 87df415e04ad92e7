package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestALeaseThatWasSeenToBeOverDoesNotComeBack(t *testing.T) {
	g := &grant{epoch: 1, until: bootTime().Add(-time.Millisecond)}
	assert.Assert(t, !g.valid())
	g.renewed(7, bootTime().Add(time.Hour)) // an answer that was under way
	assert.Assert(t, !g.valid(), "its conductor has stopped: nobody would schedule")
}

package deployment

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAPeerThatHasJustSaidHelloNeedsNone(t *testing.T) {
	p := newPeers()
	now := bootTime()
	assert.Assert(t, !p.heardSince("a", now.Add(-helloFresh)), "it has said nothing yet")
	p.set("a", peerView{at: now.Add(-helloFresh / 2)})
	assert.Assert(t, p.heardSince("a", now.Add(-helloFresh)))
	p.set("a", peerView{at: now.Add(-helloEvery)})
	assert.Assert(t, !p.heardSince("a", now.Add(-helloFresh)), "its next hello may be lost")
}

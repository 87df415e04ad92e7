package deployment

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNoHelloIsSentToAPeerThatJustSentOne(t *testing.T) {
	p := newPeers()
	now := bootTime()
	assert.Assert(t, !p.helloSince("a", now.Add(-helloSkipWindow)), "it has sent no hello yet")
	p.set("a", peerView{receivedAt: now.Add(-helloSkipWindow / 2)})
	assert.Assert(t, p.helloSince("a", now.Add(-helloSkipWindow)))
	p.set("a", peerView{receivedAt: now.Add(-helloInterval)})
	assert.Assert(t, !p.helloSince("a", now.Add(-helloSkipWindow)), "its next hello may be lost")
}

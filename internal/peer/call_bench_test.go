package peer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/peer"
)

// BenchmarkCall measures sequential calls over loopback.
func BenchmarkCall(b *testing.B) {
	addresses := addressBook{}
	start := func(id string) *peer.Node {
		node := peer.New(peer.Options{Instance: id, Listen: "127.0.0.1:0", Handler: handlerFunc(echo), Resolve: addresses.resolve})
		assert.NilError(b, node.Start())
		b.Cleanup(node.Close)
		addresses[id] = node.Addr()
		return node
	}
	a := start("a")
	start("b")
	for b.Loop() {
		_, err := a.Call(b.Context(), "b", configQuery(1))
		assert.NilError(b, err)
	}
}

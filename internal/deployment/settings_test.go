package deployment

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/inbound"
)

func TestInboundLimitsFollowTheMemoryAndTheDescriptors(t *testing.T) {
	const mb = 1 << 20
	for name, c := range map[string]struct {
		memoryMB    int64
		descriptors int
		own         Inbound
		want        inbound.Limits
	}{
		"descriptors are not known":       {256, 0, Inbound{}, inbound.Limits{Connections: 1024, PeerConnections: 1024, BodyBytes: 32 * mb, PeerBytes: 32 * mb}},
		"little memory":                   {64, 16_384, Inbound{}, inbound.Limits{Connections: 256, PeerConnections: 3072, BodyBytes: 8 * mb, PeerBytes: 8 * mb}},
		"few descriptors":                 {284, 4100, Inbound{}, inbound.Limits{Connections: 769, PeerConnections: 769, BodyBytes: 35.5 * mb, PeerBytes: 35.5 * mb}},
		"hardly any descriptors":          {284, 16, Inbound{}, inbound.Limits{Connections: 1, PeerConnections: 1, BodyBytes: 35.5 * mb, PeerBytes: 35.5 * mb}},
		"the settings go before all that": {64, 500, Inbound{1, 2, 3, 4}, inbound.Limits{Connections: 1, PeerConnections: 2, BodyBytes: 3 << 10, PeerBytes: 4 << 10}},
	} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.MemoryMB, settings.Descriptors, settings.Inbound = c.memoryMB, c.descriptors, c.own
			limits := settings.InboundLimits()
			assert.DeepEqual(t, limits, c.want)
			if used := limits.Connections + limits.PeerConnections + settings.WorkerConnections(); c.descriptors > 16 {
				assert.Assert(t, used <= c.descriptors, "%d of %d descriptors", used, c.descriptors)
			}
		})
	}
}

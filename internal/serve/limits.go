package serve

import (
	"cmp"
	"runtime"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/inbound"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// inboundLimits returns the bounds of what callers, operators and peers can make the process hold.
func inboundLimits(s *settings.Settings) inbound.Limits {
	limits, own := inbound.Derive(s.Limits.MemoryMB), s.Limits
	limits.Connections = min(limits.Connections, own.MaxConnections)
	limits.PeerConnections = cmp.Or(own.MaxPeerConnections, max(own.MaxConnections/2, 1))
	limits.BodyBytes = cmp.Or(own.MaxHeldBodyMB<<20, limits.BodyBytes)
	limits.PeerBytes = limits.BodyBytes
	return limits
}

// checkGoroutineLimit returns an error of KindQueueFull while the process has more
// goroutines than limit. Until some of them have ended, the instance accepts no
// new work and reports this to the load balancer; work in flight continues.
func checkGoroutineLimit(limit int) error {
	if running := runtime.NumGoroutine(); running > limit {
		return api.NewError(api.KindQueueFull, "%d goroutines run in this instance, its limit is %d", running, limit)
	}
	return nil
}

package slots

const (
	// needGain is the weight of the current load in the smoothed load. At two
	// demands a second the smoothed load follows a lasting change within a second
	// or two, but not random fluctuations: a slot that moves between instances is
	// unused for up to one DemandInterval.
	needGain = 0.5
	// needHysteresis is how far the smoothed load per server must pass a whole
	// number of slots before the need changes.
	needHysteresis = 0.3
)

// Need computes how many slots of each backend server an instance wants. It uses
// one number for all servers, because that fluctuates less than the use of a
// single server.
type Need struct {
	smoothedLoad float64
	wanted       int
}

// Update records the number of requests in flight and waiting and the number of
// backend servers that accept work, and returns the slots wanted of each server.
func (n *Need) Update(requests, servers int) int {
	load := float64(requests) / float64(max(servers, 1))
	n.smoothedLoad += needGain * (load - n.smoothedLoad)
	for float64(n.wanted) < n.smoothedLoad-needHysteresis && n.wanted < MaxPerInstance {
		n.wanted++
	}
	for float64(n.wanted) > n.smoothedLoad+1+needHysteresis {
		n.wanted--
	}
	return n.wanted
}

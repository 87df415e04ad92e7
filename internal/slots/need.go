package slots

const (
	// needGain is the weight of the present load in the smoothed one. At two
	// demands a second it follows a lasting change within a second or two, and
	// leaves the shares alone while the load only scatters: each move of a slot
	// costs its use for up to one DemandInterval.
	needGain = 0.5
	// needStep is how far the smoothed load must go beyond a whole slot for each
	// server before the need changes.
	needStep = 0.3
)

// Need is how many slots of each backend server an instance wants. One figure
// for all servers moves less by chance than the use of a single one.
type Need struct {
	smooth float64
	wanted int
}

// Update takes in the requests in flight and waiting, over the number of backend
// servers that take work, and returns the slots wanted of each.
func (n *Need) Update(requests, servers int) int {
	load := float64(requests) / float64(max(servers, 1))
	n.smooth += needGain * (load - n.smooth)
	for float64(n.wanted) < n.smooth-needStep && n.wanted < MaxPerInstance {
		n.wanted++
	}
	for float64(n.wanted) > n.smooth+1+needStep {
		n.wanted--
	}
	return n.wanted
}

package deployment

import (
	"cmp"
	"time"
)

// This file ranks the instances for the lease. Where instances differ in size, a small
// leader is overloaded by bursts: it renews late, is replaced by another small one, and
// so on. The larger instances therefore take the lease first, and a small leader hands it
// over to a larger instance that is available, once every worker has answered.

const (
	// initialLeaseWait is the time that an instance waits before it takes a lease that
	// was never held: two hello intervals, after which it has normally received hellos
	// of the larger instances.
	initialLeaseWait = 2 * helloInterval
	// yieldFactor is the factor by which another instance must be larger for a
	// handover, which costs a poll of every worker.
	yieldFactor = 1.5
	// yieldAfter is the minimum time between taking the lease and handing it over:
	// several hellos, so that the lease does not move to a peer that keeps appearing
	// and disappearing.
	yieldAfter = 3 * time.Second
)

// peerSize is an instance and the processor time that it may use, in cores.
type peerSize struct {
	addr  string
	cores float64
}

// compareSize orders instances by their preference for leading: the larger one first,
// then the one with the smaller address, so that all instances agree.
func compareSize(a, b peerSize) int {
	return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.addr, b.addr))
}

// rankAmong returns how many of the others rank before an instance.
func rankAmong(self peerSize, others []peerSize) int {
	rank := 0
	for _, other := range others {
		if compareSize(other, self) < 0 {
			rank++
		}
	}
	return rank
}

// anyLarger reports whether one of the others is more than factor times as large.
func anyLarger(self peerSize, others []peerSize, factor float64) bool {
	for _, other := range others {
		if other.cores > factor*self.cores {
			return true
		}
	}
	return false
}

package deployment

import (
	"cmp"
	"time"
)

// This file decides which instance schedules. It answers deployments whose instances
// differ in size, and bursts that a small one cannot carry: it renews late, is replaced
// by another small one, and so on. So the larger instances take the lease first, and a
// small leader hands it on, once every worker has answered, to a larger one that is there.

const (
	// firstWait is how long an instance waits before it takes a lease that nobody
	// ever had: two hellos to each peer, after which it knows the larger ones.
	firstWait = 2 * helloEvery
	// yieldFactor is by how much larger another instance must be for a handover,
	// which costs a poll at every worker.
	yieldFactor = 1.5
	// yieldAfter is the least time between taking the lease and handing it on: some
	// hellos, so that a peer that comes and goes does not take the lease with it.
	yieldAfter = 3 * time.Second
)

// peerSize is an instance and the processor time that it may use, in cores.
type peerSize struct {
	addr  string
	cores float64
}

// compareSize puts the instance first that should schedule: the larger one, then
// the one whose address comes first, so that all instances agree.
func compareSize(a, b peerSize) int {
	return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.addr, b.addr))
}

// placeAmong is how many of the others come before an instance.
func placeAmong(self peerSize, others []peerSize) int {
	place := 0
	for _, other := range others {
		if compareSize(other, self) < 0 {
			place++
		}
	}
	return place
}

// anyLarger reports whether one of the others is larger by a factor.
func anyLarger(self peerSize, others []peerSize, factor float64) bool {
	for _, other := range others {
		if other.cores > factor*self.cores {
			return true
		}
	}
	return false
}

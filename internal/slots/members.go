// Package slots shares the slots of each backend server between the entry
// instances of an availability zone, so that together they never use more slots
// than the server has. It does no I/O: the time is passed in, and the caller must
// serialize the calls.
//
// Load pattern: several instances send requests to the same backend servers, and
// their load differs between instances and over time.
//
// Without sharing, every instance counts only its own requests: eight instances
// with a limit of eight each send 64 requests to a backend server with eight
// slots. With fixed shares, the slots of an idle instance stay unused while
// callers wait at a busy one.
//
// Algorithm: each instance of the zone has an equal share of the slots (Members).
// It lends its share to the owner of the backend server, which is chosen by
// rendezvous hashing, and the owner grants the shares lent to it to the instances
// that need them (Owner, Holder). At any time a share belongs either to its
// instance or to one owner, independent of the instances' views of each other, so
// differing views cannot make the sum exceed the slots.
// docs/design/010-slot-sharing.md compares this with fixed shares and with shares
// moved without an owner.
package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// GrantValidity is how long a grant is valid, counted by the holder from the
	// sending of its demand. It is three times DemandInterval, so that the grant
	// survives one lost demand.
	GrantValidity = 1500 * time.Millisecond
	// LoanDuration is how long an instance neither uses a share that it has lent
	// nor lends it to another owner, counted from its last demand. The owner can
	// use the share across one lost demand.
	LoanDuration = 3 * time.Second
	// LoanMargin is subtracted by the owner from the end of a loan, to allow for
	// clocks that run at different rates.
	LoanMargin = 100 * time.Millisecond
	// ViewWindow is how long a replaced view still limits the shares, and how
	// long a new instance has no share. It must exceed LoanDuration and the delay
	// with which instances discover each other.
	ViewWindow = 3500 * time.Millisecond
	// PauseLimit is the longest allowed time between two calls of Set. After a
	// longer one the process is assumed to have been frozen: its list may be
	// outdated, so it starts again like a new instance.
	PauseLimit = time.Second
	// OwnerTimeout is how long an owner may leave demands unanswered before an
	// instance stops lending to it.
	OwnerTimeout = time.Second
	// DemandInterval is the longest time between two demands to an owner.
	DemandInterval = 500 * time.Millisecond
	// DemandMinInterval is the shortest time between two demands, used when the
	// demand has changed.
	DemandMinInterval = 50 * time.Millisecond
	// MaxPerInstance is the maximum number of slots of one backend server that one
	// instance may use: a backend server's 60 connections, shared by eight
	// instances.
	MaxPerInstance = 7
)

// view is one list of members and the time at which it was replaced.
type view struct {
	ids []string
	// replacedAt is zero for the view in force.
	replacedAt time.Time
}

// Members tracks the instances of the zone that share the slots.
type Members struct {
	views   []view
	live    []string
	lastSet time.Time
}

// NewMembers returns an empty list. No instance has a share until ViewWindow
// after now, or after the first call of Set if that is later than PauseLimit.
func NewMembers(now time.Time) *Members {
	return &Members{views: []view{{replacedAt: now}}, lastSet: now}
}

// Set replaces the members. The slice listed contains all instances of the zone
// that may be running, including partitioned ones; live contains this instance
// and those it receives messages from. Both may be in any order.
func (m *Members) Set(listed, live []string, now time.Time) {
	m.live = slices.Sorted(slices.Values(live))
	sorted := slices.Sorted(slices.Values(listed))
	if now.Sub(m.lastSet) > PauseLimit {
		m.views = []view{{replacedAt: now}}
	}
	m.lastSet = now
	current := &m.views[len(m.views)-1]
	if current.replacedAt.IsZero() && slices.Equal(current.ids, sorted) {
		m.dropOldViews(now)
		return
	}
	if current.replacedAt.IsZero() {
		current.replacedAt = now
	}
	m.views = append(m.views, view{ids: sorted})
	m.dropOldViews(now)
}

// dropOldViews removes the views replaced more than ViewWindow ago.
func (m *Members) dropOldViews(now time.Time) {
	m.views = slices.DeleteFunc(m.views, func(v view) bool {
		return !v.replacedAt.IsZero() && now.Sub(v.replacedAt) > ViewWindow
	})
}

// Live returns the live instances, sorted. The caller must not modify the slice.
func (m *Members) Live() []string { return m.live }

// Share returns the number of a backend server's slots that belong to the
// instance: the minimum over all views within ViewWindow, or zero if the last call
// of Set is more than PauseLimit ago.
func (m *Members) Share(id, backendServer string, slots int, now time.Time) int {
	if now.Sub(m.lastSet) > PauseLimit {
		return 0
	}
	share := slots
	for _, v := range m.views {
		if v.replacedAt.IsZero() || now.Sub(v.replacedAt) <= ViewWindow {
			share = min(share, v.share(id, backendServer, slots))
		}
	}
	return share
}

// share divides slots evenly. The remainder goes to consecutive instances,
// starting at a position that depends on the backend server.
func (v view) share(id, backendServer string, slots int) int {
	rank, found := slices.BinarySearch(v.ids, id)
	if !found {
		return 0
	}
	share := slots / len(v.ids)
	if rotatedRank(rank, len(v.ids), backendServer) < slots%len(v.ids) {
		share++
	}
	return share
}

// rotatedRank returns the rank of an instance in an order rotated by a hash of
// the backend server's id.
func rotatedRank(rank, instances int, backendServer string) int {
	return (rank + int(xxhash.Sum64String(backendServer)%uint64(instances))) % instances
}

// OwnerOf returns the instance that grants the slots of a backend server, chosen
// by rendezvous hashing over the live instances, or "" if there are none.
func (m *Members) OwnerOf(backendServer string) string {
	owner := ""
	var best uint64
	for _, id := range m.live {
		if score := rendezvousScore(id, backendServer); owner == "" || score > best {
			owner, best = id, score
		}
	}
	return owner
}

func rendezvousScore(instance, backendServer string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(instance)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(backendServer)
	return digest.Sum64()
}

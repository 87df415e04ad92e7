// Package slots shares the slots of each backend server between the entry
// instances of an availability zone, so that together they never use more than
// there are. It is pure: the time is passed in, and the caller serializes the
// calls.
//
// Load pattern: several instances send to the same backend servers, and their
// load differs from each other and from moment to moment.
//
// Without it every instance counts only its own requests: eight instances with
// a bound of eight each put 64 requests on a backend server of eight slots. With
// fixed shares the slots of an idle instance stay empty while callers wait at
// a busy one.
//
// The way: each instance of the zone has an equal share of the slots (Members).
// It lends its share to the owner of the backend server, which is found by
// rendezvous hash, and the owner grants all shares lent to it to whoever needs
// them (Owner, Holder). A share is in one place at a time, with its instance or
// with one owner, whatever instances believe about each other, so views that
// differ cannot make the sum exceed the slots. docs/design/010-slot-sharing.md
// weighs this against fixed shares and against shares moved without an owner.
package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// GrantValidity is the life of a grant, counted by the holder from when it
	// sent its demand: three times DemandInterval, so that one lost demand does
	// not cost the grant.
	GrantValidity = 1500 * time.Millisecond
	// LoanLength is how long an instance keeps from using or lending elsewhere
	// the share that it lent, counted from its last demand. It leaves the owner
	// one lost demand before it has to stop counting on the share.
	LoanLength = 3 * time.Second
	// LoanMargin is subtracted by the owner from the end of a loan, for clocks
	// that run at different rates.
	LoanMargin = 100 * time.Millisecond
	// ViewWindow is how long a view that is no longer in force still bounds the
	// shares, and how long a new instance has none. It must exceed the lag with
	// which instances learn of each other, and LoanLength.
	ViewWindow = 3500 * time.Millisecond
	// PauseLimit is the longest time between two calls of Set. After a longer one
	// the process was frozen, its list may be old, and it starts as a new one.
	PauseLimit = time.Second
	// SilenceLimit is how long an owner may leave demands unanswered before
	// the instance stops lending to it.
	SilenceLimit = time.Second
	// DemandInterval is the longest time between two demands.
	DemandInterval = 500 * time.Millisecond
	// DemandMinInterval is the shortest, when the demand changed.
	DemandMinInterval = 50 * time.Millisecond
	// MaxPerInstance bounds what one instance may use of one backend server: the
	// 60 connections of a backend server, shared by eight instances.
	MaxPerInstance = 7
)

// view is one list of members and when it was replaced.
type view struct {
	ids []string
	// until is zero for the view in force.
	until time.Time
}

// Members knows the instances of the zone that share the slots.
type Members struct {
	views   []view
	live    []string
	lastSet time.Time
}

// NewMembers returns an empty list, in which nobody has a share until
// ViewWindow after the first Set.
func NewMembers(now time.Time) *Members {
	return &Members{views: []view{{until: now}}, lastSet: now}
}

// Set replaces the members. Listed are all instances of the zone that may be
// alive, cut off or not; live are those from which this instance hears, with
// itself. Both may be in any order.
func (m *Members) Set(listed, live []string, now time.Time) {
	m.live = slices.Sorted(slices.Values(live))
	sorted := slices.Sorted(slices.Values(listed))
	if now.Sub(m.lastSet) > PauseLimit {
		m.views = []view{{until: now}}
	}
	m.lastSet = now
	last := &m.views[len(m.views)-1]
	if last.until.IsZero() && slices.Equal(last.ids, sorted) {
		m.trim(now)
		return
	}
	if last.until.IsZero() {
		last.until = now
	}
	m.views = append(m.views, view{ids: sorted})
	m.trim(now)
}

// trim forgets views that ended before the window.
func (m *Members) trim(now time.Time) {
	m.views = slices.DeleteFunc(m.views, func(v view) bool {
		return !v.until.IsZero() && now.Sub(v.until) > ViewWindow
	})
}

// Live returns the instances heard from, sorted. The caller must not change it.
func (m *Members) Live() []string { return m.live }

// Share returns the part of a backend server's slots that belongs to the
// instance: the smallest one of all views in the window.
func (m *Members) Share(id, backendServer string, slots int, now time.Time) int {
	if now.Sub(m.lastSet) > PauseLimit {
		return 0
	}
	share := slots
	for _, v := range m.views {
		if v.until.IsZero() || now.Sub(v.until) <= ViewWindow {
			share = min(share, v.share(id, backendServer, slots))
		}
	}
	return share
}

// share divides slots evenly. The remainder goes to instances that follow each
// other in order, from another one for each backend server.
func (v view) share(id, backendServer string, slots int) int {
	rank, found := slices.BinarySearch(v.ids, id)
	if !found {
		return 0
	}
	share := slots / len(v.ids)
	if turned(rank, len(v.ids), backendServer) < slots%len(v.ids) {
		share++
	}
	return share
}

// turned is the rank of an instance in an order that starts elsewhere for each
// backend server.
func turned(rank, instances int, backendServer string) int {
	return (rank + int(xxhash.Sum64String(backendServer)%uint64(instances))) % instances
}

// OwnerOf returns the instance that grants the slots of a backend server, by
// rendezvous hash over the live instances; empty if there are none.
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

// Package zone decides what an instance may do depending on what it can reach:
// the platform's store, peers of its own availability zone, and peers of other
// zones.
//
// A network partition may separate availability zones from each other and from
// the platform, in any combination. Without these rules an instance would
// either stop serving requests that it can still serve, or continue with
// actions that are only safe with the store's row or a current epoch. The
// package has no thresholds: the caller measures reachability and decides after
// what time without an answer something counts as unreachable.
package zone

// Reach describes what an instance can currently reach.
type Reach struct {
	// Store reports whether the platform's tables answer.
	Store bool
	// ZonePeers and OtherPeers count the live peers in this availability zone
	// and in the other zones.
	ZonePeers, OtherPeers int
}

// Peers reports whether any peer is reachable.
func (r Reach) Peers() bool { return r.ZonePeers+r.OtherPeers > 0 }

// Situation holds all inputs of Decide.
type Situation struct {
	Reach Reach
	// Configured reports whether a configuration is in force on this instance.
	Configured bool
	// Leaving reports whether this instance is shutting down.
	Leaving bool
	// Placer reports whether this instance took the placer lease of its zone
	// and has not released it.
	Placer bool
	// LeaseValid reports whether the lease has not expired by the local clock.
	LeaseValid bool
	// Epoch is the epoch of the lease held. HighestEpoch is the highest epoch
	// seen in this zone, from peers, workers or the store.
	Epoch, HighestEpoch int64
}

// Source is the origin of the configuration.
type Source string

// The sources of the configuration.
const (
	// SourceStore reads the head row of the store.
	SourceStore Source = "store"
	// SourcePeers takes the highest version that a peer has.
	SourcePeers Source = "peers"
	// SourceKeep keeps the version in force.
	SourceKeep Source = "keep"
	// SourceNone means that no configuration is available: the instance is not
	// ready.
	SourceNone Source = "none"
)

// Starts selects the waiting jobs that the placer may start.
type Starts string

// The sets of jobs that the placer may start.
const (
	// StartsAll permits every job.
	StartsAll Starts = "all"
	// StartsIdempotent permits accepted idempotent jobs only: starting any
	// other job requires its row.
	StartsIdempotent Starts = "idempotent"
	// StartsNone permits no new starts.
	StartsNone Starts = "none"
)

// Permission lists what the instance may do, with the reason.
type Permission struct {
	// Ready permits accepting callers' requests that need no claim.
	Ready bool
	// Claims permits accepting keyed requests that are not idempotent, and new
	// jobs: both need a row in the store.
	Claims bool
	// Spill permits forwarding requests to other availability zones.
	Spill bool
	// TakePlacer permits attempts to acquire the placer lease, which requires
	// the store but no peer.
	TakePlacer bool
	// RenewGangs permits renewing running gangs, which keeps them alive.
	RenewGangs bool
	Starts     Starts
	Config     Source
	// Reason is a short explanation of Starts.
	Reason string
}

// Decide returns what an instance may do in situation s.
func Decide(s Situation) Permission {
	ready := s.Configured && !s.Leaving
	p := Permission{
		Ready:  ready,
		Claims: ready && s.Reach.Store,
		Spill:  ready && s.Reach.OtherPeers > 0,
		Config: configSource(s),
	}
	p.Starts, p.Reason = allowedStarts(s)
	p.RenewGangs = s.Placer && !superseded(s)
	p.TakePlacer = ready && s.Reach.Store && (!s.Placer || superseded(s))
	return p
}

func configSource(s Situation) Source {
	switch {
	case s.Reach.Store:
		return SourceStore
	case s.Reach.Peers():
		return SourcePeers
	case s.Configured:
		return SourceKeep
	default:
		return SourceNone
	}
}

// superseded reports whether a higher epoch than that of this instance's lease
// has been seen, so that another holder has acquired the lease since.
func superseded(s Situation) bool { return s.HighestEpoch > s.Epoch }

func allowedStarts(s Situation) (Starts, string) {
	switch {
	case !s.Placer:
		return StartsNone, "not the placer"
	case superseded(s):
		return StartsNone, "a higher epoch is known"
	case !s.Configured:
		return StartsNone, "no configuration"
	case s.Leaving:
		return StartsNone, "leaving"
	case s.Reach.Store && s.LeaseValid:
		return StartsAll, "lease valid and store reached"
	case s.Reach.Store:
		return StartsNone, "lease lapsed; the store decides who is next"
	case s.Reach.Peers():
		return StartsIdempotent, "store not reached; peers know of no higher epoch"
	default:
		return StartsNone, "neither store nor any peer reached"
	}
}

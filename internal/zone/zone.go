// Package zone decides what an instance may do by what it reaches: the
// platform's store, peers of its own availability zone, peers of other zones.
//
// It answers the pattern in which a network partition cuts availability zones
// off from each other and from the platform, in any combination. Without it an
// instance would either stop serving what it can still serve, or go on doing
// what only the store's row or a current epoch makes safe. There are no
// thresholds here: how long a silence means "not reached" is the business of
// the caller, who measures it.
package zone

// Reach is what an instance reaches at the moment.
type Reach struct {
	// Store says that the platform's tables answer.
	Store bool
	// ZonePeers and OtherPeers count the live peers in this availability zone
	// and in the others.
	ZonePeers, OtherPeers int
}

// Peers reports whether any peer is reached.
func (r Reach) Peers() bool { return r.ZonePeers+r.OtherPeers > 0 }

// Situation is everything that the decision depends on.
type Situation struct {
	Reach Reach
	// Configured says that a configuration is in force here.
	Configured bool
	// Leaving says that this instance is shutting down.
	Leaving bool
	// Placer says that this instance took the placer lease of its zone and has
	// not given it up.
	Placer bool
	// LeaseValid says that the lease has not lapsed by the local clock.
	LeaseValid bool
	// Epoch is the epoch of the lease held; HighestEpoch is the highest one
	// heard of in this zone, from peers, workers or the store.
	Epoch, HighestEpoch int64
}

// Source says where the configuration comes from.
type Source string

// The sources of the configuration.
const (
	// SourceStore reads the head row.
	SourceStore Source = "store"
	// SourcePeers takes the highest version that a peer has.
	SourcePeers Source = "peers"
	// SourceKeep stays with the version in force.
	SourceKeep Source = "keep"
	// SourceNone has none: the instance is not ready.
	SourceNone Source = "none"
)

// Starts says which waiting jobs the placer may start.
type Starts string

// What the placer may start.
const (
	// StartsAll starts every job.
	StartsAll Starts = "all"
	// StartsIdempotent starts accepted idempotent jobs only: starting another
	// one needs its row.
	StartsIdempotent Starts = "idempotent"
	// StartsNone starts nothing new.
	StartsNone Starts = "none"
)

// Permission is what the instance may do, with the reason.
type Permission struct {
	// Ready takes callers' requests that need no claim.
	Ready bool
	// Claims takes keyed requests that are not idempotent, and new jobs: both
	// need a row of the store.
	Claims bool
	// Spill forwards requests to other availability zones.
	Spill bool
	// TakePlacer tries to take the placer lease, which goes by the store alone.
	TakePlacer bool
	// RenewGangs keeps running gangs alive.
	RenewGangs bool
	Starts     Starts
	Config     Source
	// Reason is one short sentence for the log, about the placer role.
	Reason string
}

// Decide returns what an instance may do in a situation.
func Decide(s Situation) Permission {
	ready := s.Configured && !s.Leaving
	p := Permission{
		Ready:  ready,
		Claims: ready && s.Reach.Store,
		Spill:  ready && s.Reach.OtherPeers > 0,
		Config: configSource(s),
	}
	p.Starts, p.Reason = starts(s)
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

// superseded reports whether another instance took the placer lease since.
func superseded(s Situation) bool { return s.HighestEpoch > s.Epoch }

func starts(s Situation) (Starts, string) {
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

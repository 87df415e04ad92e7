package deployment

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file decides when this instance may take the lease, and takes it.

// canTake reports whether the lease appears to be free to this instance: it was never
// held or was released, it has expired, or its leader does not answer or does not hold it
// any more. A leader that does not answer may still consider its lease valid; an instance
// that takes the lease early must allow for that (grant.predecessorUntil).
func (l *lease) canTake(ctx context.Context) bool {
	return l.eligible() && l.takeReason(ctx, l.replica.seenLeader()) != ""
}

// takeReason returns why the lease may be taken from the given leader row, or "" if it
// may not. Only that row may then be replaced: while the leader is being asked, another
// instance may write the row.
func (l *lease) takeReason(ctx context.Context, seen seenLeader) string {
	now := bootTime()
	delay := l.turnDelay()
	age := now.Sub(seen.firstSeen)
	switch {
	case seen.version == 0:
		if now.Sub(l.startedAt) < initialLeaseWait+delay {
			return ""
		}
		return "the lease was never held"
	case seen.Released:
		if age < delay {
			return ""
		}
		return "released"
	case seen.Leader == l.self && !anyLarger(l.size(), l.otherInstances(), yieldFactor):
		return "held by an earlier process at this address"
	}
	if l.isUnresponsive(seen) && age >= suspectAfterMissedPings+delay {
		return "leader answers no pings"
	}
	if age < suspectAfter+delay || age < leaseDuration+leaseMargin+delay && !l.tuning.enabled(mechEarlyReplacement) {
		return ""
	}
	if holds, err := l.askHolder(ctx, seen.Leader); err != nil {
		return "leader does not answer: " + err.Error()
	} else if !holds {
		return "leader does not hold it"
	}
	// The leader answers and waits for the store like all others, or cannot reach the
	// store although others can. Either way it has had its head start.
	if age >= leaseDuration+leaseMargin+delay && (l.storeStable(leaderHeadStart) || !l.tuning.enabled(mechKeepLeaseInOutages)) {
		return "not renewed"
	}
	return ""
}

// isUnresponsive reports whether the leader left the last missedPingLimit pings
// unanswered.
func (l *lease) isUnresponsive(seen seenLeader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.missedPings >= missedPingLimit && l.pingedLeader.Leader == seen.Leader
}

// watchLeader pings the leader if this instance is among the next in line for the
// lease.
func (l *lease) watchLeader(ctx context.Context) {
	answered := true
	for ctx.Err() == nil {
		if answered {
			pause(ctx, pingInterval)
		}
		seen := l.replica.seenLeader()
		if answered = seen.version == 0 || seen.Released || seen.Leader == l.self || rankAmong(l.size(), l.otherCandidates()) > maxNextInLineRank; answered {
			continue // there is no leader to watch, or other instances watch it
		}
		start := bootTime()
		answered = l.ping(ctx, seen.Leader)
		l.recordPing(seen, answered)
		if !answered {
			pause(ctx, pingTimeout-bootTime().Sub(start)) // a refused connection fails at once
		}
	}
}

func (l *lease) recordPing(seen seenLeader, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered || l.pingedLeader.Leader != seen.Leader {
		l.missedPings = 0
	}
	if !answered {
		l.missedPings++
	}
	l.pingedLeader = seen
}

// askHolder asks an instance whether it holds the lease, within probeTimeout.
func (l *lease) askHolder(ctx context.Context, instance string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return l.holdsLease(ctx, instance)
}

func (l *lease) size() peerSize { return peerSize{l.self, l.cores} }

// turnDelay returns how long this instance waits for the candidates that rank before
// it.
func (l *lease) turnDelay() time.Duration {
	return time.Duration(rankAmong(l.size(), l.otherCandidates())) * candidateDelay
}

// tryTake tries to become the leader; it returns nil if it did not. It reads the row
// first, so that a delayed feed does not make a live leader look dead.
func (l *lease) tryTake(ctx context.Context) *grant {
	page, err := l.store.Read(ctx, workload.SourceOwn, mainPart, epochKey, leaderKey+"\x00")
	if err != nil {
		return nil
	}
	l.replica.apply(page.Rows)
	seen := l.replica.seenLeader()
	reason := l.takeReason(ctx, seen)
	if reason == "" {
		return nil
	}
	epochVersion := l.replica.version(epochKey)
	g := &grant{reason: reason, epoch: seen.Epoch + 1, hasPredecessor: seen.version != 0}
	if !seen.Released {
		g.predecessorUntil = seen.firstSeen.Add(leaseDuration)
	}
	// A leader that did not promise start intents may have started jobs without a
	// record of it, and until this leader has stored those records, it cannot promise
	// them either. The same holds for one that may yet store an intent which this leader does not read.
	sent := bootTime()
	g.trustIntents = g.hasPredecessor && seen.promisesIntents() && (g.predecessorOver(sent) || seen.promisesRefusableIntents())
	g.promise.init(l.tuning.enabled(dispatch.MechStoredStartIntents) && (g.trustIntents || !g.hasPredecessor))
	row := leaderRow{Leader: l.self, Epoch: g.epoch, StoresIntentsFenced: g.promise.strict}
	written, err := l.store.Write(ctx, workload.Write{
		Expect: []workload.Row{{Key: leaderKey, Version: seen.version}, {Key: epochKey, Version: epochVersion}},
		Put:    []workload.Row{{Key: leaderKey, Value: encode(row)}, {Key: epochKey, Value: encode(g.epoch)}},
	})
	if err != nil {
		l.logger.Warn("taking the lease failed", zap.Error(err))
		return nil
	}
	if written.Conflict {
		if !l.isOwnWrite(written.Rows, g) {
			l.replica.apply(written.Rows)
			return nil
		}
	} else {
		g.version, g.epochVersion = written.Version, written.Version
	}
	g.expiresAt = sent.Add(leaseDuration)
	l.replica.apply([]workload.Row{{Key: leaderKey, Value: encode(row), Version: g.version}})
	return g
}

// isOwnWrite reports whether a conflict was caused by this instance's own write, whose
// answer was lost on another route.
func (l *lease) isOwnWrite(rows []workload.Row, g *grant) bool {
	for _, row := range rows {
		switch row.Key {
		case leaderKey:
			var leader leaderRow
			if json.Unmarshal(row.Value, &leader) != nil || leader.Leader != l.self || leader.Epoch != g.epoch || leader.Released {
				return false
			}
			g.version = row.Version
		case epochKey:
			g.epochVersion = row.Version
		}
	}
	return g.version != 0 && g.epochVersion != 0
}

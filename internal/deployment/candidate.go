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

// free reports whether the lease may be taken, as far as this instance knows:
// it was released, or it is over, or its leader does not hold it any more. A
// leader that answers nobody may believe in its lease yet; whoever takes it
// early must reckon with that (grant.overlap).
func (l *lease) free(ctx context.Context) bool {
	return l.eligible() && l.whyFree(ctx, l.replica.seenLeader()) != ""
}

// whyFree says why the lease may be taken from the leader that was seen; empty if
// it may not. Only that row may then be replaced: while the leader is asked, the
// row may become another's.
func (l *lease) whyFree(ctx context.Context, seen seenLeader) string {
	now := bootTime()
	turn := l.turn()
	age := now.Sub(seen.since)
	switch {
	case seen.version == 0:
		if now.Sub(l.since) < firstWait+turn {
			return ""
		}
		return "nobody had it"
	case seen.Released:
		if age < turn {
			return ""
		}
		return "released"
	case seen.Leader == l.self && !anyLarger(l.size(), l.known(), yieldFactor):
		return "held by an earlier process at this address"
	}
	if l.isSilent(seen) && age >= suspectSilent+turn {
		return "leader answers no pings"
	}
	if age < suspectAfter+turn || age < leaseLength+leaseMargin+turn && !l.tuning.has(mechEarlyReplacement) {
		return ""
	}
	if holds, err := l.ask(ctx, seen.Leader); err != nil {
		return "leader does not answer: " + err.Error()
	} else if !holds {
		return "leader does not hold it"
	}
	// It is there, and waits for the store as everybody does, or cannot reach it
	// though others can: then it had its chance to be first.
	if age >= leaseLength+leaseMargin+turn && (l.steady(leaderFirst) || !l.tuning.has(mechOutages)) {
		return "not renewed"
	}
	return ""
}

// isSilent reports whether the leader left the last pings unanswered.
func (l *lease) isSilent(seen seenLeader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost >= silentPings && l.silent.Leader == seen.Leader
}

// watchLeader pings the leader, on those instances that are next in line.
func (l *lease) watchLeader(ctx context.Context) {
	answered := true
	for ctx.Err() == nil {
		if answered {
			pause(ctx, pingEvery)
		}
		seen := l.replica.seenLeader()
		if answered = seen.version == 0 || seen.Released || seen.Leader == l.self || placeAmong(l.size(), l.rivals()) > inLine; answered {
			continue // nobody to watch, or others do
		}
		began := bootTime()
		answered = l.pings(ctx, seen.Leader)
		l.notePing(seen, answered)
		if !answered {
			pause(ctx, pingTimeout-bootTime().Sub(began)) // a refused one fails at once
		}
	}
}

func (l *lease) notePing(seen seenLeader, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered || l.silent.Leader != seen.Leader {
		l.lost = 0
	}
	if !answered {
		l.lost++
	}
	l.silent = seen
}

// ask asks an instance whether it holds the lease.
func (l *lease) ask(ctx context.Context, instance string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return l.holds(ctx, instance)
}

func (l *lease) size() peerSize { return peerSize{l.self, l.cores} }

// turn is how long this instance leaves the lease to those that come before it.
func (l *lease) turn() time.Duration {
	return time.Duration(placeAmong(l.size(), l.rivals())) * candidateStep
}

// take tries to become the leader. It reads the row first: a feed that fell
// behind must not make a living leader look dead.
func (l *lease) take(ctx context.Context) *grant {
	page, err := l.store.Read(ctx, workload.SourceOwn, mainPart, epochKey, leaderKey+"\x00")
	if err != nil {
		return nil
	}
	l.replica.apply(page.Rows)
	seen := l.replica.seenLeader()
	why := l.whyFree(ctx, seen)
	if why == "" {
		return nil
	}
	epochVersion := l.replica.version(epochKey)
	g := &grant{why: why, epoch: seen.Epoch + 1, earlier: seen.version != 0}
	if !seen.Released {
		g.overlap = seen.since.Add(leaseLength)
	}
	// A leader that did not promise may have started what no record tells: nor can this
	// one promise, until it has stored that.
	g.trust = g.earlier && seen.Begins
	g.promise.begin(l.tuning.has(dispatch.MechStoredBegins) && (g.trust || !g.earlier))
	sent := bootTime()
	row := leaderRow{Leader: l.self, Epoch: g.epoch, Begins: g.promise.strict}
	written, err := l.store.Write(ctx, workload.Write{
		Expect: []workload.Row{{Key: leaderKey, Version: seen.version}, {Key: epochKey, Version: epochVersion}},
		Put:    []workload.Row{{Key: leaderKey, Value: encode(row)}, {Key: epochKey, Value: encode(g.epoch)}},
	})
	if err != nil {
		l.logger.Warn("taking the lease failed", zap.Error(err))
		return nil
	}
	if written.Conflict {
		if !l.mine(written.Rows, g) {
			l.replica.apply(written.Rows)
			return nil
		}
	} else {
		g.version, g.epochVersion = written.Version, written.Version
	}
	g.until = sent.Add(leaseLength)
	l.replica.apply([]workload.Row{{Key: leaderKey, Value: encode(row), Version: g.version}})
	return g
}

// mine reports whether a conflict is with this instance's own write, whose
// answer was lost on another path.
func (l *lease) mine(rows []workload.Row, g *grant) bool {
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

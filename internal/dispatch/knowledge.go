package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/corianderbank/corianderbank/internal/knowledge"
)

// A new leader restores what its predecessors learned. Without it the workers count as equal
// for the first seconds of each leader, and urgent gangs start on slow ones; where leaders
// change often, that is most of the time.

// restartPrecision bounds the precision of a speed that was observed before its worker
// restarted: the new incarnation may be another machine. It is too low for a known speed.
const restartPrecision = 8

// Knowledge returns what this leader has learned, for the next one.
func (c *Core) Knowledge() knowledge.Knowledge {
	k := knowledge.Knowledge{
		Speeds: make(map[string]knowledge.Speed), RunTimes: c.estimates.moments(),
		UrgentUse: maps.Clone(c.urgentUsage), Crashes: make(map[string][]int64),
		Unsound: c.unsoundWorkers(),
	}
	if c.speeds.unequal {
		for _, w := range c.fleet {
			if w.speed.isObserved() {
				k.Speeds[w.ID] = knowledge.Speed{
					Log: w.speed.observed, Precision: min(1/w.speed.observedVariance, maxPrecision), Incarnation: w.Incarnation,
				}
			}
		}
	}
	for addr, list := range c.machineCrashes {
		for _, m := range list {
			k.Crashes[addr] = append(k.Crashes[addr], c.wallMS-c.now.Sub(m.at).Milliseconds())
		}
	}
	return k
}

// Restore takes over what earlier leaders learned. Call it before the first event.
func (c *Core) Restore(k knowledge.Knowledge, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if !c.enabled(MechStoredKnowledge) {
		return
	}
	if c.enabled(MechWorkerSpeeds) {
		c.inheritedSpeeds = maps.Clone(k.Speeds)
	}
	c.estimates.restore(k.RunTimes)
	maps.Copy(c.urgentUsage, k.UrgentUse)
	for worker, unsound := range k.Unsound {
		c.soundness.Restore(worker, unsound, now)
	}
	for addr, list := range k.Crashes {
		for _, at := range list {
			age := time.Duration(max(wallMS-at, 0)) * time.Millisecond
			if age < crashMemory {
				c.machineCrashes[addr] = append(c.machineCrashes[addr], machineCrash{at: now.Add(-age)})
			}
		}
	}
}

// inheritSpeed gives a worker that is listed for the first time the speed that an earlier
// leader observed, and reports whether there was one.
func (c *Core) inheritSpeed(w *worker) bool {
	known, inherited := c.inheritedSpeeds[w.ID]
	if !inherited {
		return false
	}
	delete(c.inheritedSpeeds, w.ID)
	if known.Incarnation != w.Incarnation {
		known.Precision = min(known.Precision, restartPrecision)
	}
	w.speed = workerSpeed{settled: known.Log, precision: min(known.Precision, maxPrecision)}
	w.speed.compute(&c.speeds.speedPrior)
	return true
}

// useInheritedSpeeds makes inherited speeds effective before the first decision.
func (c *Core) useInheritedSpeeds() {
	c.compareSpeeds()
	c.findKinds()
	for _, w := range c.fleet {
		w.speed.compute(&c.speeds.speedPrior)
		w.speed.setFactor()
	}
	c.estimates.observations++ // the expected run times depend on the speeds
}

// afterRestart returns what a new incarnation of a worker keeps of the speed of the earlier
// one.
func (s *workerSpeed) afterRestart(prior *speedPrior) workerSpeed {
	if !s.isObserved() {
		return workerSpeed{}
	}
	kept := workerSpeed{settled: s.observed, precision: min(1/s.observedVariance, restartPrecision)}
	kept.compute(prior)
	kept.setFactor()
	return kept
}

// moments returns the observed run times.
func (e *estimates) moments() map[string]knowledge.RunTime {
	list := make(map[string]knowledge.RunTime, len(e.histories))
	for key, h := range e.histories {
		list[key] = knowledge.RunTime{
			Count: h.count, Time: h.runTime, TimeVariance: h.runTimeVariance,
			DeclaredError: h.declaredError, DeclaredErrorVariance: h.declaredErrorVariance,
		}
	}
	return list
}

// restore takes over observed run times.
func (e *estimates) restore(list map[string]knowledge.RunTime) {
	for key, r := range list {
		if r.Count < 1 {
			continue
		}
		e.histories[key] = &history{moments: moments{
			count: math.Floor(r.Count), runTime: r.Time, runTimeVariance: r.TimeVariance,
			declaredError: r.DeclaredError, declaredErrorVariance: r.DeclaredErrorVariance,
		}}
	}
	e.observations++
}

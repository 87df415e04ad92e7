package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// workerEntry is what is known of one worker.
type workerEntry struct {
	model.Worker
	// lastSeen is when the list named it or it reported.
	lastSeen time.Time
}

// workerListed takes in an entry of the instance list.
func (s *state) workerListed(listed api.ListedInstance, now time.Time) {
	entry := s.workerSeen(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return
	}
	entry.Addr = listed.Addr
	entry.Zone = listed.AvailabilityZone
	if listed.Leaving {
		entry.Health = next(s.workerSM, entry.Health, eventLeave)
	}
}

// workerReported takes in a worker's own report.
func (s *state) workerReported(report api.WorkerReport, now time.Time) {
	if _, ok := s.workers[report.ID]; !ok {
		return
	}
	entry := s.workerSeen(report.ID, report.Incarnation, now)
	if entry == nil {
		return
	}
	entry.Rack = report.Rack
	entry.Accelerators = report.Accelerators
	entry.LastReport = now
	entry.Health = next(s.workerSM, entry.Health, eventReport)
	if report.Leaving {
		entry.Health = next(s.workerSM, entry.Health, eventLeave)
	}
}

// workerSeen notes a sign of life and returns the entry; nil if the sign is
// older than what is known.
func (s *state) workerSeen(id string, incarnation int64, now time.Time) *workerEntry {
	entry, ok := s.workers[id]
	if !ok {
		entry = &workerEntry{}
		entry.ID = id
		entry.Incarnation = incarnation
		entry.Health = model.WorkerHealth(s.workerSM.Initial)
		s.workers[id] = entry
	}
	if incarnation < entry.Incarnation {
		return nil
	}
	if incarnation > entry.Incarnation {
		entry.Incarnation = incarnation
		entry.LastReport = time.Time{}
		entry.Health = next(s.workerSM, entry.Health, eventNewIncarnation)
	}
	entry.lastSeen = now
	return entry
}

// workerTick judges the silence of a worker that reported here before. Only
// the placer hears reports; elsewhere a worker stays suspect.
func (s *state) workerTick(id string, entry *workerEntry, listFresh bool, now time.Time) {
	if listFresh && now.Sub(entry.lastSeen) > s.thresholds.WorkerLoss {
		delete(s.workers, id)
		return
	}
	if entry.LastReport.IsZero() {
		return
	}
	silent := now.Sub(entry.LastReport)
	if silent > s.thresholds.WorkerSilence {
		entry.Health = next(s.workerSM, entry.Health, eventSilence)
	}
	if silent > s.thresholds.WorkerLoss {
		entry.Health = next(s.workerSM, entry.Health, eventLongSilence)
	}
}

func (s *state) zoneWorkers(zone string) []model.Worker {
	var workers []model.Worker
	for _, id := range sortedKeys(s.workers) {
		if entry := s.workers[id]; entry.Zone == zone {
			workers = append(workers, entry.Worker)
		}
	}
	return workers
}

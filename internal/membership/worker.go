package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// workerEntry is the known state of one worker.
type workerEntry struct {
	model.Worker
	// lastSeen is the time at which the list last contained it or it last
	// reported.
	lastSeen time.Time
}

// applyListedWorker applies an entry of the instance list.
func (s *state) applyListedWorker(listed api.ListedInstance, now time.Time) {
	entry := s.upsertWorker(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return
	}
	entry.Addr = listed.Addr
	entry.Zone = listed.AvailabilityZone
	if listed.Leaving {
		entry.Health = nextState(s.workerChart, entry.Health, eventLeave)
	}
}

// applyWorkerReport applies a worker's own report. Only the list adds workers.
func (s *state) applyWorkerReport(report api.WorkerReport, now time.Time) {
	if _, ok := s.workers[report.ID]; !ok {
		return
	}
	entry := s.upsertWorker(report.ID, report.Incarnation, now)
	if entry == nil {
		return
	}
	entry.Rack = report.Rack
	entry.Accelerators = report.Accelerators
	entry.LastReport = now
	entry.Health = nextState(s.workerChart, entry.Health, eventReport)
	if report.Leaving {
		entry.Health = nextState(s.workerChart, entry.Health, eventLeave)
	}
}

// upsertWorker returns the entry of a worker, created or updated for a signal
// of the given incarnation. It returns nil if the signal belongs to an earlier
// incarnation than the known one.
func (s *state) upsertWorker(id string, incarnation int64, now time.Time) *workerEntry {
	entry, ok := s.workers[id]
	if !ok {
		entry = &workerEntry{}
		entry.ID = id
		entry.Incarnation = incarnation
		entry.Health = model.WorkerHealth(s.workerChart.Initial)
		s.workers[id] = entry
	}
	if incarnation < entry.Incarnation {
		return nil
	}
	if incarnation > entry.Incarnation {
		entry.Incarnation = incarnation
		entry.LastReport = time.Time{}
		entry.Health = nextState(s.workerChart, entry.Health, eventNewIncarnation)
	}
	entry.lastSeen = now
	return entry
}

// checkWorkerTimeout applies the timeouts of a worker. Those for reports only
// apply to a worker that has reported here. Only the placer receives reports;
// on other instances a worker stays suspect.
func (s *state) checkWorkerTimeout(id string, entry *workerEntry, listFresh bool, now time.Time) {
	if listFresh && now.Sub(entry.lastSeen) > s.thresholds.WorkerLossTimeout {
		delete(s.workers, id)
		return
	}
	if entry.LastReport.IsZero() {
		return
	}
	sinceReport := now.Sub(entry.LastReport)
	if sinceReport > s.thresholds.WorkerSuspectTimeout {
		entry.Health = nextState(s.workerChart, entry.Health, eventSilence)
	}
	if sinceReport > s.thresholds.WorkerLossTimeout {
		entry.Health = nextState(s.workerChart, entry.Health, eventLongSilence)
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

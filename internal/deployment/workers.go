package deployment

import (
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// roster is this instance's copy of the platform's list of workers. Workers that are no
// longer listed but may still run tasks are in the product's own table.
type roster struct {
	decoder  Decoder
	logger   *zap.Logger
	onChange func()
	// retention is the time for which a worker that is no longer listed is remembered,
	// so that a late row does not list it again.
	retention time.Duration

	mu      sync.Mutex
	entries map[string]*rosterEntry
	// unreadable holds the entries that were logged as undecodable.
	unreadable unreadableRows
}

type rosterEntry struct {
	worker     workload.Worker
	version    int64
	delistedAt time.Time
	// contradicted counts the latest entries, all of the incarnation contradicting, that contradict the
	// one that is known.
	contradicted  int
	contradicting int64
}

// discreditedAfter is the number of consecutive entries of an earlier incarnation, or without one,
// after which the known incarnation counts as that of another writer. A worker goes on writing its
// entries; the last ones of an earlier incarnation may be done late, but are few.
const discreditedAfter = 3

// contradict counts an entry that contradicts the known incarnation, and reports whether so many have
// come in a row that the known one is given up.
func (e *rosterEntry) contradict(incarnation, version int64) bool {
	if version == e.version {
		return false // a whole read brings the same entry again
	}
	if e.contradicting != incarnation {
		e.contradicted, e.contradicting = 0, incarnation
	}
	e.contradicted++
	e.version = version
	return e.contradicted >= discreditedAfter
}

func newRoster(decoder Decoder, retention time.Duration, logger *zap.Logger) *roster {
	return &roster{decoder: decoder, retention: retention, logger: logger, entries: make(map[string]*rosterEntry), onChange: func() {}}
}

// apply applies changes of the list.
func (r *roster) apply(rows []workload.Row) {
	if len(rows) == 0 {
		return
	}
	r.mu.Lock()
	for _, row := range rows {
		r.applyRow(row, r.logger)
	}
	onChange := r.onChange
	r.mu.Unlock()
	onChange()
}

// maxListedLines is the number of workers up to which a whole read logs each one that it adds. A new
// leader reads thousands at once; a line for each would crowd out the other lines of its takeover.
const maxListedLines = 50

// applyRow applies a change, and logs it to the given logger.
func (r *roster) applyRow(row workload.Row, logger *zap.Logger) {
	known := r.entries[row.Key]
	if known != nil && row.Version < known.version {
		return
	}
	if row.Deleted {
		if known != nil && known.delistedAt.IsZero() {
			known.delistedAt, known.version = bootTime(), row.Version
			logger.Info("worker no longer listed", zap.String("worker", row.Key), zap.Bool("leaving", known.worker.Leaving))
		}
		return
	}
	worker, err := r.decoder.Worker(row.Key, row.Value)
	contradicts := err == nil && known != nil && worker.Incarnation < known.worker.Incarnation
	if contradicts && known.contradict(worker.Incarnation, row.Version) {
		r.logger.Warn("worker's incarnation discredited", zap.String("worker", worker.ID),
			zap.Int64("incarnation", worker.Incarnation), zap.Int64("known", known.worker.Incarnation))
		contradicts = false
	}
	if contradicts && worker.Incarnation == 0 {
		err = errNoIncarnation
	}
	if err != nil {
		r.delistUnreadable(row, known, err)
		return
	}
	r.unreadable.forget(row.Key)
	if contradicts {
		logger.Info("entry of an earlier incarnation ignored", zap.String("worker", worker.ID),
			zap.Int64("incarnation", worker.Incarnation), zap.Int64("known", known.worker.Incarnation))
		return
	}
	switch {
	case known != nil && worker.Incarnation > known.worker.Incarnation && known.worker.Incarnation != 0:
		logger.Info("worker restarted", zap.String("worker", worker.ID), zap.Int64("incarnation", worker.Incarnation))
	case known == nil || !known.delistedAt.IsZero():
		logger.Info("worker listed", zap.String("worker", worker.ID), zap.String("rack", worker.Rack), zap.String("pool", worker.Pool))
	case worker.Leaving && !known.worker.Leaving:
		logger.Info("worker leaving", zap.String("worker", worker.ID), zap.Int64("leaves_in_ms", worker.LeavesInMS))
	}
	r.entries[row.Key] = &rosterEntry{worker: worker, version: row.Version}
}

// errNoIncarnation means that an entry lacks the incarnation that earlier entries of the
// same worker had: another writer wrote it.
var errNoIncarnation = errors.New("the incarnation is missing")

// delistUnreadable logs an entry that does not decode to a usable worker, once until it
// can be decoded again, and delists the worker that was listed under it.
func (r *roster) delistUnreadable(row workload.Row, known *rosterEntry, err error) {
	metricUnreadableEntries.Inc()
	if r.unreadable.shouldLog(row.Key, 0) {
		r.logger.Error("worker's entry cannot be read", zap.String("worker", row.Key), zap.Error(err))
	}
	if known != nil && known.delistedAt.IsZero() {
		known.delistedAt, known.version = bootTime(), row.Version
	}
}

// reload applies a whole read of the list, and forgets workers that were delisted longer
// ago than the retention.
func (r *roster) reload(rows []workload.Row, _ int64) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	now := bootTime()
	logger := r.logger
	if added := len(rows) - len(r.entries); added > maxListedLines {
		logger = zap.NewNop()
		r.logger.Info("workers listed", zap.Int("count", len(rows)), zap.Int("known_before", len(r.entries)))
	}
	for _, row := range rows {
		r.applyRow(row, logger)
	}
	for id, known := range r.entries {
		if !present[id] && known.delistedAt.IsZero() {
			known.delistedAt = now
		}
		if !known.delistedAt.IsZero() && now.Sub(known.delistedAt) > r.retention {
			delete(r.entries, id)
		}
	}
	onChange := r.onChange
	r.mu.Unlock()
	onChange()
}

// list returns the listed workers.
func (r *roster) list() []workload.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]workload.Worker, 0, len(r.entries))
	for _, known := range r.entries {
		if known.delistedAt.IsZero() {
			list = append(list, known.worker)
		}
	}
	return list
}

var metricUnreadableEntries = metrics.NewCounter("corianderbank_deployment_unreadable_worker_entries_total")

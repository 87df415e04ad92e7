package deployment

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// roster is the platform's list of workers as this instance knows it. Workers that
// the list lost and that may run on are in the product's own table.
type roster struct {
	decode  Decoder
	logger  *zap.Logger
	changed func()
	// kept is how long a worker that is no longer listed is remembered, so that a row
	// that comes late does not list it again.
	kept time.Duration

	mu      sync.Mutex
	entries map[string]*rosterEntry
	// unread are the entries of which a line said that they cannot be read.
	unread unreadRows
}

type rosterEntry struct {
	worker  workload.Worker
	version int64
	goneAt  time.Time
}

func newRoster(decode Decoder, kept time.Duration, logger *zap.Logger) *roster {
	return &roster{decode: decode, kept: kept, logger: logger, entries: make(map[string]*rosterEntry), changed: func() {}}
}

// apply takes changes of the list.
func (r *roster) apply(rows []workload.Row) {
	if len(rows) == 0 {
		return
	}
	r.mu.Lock()
	for _, row := range rows {
		r.take(row)
	}
	changed := r.changed
	r.mu.Unlock()
	changed()
}

func (r *roster) take(row workload.Row) {
	known := r.entries[row.Key]
	if known != nil && row.Version < known.version {
		return
	}
	if row.Deleted {
		if known != nil && known.goneAt.IsZero() {
			known.goneAt, known.version = bootTime(), row.Version
			r.logger.Info("worker no longer listed", zap.String("worker", row.Key), zap.Bool("leaving", known.worker.Leaving))
		}
		return
	}
	worker, err := r.decode.Worker(row.Key, row.Value)
	if err != nil {
		r.takeUnread(row, known, err)
		return
	}
	r.unread.forget(row.Key)
	switch {
	case known == nil || !known.goneAt.IsZero():
		r.logger.Info("worker listed", zap.String("worker", worker.ID), zap.String("rack", worker.Rack), zap.String("pool", worker.Pool))
	case worker.Leaving && !known.worker.Leaving:
		r.logger.Info("worker leaving", zap.String("worker", worker.ID), zap.Int64("leaves_in_ms", worker.LeavesInMS))
	}
	r.entries[row.Key] = &rosterEntry{worker: worker, version: row.Version}
}

// takeUnread takes an entry that names no worker that can be used: a worker that was
// listed under it no longer is. One line says so, until the entry can be read again.
func (r *roster) takeUnread(row workload.Row, known *rosterEntry, err error) {
	if r.unread.first(row.Key, 0) {
		r.logger.Error("worker's entry cannot be read", zap.String("worker", row.Key), zap.Error(err))
	}
	if known != nil && known.goneAt.IsZero() {
		known.goneAt, known.version = bootTime(), row.Version
	}
}

// reload brings the roster in line with a whole read of the list.
func (r *roster) reload(rows []workload.Row, _ int64) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	now := bootTime()
	for _, row := range rows {
		r.take(row)
	}
	for id, known := range r.entries {
		if !present[id] && known.goneAt.IsZero() {
			known.goneAt = now
		}
		if !known.goneAt.IsZero() && now.Sub(known.goneAt) > r.kept {
			delete(r.entries, id)
		}
	}
	changed := r.changed
	r.mu.Unlock()
	changed()
}

// list returns the workers that are listed.
func (r *roster) list() []workload.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]workload.Worker, 0, len(r.entries))
	for _, known := range r.entries {
		if known.goneAt.IsZero() {
			list = append(list, known.worker)
		}
	}
	return list
}

package deployment

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file holds what an instance knows of cancelled ids, and removes those without a job.

const (
	// minCancelRetention is the shortest time for which a cancellation without a job is kept. An insert
	// of the job may be done seconds after its caller gave up, and callers submit a job again when
	// they got no answer.
	minCancelRetention = 60 * time.Second
	// maxCancelRemovals bounds the cancellations that are removed at an interval, and
	// entriesPerCancelRemoval is the number of entries of a transaction that each of them takes.
	maxCancelRemovals       = 800
	entriesPerCancelRemoval = 3
)

// cancellation is a cancelled id as this instance has it.
type cancellation struct {
	// byAccount holds the client accounts that cancelled the id, with the version of the row with which
	// this instance first had that; byAny is the version of the first row without accounts.
	byAccount []accountVersion
	byAny     int64
	// since is the time at which this instance first had the cancellation.
	since time.Time
}

type accountVersion struct {
	account string
	version int64
}

// add adds what a row of a version says.
func (c *cancellation) add(row cancelRow, version int64) {
	if len(row.Accounts) == 0 {
		c.byAny = cmp.Or(c.byAny, version)
	}
	for _, account := range row.Accounts {
		if !slices.ContainsFunc(c.byAccount, func(known accountVersion) bool { return known.account == account }) {
			c.byAccount = append(c.byAccount, accountVersion{account, version})
		}
	}
}

// versionFor returns the version with which the id was first cancelled for a client account; zero if
// it was not.
func (c *cancellation) versionFor(account string) int64 {
	version := c.byAny
	for _, known := range c.byAccount {
		if known.account == account && (version == 0 || known.version < version) {
			version = known.version
		}
	}
	return version
}

// applyCancellation cancels the job if its client account has cancelled the id.
func (k *knownJob) applyCancellation() {
	if k.job == nil || k.cancellation == nil {
		return
	}
	k.cancelledVersion = k.cancellation.versionFor(k.job.Account)
	k.cancelled = k.cancelledVersion > 0
}

// isCancelledBy reports whether a client account has cancelled an id for which no job is known.
func (r *replica) isCancelledBy(account, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.jobs[id]
	return known != nil && known.job == nil && known.cancellation != nil && known.cancellation.versionFor(account) > 0
}

// expiredCancellations returns up to limit rows of cancellations that this instance has had since before
// a time, and for which there is no row of a job.
func (r *replica) expiredCancellations(before time.Time, limit int) []workload.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []workload.Row
	for id, known := range r.jobs {
		if len(rows) >= limit {
			break
		}
		if known.cancellation != nil && known.cancellation.since.Before(before) && r.versions[jobPrefix+id] == 0 {
			key := cancelPrefix + id
			rows = append(rows, workload.Row{Key: key, Version: r.versions[key]})
		}
	}
	return rows
}

// removeExpiredCancellations removes the cancellations without a job that this instance has had since
// before a time.
func (c *leader) removeExpiredCancellations(before time.Time) {
	for _, tx := range cancelRemovals(c.instance.replica.expiredCancellations(before, maxCancelRemovals)) {
		c.orders.Submit(func() { c.removeCancellations(tx) })
	}
}

// cancelRemovals returns the writes that remove cancellations without a job. They expect that there is
// still no job: without its cancellation, it would run.
func cancelRemovals(cancellations []workload.Row) []workload.Write {
	byPart := make(map[string][]workload.Row)
	for _, row := range cancellations {
		part := partOf(row.Key)
		byPart[part] = append(byPart[part], row)
	}
	var list []workload.Write
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		for chunk := range slices.Chunk(byPart[part], maxEntriesPerWrite/entriesPerCancelRemoval) {
			tx := workload.Write{Part: part}
			for _, row := range chunk {
				id := strings.TrimPrefix(row.Key, cancelPrefix)
				tx.Expect = append(tx.Expect, workload.Row{Key: row.Key, Version: row.Version}, workload.Row{Key: jobPrefix + id})
				tx.Remove = append(tx.Remove, row.Key)
			}
			list = append(list, tx)
		}
	}
	return list
}

// removeCancellations makes one attempt at a write of cancelRemovals.
func (c *leader) removeCancellations(tx workload.Write) {
	written, err := c.instance.store.Write(c.ctx, tx)
	if err != nil {
		c.logger.Debug("removing cancellations failed", zap.Error(err))
	}
	c.instance.replica.apply(written.Rows) // with the versions that it lacked, if there was a conflict
}

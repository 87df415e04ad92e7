package placer

import (
	"context"
	"sort"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
)

// renewal is the request to renew the gangs on one worker.
type renewal struct {
	part  part
	epoch int64
	gangs []api.GangRef
}

// renewalsCall returns the renewals that are due.
type renewalsCall struct {
	reply chan []renewal
}

func (call renewalsCall) apply(c *core, now time.Time) { call.reply <- c.renewals(now) }

// renewals returns a renewal for each worker that is due, with the gangs that
// hold a part of it.
func (c *core) renewals(now time.Time) []renewal {
	if !c.holdsLease || !c.recovered {
		return nil
	}
	held := make(map[string][]api.GangRef)
	endingSoon := make(map[string]bool)
	for _, e := range c.openEntries() {
		if e.state != stReserving && e.state != stStarting && e.state != stRunning {
			continue
		}
		endsSoon := c.endsSoon(e, now)
		for _, p := range e.parts {
			held[p.worker] = append(held[p.worker], e.ref)
			endingSoon[p.worker] = endingSoon[p.worker] || endsSoon
		}
	}
	var list []renewal
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		if now.Before(w.nextRenewalAt) {
			continue
		}
		w.nextRenewalAt = now.Add(c.renewalInterval(w, endingSoon[id]))
		list = append(list, renewal{part{worker: id, addr: w.Addr}, c.epoch, held[id]})
	}
	return list
}

// renewalInterval returns a short interval while a change is expected: for a
// worker that takes no work, for example because its reports are overdue, and for
// a worker with a gang that is about to end. The interval of other workers is
// three times as long.
func (c *core) renewalInterval(w *workerState, endingSoon bool) time.Duration {
	if endingSoon || !w.AcceptsTasks() {
		return c.workerLease / frequentRenewalDivisor
	}
	return c.workerLease / steadyRenewalDivisor
}

// endsSoon reports whether a gang may end before its workers' next regular
// renewal. A gang that is overdue by more than a tenth of its run time does not
// count: its declared run time was wrong.
func (c *core) endsSoon(e *entry, now time.Time) bool {
	overdue := e.expectedCompletion.Sub(e.record.StartedAt) / overdueDivisor
	return now.After(e.expectedCompletion.Add(-c.workerLease/steadyRenewalDivisor)) && now.Before(e.expectedCompletion.Add(overdue+c.workerLease/steadyRenewalDivisor))
}

// renewalLoop renews the leases of all gangs and posts the workers' reports.
func (p *Placer) renewalLoop(ctx context.Context) {
	ticker := time.NewTicker(p.opts.WorkerLease / frequentRenewalDivisor)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.renewDue(ctx)
		}
	}
}

func (p *Placer) renewDue(ctx context.Context) {
	answer := make(chan []renewal, 1)
	if !p.post(ctx, renewalsCall{answer}) {
		return
	}
	var list []renewal
	select {
	case list = <-answer:
	case <-ctx.Done():
		return
	}
	for _, r := range list {
		p.runInPool(func() { p.post(ctx, p.renewWorker(ctx, r.part, r.epoch, r.gangs)) })
	}
}

func (p *Placer) renewWorker(ctx context.Context, target part, epoch int64, gangs []api.GangRef) reportEvent {
	sentAt := time.Now()
	report, err := p.opts.Workers.Renew(ctx, target.addr, api.Renew{
		Epoch: epoch, LeaseMS: p.opts.WorkerLease.Milliseconds(), Gangs: gangs,
	})
	return reportEvent{worker: target.worker, epoch: epoch, report: report, err: err, sentAt: sentAt}
}

func (p *Placer) updateRecord(ctx context.Context, record jobstore.Record) (jobstore.Record, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return p.opts.Jobs.Update(callCtx, record)
}

// readRecord reads the job's row to determine the result of an earlier write.
func (p *Placer) readRecord(ctx context.Context, a readRecordAction) recordWrittenEvent {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	found, err := p.opts.Jobs.Get(callCtx, a.record.ID)
	if err != nil {
		return recordWrittenEvent{id: a.record.ID, err: err}
	}
	return recordWrittenEvent{id: a.record.ID, record: found}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

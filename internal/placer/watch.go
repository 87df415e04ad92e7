package placer

import (
	"context"
	"sort"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
)

// renewal is what one worker is to be asked.
type renewal struct {
	part  part
	epoch int64
	gangs []api.GangRef
}

// renewalsCall asks the core which gangs to renew where.
type renewalsCall struct {
	reply chan []renewal
}

func (call renewalsCall) apply(c *core, now time.Time) { call.reply <- c.renewals(now) }

// renewals lists the workers that are due, with the gangs that hold a part of
// them.
func (c *core) renewals(now time.Time) []renewal {
	if !c.held || !c.recovered {
		return nil
	}
	held := make(map[string][]api.GangRef)
	soon := make(map[string]bool)
	for _, e := range c.live() {
		if e.state != stReserving && e.state != stStarting && e.state != stRunning {
			continue
		}
		ending := c.endsSoon(e, now)
		for _, p := range e.parts {
			held[p.worker] = append(held[p.worker], e.ref)
			soon[p.worker] = soon[p.worker] || ending
		}
	}
	var list []renewal
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		if now.Before(w.nextRenewal) {
			continue
		}
		w.nextRenewal = now.Add(c.renewalInterval(w, soon[id]))
		list = append(list, renewal{part{worker: id, addr: w.Addr}, c.epoch, held[id]})
	}
	return list
}

// renewalInterval is short while news is expected: of a worker that has not
// reported lately, and of gangs that are about to end. A steady worker costs a
// third of that.
func (c *core) renewalInterval(w *workerState, soon bool) time.Duration {
	if soon || !w.Takes() {
		return c.workerLease / watchPart
	}
	return c.workerLease / steadyPart
}

// endsSoon reports whether a gang may end before its workers would be asked in
// their steady turn. One that is overdue by more than a tenth is not expected
// any more: its declaration was wrong.
func (c *core) endsSoon(e *entry, now time.Time) bool {
	overdue := e.expectedEnd.Sub(e.record.StartedAt) / overduePart
	return now.After(e.expectedEnd.Add(-c.workerLease/steadyPart)) && now.Before(e.expectedEnd.Add(overdue+c.workerLease/steadyPart))
}

// watchDuty renews the leases of all gangs and takes in the workers' reports.
func (p *Placer) watchDuty(ctx context.Context) {
	ticker := time.NewTicker(p.opts.WorkerLease / watchPart)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.renewAll(ctx)
		}
	}
}

func (p *Placer) renewAll(ctx context.Context) {
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
		p.submit(func() { p.post(ctx, p.renewOne(ctx, r.part, r.epoch, r.gangs)) })
	}
}

func (p *Placer) renewOne(ctx context.Context, one part, epoch int64, gangs []api.GangRef) reportEvent {
	sentAt := time.Now()
	report, err := p.opts.Workers.Renew(ctx, one.addr, api.Renew{
		Epoch: epoch, LeaseMS: p.opts.WorkerLease.Milliseconds(), Gangs: gangs,
	})
	return reportEvent{worker: one.worker, epoch: epoch, report: report, err: err, sentAt: sentAt}
}

func (p *Placer) update(ctx context.Context, record jobstore.Record) (jobstore.Record, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return p.opts.Jobs.Update(callCtx, record)
}

// reload finds out what became of a write: the row tells.
func (p *Placer) reload(ctx context.Context, a reloadAction) persistedEvent {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	found, err := p.opts.Jobs.Get(callCtx, a.record.ID)
	if err != nil {
		return persistedEvent{id: a.record.ID, err: err}
	}
	return persistedEvent{id: a.record.ID, record: found}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

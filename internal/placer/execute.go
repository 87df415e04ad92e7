package placer

import (
	"context"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/worker"
)

// storeCallTimeout bounds a call to the job store.
const storeCallTimeout = 5 * time.Second

// learntJobs bounds the ended jobs that a new placer learns run times from.
const learntJobs = 500

// carryOut hands the core's actions to the pool. Actions of one gang do not
// overlap, but for releases: the chart has one call under way for each state.
func (p *Placer) carryOut(ctx context.Context) {
	for _, a := range p.core.takeActions() {
		p.submit(func() { p.execute(ctx, a) })
	}
}

func (p *Placer) execute(ctx context.Context, a action) {
	switch a := a.(type) {
	case reserveAction:
		p.post(ctx, p.reserve(ctx, a))
	case grantAction:
		record, err := p.update(ctx, a.record)
		ref := api.GangRef{Epoch: a.record.Epoch, Gang: a.record.ID, Attempt: a.record.Attempt}
		p.post(ctx, grantedEvent{ref: ref, record: record, err: err})
	case startAction:
		p.post(ctx, p.start(ctx, a))
	case stopAction:
		p.post(ctx, p.stop(ctx, a))
	case releaseAction:
		p.release(ctx, a.ref, a.parts)
	case persistAction:
		record, err := p.update(ctx, a.record)
		p.post(ctx, persistedEvent{id: a.record.ID, record: record, err: err})
	case reloadAction:
		p.post(ctx, p.reload(ctx, a))
	case reconcileAction:
		p.reconcile(ctx, a)
	case recoverAction:
		p.post(ctx, p.recover(ctx, a))
	}
}

// each calls f for every part, fanOut at a time, and returns the results in
// the order of the parts.
func each[T any](parts []part, f func(part) T) []T {
	results := make([]T, len(parts))
	gate := make(chan struct{}, fanOut)
	var calls sync.WaitGroup
	for i, p := range parts {
		gate <- struct{}{}
		calls.Go(func() {
			results[i] = f(p)
			<-gate
		})
	}
	calls.Wait()
	return results
}

// reserve reserves every part, or releases what it got.
func (p *Placer) reserve(ctx context.Context, a reserveAction) reservedEvent {
	errs := each(a.parts, func(one part) error {
		return p.opts.Workers.Reserve(ctx, one.addr, api.Reserve{
			GangRef: a.ref, Account: a.account, Accelerators: one.task.Accelerators,
			Tasks: one.task.Tasks, TTLMS: a.ttl.Milliseconds(),
		})
	})
	for i, err := range errs {
		if err != nil {
			p.release(ctx, a.ref, a.parts)
			return reservedEvent{ref: a.ref, parts: a.parts, worker: a.parts[i].worker, err: err}
		}
	}
	return reservedEvent{ref: a.ref, parts: a.parts}
}

// start starts every part. A part that refused surely does not run; one whose
// answer was lost may run.
func (p *Placer) start(ctx context.Context, a startAction) startedEvent {
	errs := each(a.parts, func(one part) error {
		return p.opts.Workers.Start(ctx, one.addr, api.Start{
			GangRef: a.ref, LeaseMS: a.lease.Milliseconds(), Checkpoint: a.checkpoint, Payload: a.payload,
		})
	})
	result := startedEvent{ref: a.ref}
	for i, err := range errs {
		if err != nil && result.err == nil {
			result.worker, result.err = a.parts[i].worker, err
		}
		if err == nil || !worker.Refused(err) {
			result.mayRun = true
		}
	}
	return result
}

// stopResult is the answer of one worker to a stop.
type stopResult struct {
	checkpoint string
	confirmed  bool
}

func (p *Placer) stop(ctx context.Context, a stopAction) stoppedEvent {
	results := each(a.parts, func(one part) stopResult { return p.stopPart(ctx, a, one) })
	event := stoppedEvent{ref: a.ref}
	all := a.checkpoint
	for i, result := range results {
		if !result.confirmed {
			event.unconfirmed = append(event.unconfirmed, a.parts[i].worker)
		}
		if result.checkpoint == "" {
			all = false
		}
		event.checkpoint = result.checkpoint
	}
	if !all {
		event.checkpoint = ""
	}
	return event
}

// stopPart takes a checkpoint if asked to, within the time given, and stops
// the tasks outright in any case.
func (p *Placer) stopPart(ctx context.Context, a stopAction, one part) stopResult {
	var result stopResult
	call := api.Stop{GangRef: a.ref, WithinMS: a.within.Milliseconds()}
	if a.checkpoint {
		checkpointCtx, cancel := context.WithTimeout(ctx, a.within)
		answer, err := p.opts.Workers.Checkpoint(checkpointCtx, one.addr, call)
		cancel()
		if err == nil {
			result.checkpoint = answer.Checkpoint
		}
	}
	_, err := p.opts.Workers.Stop(ctx, one.addr, call)
	result.confirmed = err == nil || api.IsKind(err, api.KindNotFound)
	return result
}

func (p *Placer) release(ctx context.Context, ref api.GangRef, parts []part) {
	each(parts, func(one part) error {
		return p.opts.Workers.Release(ctx, one.addr, api.Release{GangRef: ref})
	})
}

func (p *Placer) reconcile(ctx context.Context, a reconcileAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if records, err := p.opts.Jobs.Open(callCtx, p.opts.Zone); err == nil {
		p.post(ctx, reconciledEvent{epoch: a.epoch, records: records})
	}
}

// recover reads what is open and what the workers hold. The renewal under the
// new epoch makes the workers refuse the epochs before it.
func (p *Placer) recover(ctx context.Context, a recoverAction) recoveredEvent {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	records, err := p.opts.Jobs.Open(callCtx, p.opts.Zone)
	if err != nil {
		return recoveredEvent{epoch: a.epoch, err: err}
	}
	var parts []part
	workers := p.opts.Fleet.Workers(p.opts.Zone)
	for _, w := range workers {
		parts = append(parts, part{worker: w.ID, addr: w.Addr})
	}
	reports := each(parts, func(one part) reportEvent { return p.renewOne(ctx, one, a.epoch, nil) })
	event := recoveredEvent{epoch: a.epoch, workers: workers, records: records}
	if recent, err := p.opts.Jobs.List(callCtx, "", learntJobs); err == nil {
		event.recent = recent
	}
	for _, report := range reports {
		if report.err == nil {
			event.reports = append(event.reports, report)
		}
	}
	return event
}

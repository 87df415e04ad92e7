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

// maxLearnedJobs bounds the ended jobs from which a new placer learns run times.
const maxLearnedJobs = 500

// dispatchActions submits the core's actions to the pool. Apart from releases,
// the actions of one gang do not overlap: in each state of the chart at most one
// call is in flight.
func (p *Placer) dispatchActions(ctx context.Context) {
	for _, a := range p.core.takeActions() {
		p.runInPool(func() { p.execute(ctx, a) })
	}
}

func (p *Placer) execute(ctx context.Context, a action) {
	switch a := a.(type) {
	case reserveAction:
		p.post(ctx, p.reserve(ctx, a))
	case recordStartAction:
		record, err := p.updateRecord(ctx, a.record)
		ref := api.GangRef{Epoch: a.record.Epoch, Gang: a.record.ID, Attempt: a.record.Attempt}
		p.post(ctx, startRecordedEvent{ref: ref, record: record, err: err})
	case startAction:
		p.post(ctx, p.start(ctx, a))
	case stopAction:
		p.post(ctx, p.stop(ctx, a))
	case releaseAction:
		p.release(ctx, a.ref, a.parts)
	case writeRecordAction:
		record, err := p.updateRecord(ctx, a.record)
		p.post(ctx, recordWrittenEvent{id: a.record.ID, record: record, err: err})
	case readRecordAction:
		p.post(ctx, p.readRecord(ctx, a))
	case reconcileAction:
		p.readOpenRecords(ctx, a)
	case recoverAction:
		p.post(ctx, p.recover(ctx, a))
	}
}

// forEachPart calls f for every part, with at most fanOut concurrent calls, and
// returns the results in the order of the parts.
func forEachPart[T any](parts []part, f func(part) T) []T {
	results := make([]T, len(parts))
	semaphore := make(chan struct{}, fanOut)
	var calls sync.WaitGroup
	for i, p := range parts {
		semaphore <- struct{}{}
		calls.Go(func() {
			results[i] = f(p)
			<-semaphore
		})
	}
	calls.Wait()
	return results
}

// reserve reserves every part; if one is refused, it releases all of them.
func (p *Placer) reserve(ctx context.Context, a reserveAction) reservedEvent {
	errs := forEachPart(a.parts, func(target part) error {
		return p.opts.Workers.Reserve(ctx, target.addr, api.Reserve{
			GangRef: a.ref, Account: a.account, Accelerators: target.task.Accelerators,
			Tasks: target.task.Tasks, TTLMS: a.ttl.Milliseconds(),
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

// start starts every part. A part whose start was refused is definitely not
// running; one whose answer was lost may be.
func (p *Placer) start(ctx context.Context, a startAction) startedEvent {
	errs := forEachPart(a.parts, func(target part) error {
		return p.opts.Workers.Start(ctx, target.addr, api.Start{
			GangRef: a.ref, LeaseMS: a.lease.Milliseconds(), Checkpoint: a.checkpoint, Payload: a.payload,
		})
	})
	result := startedEvent{ref: a.ref}
	for i, err := range errs {
		if err != nil && result.err == nil {
			result.worker, result.err = a.parts[i].worker, err
		}
		if err == nil || !worker.NotExecuted(err) {
			result.mayHaveStarted = true
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
	results := forEachPart(a.parts, func(target part) stopResult { return p.stopPart(ctx, a, target) })
	event := stoppedEvent{ref: a.ref}
	allCheckpointed := a.checkpoint
	for i, result := range results {
		if !result.confirmed {
			event.unconfirmed = append(event.unconfirmed, a.parts[i].worker)
		}
		if result.checkpoint == "" {
			allCheckpointed = false
		}
		event.checkpoint = result.checkpoint
	}
	if !allCheckpointed {
		event.checkpoint = ""
	}
	return event
}

// stopPart takes a checkpoint within the timeout if one is requested, and stops
// the tasks in any case.
func (p *Placer) stopPart(ctx context.Context, a stopAction, target part) stopResult {
	var result stopResult
	call := api.Stop{GangRef: a.ref, WithinMS: a.timeout.Milliseconds()}
	if a.checkpoint {
		checkpointCtx, cancel := context.WithTimeout(ctx, a.timeout)
		answer, err := p.opts.Workers.Checkpoint(checkpointCtx, target.addr, call)
		cancel()
		if err == nil {
			result.checkpoint = answer.Checkpoint
		}
	}
	_, err := p.opts.Workers.Stop(ctx, target.addr, call)
	result.confirmed = err == nil || api.IsKind(err, api.KindNotFound)
	return result
}

func (p *Placer) release(ctx context.Context, ref api.GangRef, parts []part) {
	forEachPart(parts, func(target part) error {
		return p.opts.Workers.Release(ctx, target.addr, api.Release{GangRef: ref})
	})
}

func (p *Placer) readOpenRecords(ctx context.Context, a reconcileAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if records, err := p.opts.Jobs.ListOpen(callCtx, p.opts.Zone); err == nil {
		p.post(ctx, reconciledEvent{epoch: a.epoch, records: records})
	}
}

// recover reads the open records and renews every worker of the zone. The
// renewal under the new epoch makes the workers refuse earlier epochs.
func (p *Placer) recover(ctx context.Context, a recoverAction) recoveredEvent {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	records, err := p.opts.Jobs.ListOpen(callCtx, p.opts.Zone)
	if err != nil {
		return recoveredEvent{epoch: a.epoch, err: err}
	}
	var parts []part
	workers := p.opts.Fleet.Workers(p.opts.Zone)
	for _, w := range workers {
		parts = append(parts, part{worker: w.ID, addr: w.Addr})
	}
	reports := forEachPart(parts, func(target part) reportEvent { return p.renewWorker(ctx, target, a.epoch, nil) })
	event := recoveredEvent{epoch: a.epoch, workers: workers, records: records}
	if recent, err := p.opts.Jobs.List(callCtx, "", maxLearnedJobs); err == nil {
		event.recent = recent
	}
	for _, report := range reports {
		if report.err == nil {
			event.reports = append(event.reports, report)
		}
	}
	return event
}

package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// retryPause is the delay between attempts of a store call that may already have
	// taken effect.
	retryPause = 60 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After sent while the store is
	// unreachable.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 3 * time.Second
)

// retryAfterOutage returns the Retry-After sent while the store is unreachable. The
// length of an outage is unknown and callers make few attempts. An outage that has
// lasted for some time will likely last as long again, so the attempts are spread over
// about twice the outage so far; four attempts at a constant interval of one second end
// before an outage of five seconds does. The delay also shrinks with the time that the
// caller has left, so that it retries soon after the store recovers: with a delay of
// three seconds, callers with a deadline of three seconds never retried.
func retryAfterOutage(outage, timeLeft time.Duration) time.Duration {
	return max(minRetryAfter, min(outage, maxRetryAfter, timeLeft/retriesInTimeLeft))
}

// retriesInTimeLeft is the number of retries that should fit into the time that a
// caller has left.
const retriesInTimeLeft = 3

// retryAfter returns the Retry-After for a caller whose call failed on all routes to the store.
func (i *Instance) retryAfter(ctx context.Context) time.Duration {
	return i.retryAfterSilence(ctx, i.store.outageDuration())
}

// retryAfterSilence returns the Retry-After while the store has answered nobody for a duration.
func (i *Instance) retryAfterSilence(ctx context.Context, outage time.Duration) time.Duration {
	if !i.settings.Tuning.enabled(mechRetryAfter) {
		return minRetryAfter
	}
	timeLeft := retriesInTimeLeft * maxRetryAfter
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	return retryAfterOutage(outage, timeLeft)
}

// Caller identifies the queue and the client account of a request.
type Caller struct {
	Queue   *workload.Queue
	Account string
}

// Admit finds the queue of a host and path and the client account of a key. It returns
// the rest of the path.
func (i *Instance) Admit(host, path, key string) (Caller, string, error) {
	config := i.configuration.Load()
	if config == nil {
		return Caller{}, "", api.NewError(api.KindNotReady, "no configuration yet")
	}
	queue := findQueue(config, host, path)
	if queue == nil {
		return Caller{}, "", api.NewError(api.KindNotFound, "no queue for host %q and path %q", host, path)
	}
	caller := Caller{Queue: queue}
	account, known := config.AccountOf(key)
	if !known && !queue.Public {
		return Caller{}, "", api.NewError(api.KindUnknownKey, "unknown key")
	}
	caller.Account = account
	return caller, path[len(queue.Prefix):], nil
}

// findQueue returns the queue of the host with the longest prefix of the path, or nil.
func findQueue(config *workload.Configuration, host, path string) *workload.Queue {
	var best *workload.Queue
	for n := range config.Queues {
		q := &config.Queues[n]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// MaxBodyBytes returns the limit on the size of a request body, or zero if the
// configuration sets none.
func (i *Instance) MaxBodyBytes() int64 {
	if config := i.configuration.Load(); config != nil {
		return config.MaxBodyBytes
	}
	return 0
}

// Submit accepts a job. It returns nil once the store has the job. An error that is
// answered with a Retry-After means that the job was not accepted and never runs;
// KindResultUnknown means that it may have been accepted.
func (i *Instance) Submit(ctx context.Context, caller Caller, job *workload.Job) error {
	job.Queue, job.Account, job.Terms = caller.Queue.Name, caller.Account, caller.Queue.Terms()
	job.AcceptedMS = time.Now().UnixMilli()
	start := time.Now()
	err := i.submit(ctx, caller, job)
	metrics.GetOrCreateHistogram(`corianderbank_deployment_accept_seconds{error_kind="` + kindName(err) + `"}`).UpdateDuration(start)
	q := caller.Queue
	i.logger.Info("submit", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.String("client_account", job.Account),
		zap.Int("priority", q.Priority), zap.Float64("stretch", q.LatencyFactor), zap.Int64("grace_ms", q.GracePeriodMS), zap.Int64("took_ms", time.Since(start).Milliseconds()),
		zap.Int64("config_version", i.configVersion()), zap.String("error_kind", kindName(err)), zap.Error(err))
	metrics.GetOrCreateCounter(`corianderbank_deployment_submits_total{error_kind="` + kindName(err) + `"}`).Inc()
	return err
}

func kindName(err error) string {
	if err == nil {
		return ""
	}
	return string(api.KindOf(err))
}

func (i *Instance) submit(ctx context.Context, caller Caller, job *workload.Job) error {
	if caller.Queue.Advice != nil && i.options.Advisor == nil {
		return api.NewError(api.KindNotReady, "queue %s needs a placement advisor and the settings name none", caller.Queue.Name)
	}
	if known, ok := i.replica.get(job.ID); ok {
		return checkResubmission(known.job, job)
	}
	if i.replica.isCancelledBy(job.Account, job.ID) {
		return errCancelledBefore(job.ID)
	}
	row := workload.Row{Key: jobPrefix + job.ID, Value: encode(job)}
	if limit := i.settings.RowBytes; len(row.Value) > limit {
		return api.NewError(api.KindBodyTooLarge, "the job takes %d bytes in the store, at most %d are allowed", len(row.Value), limit)
	}
	err := i.insertJob(ctx, job, row)
	if errors.Is(err, workload.ErrRefused) {
		return api.NewError(api.KindBodyTooLarge, "the store refuses the job's row of %d bytes: %v", len(row.Value), err)
	}
	return err
}

// insertJob inserts a job's row, under the condition that there is none and that the client account
// has not cancelled the id.
func (i *Instance) insertJob(ctx context.Context, job *workload.Job, row workload.Row) error {
	cancellation := workload.Row{Key: cancelPrefix + job.ID}
	for {
		unexpected := false // another account has cancelled the id, or its cancellation was removed
		err := i.writeOnce(ctx, workload.Write{
			Part: partOf(row.Key), Expect: []workload.Row{{Key: row.Key}, cancellation}, Put: []workload.Row{row},
		}, func(rows []workload.Row) error {
			var accepted workload.Job
			if existing := findRow(rows, row.Key); existing.Version > 0 && json.Unmarshal(existing.Value, &accepted) == nil {
				return checkResubmission(&accepted, job)
			}
			found := findRow(rows, cancellation.Key)
			if found.Version > 0 && decodeCancelRow(found.Value).covers(job.Account) {
				return errCancelledBefore(job.ID)
			}
			if unexpected = found.Version != cancellation.Version; unexpected {
				cancellation.Version = found.Version
				return errIfOver(ctx)
			}
			return api.NewError(api.KindResultUnknown, "the store refused the job and showed no row")
		})
		if err != nil || !unexpected {
			return err
		}
	}
}

// errCancelledBefore is the result of submitting a job that was cancelled before it was accepted.
func errCancelledBefore(id string) error {
	return api.NewError(api.KindCancelled, "job %s was cancelled before it was accepted; it never runs", id)
}

// checkResubmission returns the result of submitting an id that was accepted before: a
// conflict if the id belongs to another client account.
func checkResubmission(accepted, sent *workload.Job) error {
	if accepted.Account != sent.Account {
		return api.NewError(api.KindConflict, "the id belongs to another client account's job")
	}
	return nil
}

// writeOnce repeats a conditional write until its result is known, the caller's
// deadline expires, or this instance is cut off and the caller can ask another one. A
// missing answer is not a refusal: the write is repeated, and if the first attempt took
// effect, the repetition reports a conflict.
func (i *Instance) writeOnce(ctx context.Context, write workload.Write, conflict func([]workload.Row) error) error {
	if i.partition.isCutOff() {
		return i.cutOffError()
	}
	if err := i.refuseInSilence(ctx, write.Part); err != nil {
		return err
	}
	ctx, cancel := i.partition.guard(ctx)
	defer cancel()
	unknown := false
	for {
		written, err := i.store.Write(ctx, write)
		switch {
		case err == nil && written.Conflict:
			i.replica.apply(written.Rows)
			return conflict(written.Rows)
		case err == nil:
			for n := range write.Put {
				write.Put[n].Version = written.Version
			}
			i.replica.apply(write.Put)
			i.notifyLeader(write.Put)
			return nil
		}
		unknown = unknown || errors.Is(err, workload.ErrUnknown)
		if !unknown && errors.Is(context.Cause(ctx), errCutOff) {
			return i.cutOffError()
		}
		if !unknown {
			return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", err), i.retryAfter(ctx))
		}
		if pause(ctx, retryPause); ctx.Err() != nil {
			return api.NewError(api.KindResultUnknown, "the store's answer is missing: %w: %w", context.Cause(ctx), err)
		}
	}
}

// State returns the state of a job of the caller's client account, or KindGone if
// there is none.
func (i *Instance) State(ctx context.Context, caller Caller, id string) (JobState, error) {
	view, err := i.lookupJob(ctx, id)
	switch {
	case err != nil:
		return "", err
	case !view.known:
		return "", errNoJob(id)
	case view.account != caller.Account:
		return "", errOtherAccountsJob(id)
	}
	return view.state, nil
}

// Pending returns the number of jobs of the queue that have not started.
func (i *Instance) Pending(caller Caller) int64 {
	if i.replica.isLoaded() {
		return i.counts.of(i.replica, bootTime())[caller.Queue.Name]
	}
	return i.peers.latest().pending[caller.Queue.Name]
}

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
	// retryPause is the pause between two tries of a store call that may have
	// been performed.
	retryPause = 60 * time.Millisecond
	// comeBackSoonest and comeBackLatest bound when to come back while the store
	// is away.
	comeBackSoonest = 1 * time.Second
	comeBackLatest  = 3 * time.Second
)

// comeBack is when to come back while the store is away. It answers outages of
// unknown length and callers with few tries: what has lasted for a while will
// likely last as long again, so the tries are spread over about twice the outage
// so far. With the same second each time, four tries are over before an outage
// of five seconds is. But a caller that has only left so much time to wait comes
// back often enough to be there soon after the store is: told to wait for three
// seconds, callers with a deadline of three never came back.
func comeBack(away, left time.Duration) time.Duration {
	return max(comeBackSoonest, min(away, comeBackLatest, left/comeBackTries))
}

// comeBackTries is how often a caller should be able to come back in the time that it
// has left.
const comeBackTries = 3

func (i *Instance) comeBack(ctx context.Context) time.Duration {
	if !i.settings.Tuning.has(mechRetryAfter) {
		return comeBackSoonest
	}
	left := comeBackTries * comeBackLatest
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return comeBack(i.store.away(), left)
}

// Caller is who asks, for what queue, and until when.
type Caller struct {
	Queue   *workload.Queue
	Account string
}

// Admit finds the queue of a host and path, and the client account of a key.
// It returns the rest of the path.
func (i *Instance) Admit(host, path, key string) (Caller, string, error) {
	config := i.configuration.Load()
	if config == nil {
		return Caller{}, "", api.NewError(api.KindNotReady, "no configuration yet")
	}
	queue := queueOf(config, host, path)
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

// queueOf returns the queue with the longest prefix of the path.
func queueOf(config *workload.Configuration, host, path string) *workload.Queue {
	var best *workload.Queue
	for n := range config.Queues {
		q := &config.Queues[n]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// MaxBodyBytes bounds a body; zero where the configuration does not.
func (i *Instance) MaxBodyBytes() int64 {
	if config := i.configuration.Load(); config != nil {
		return config.MaxBodyBytes
	}
	return 0
}

// Submit accepts a job: it returns nil once the store has it. An error of a
// kind that is answered with "come back" means that the job was not accepted
// and never runs; KindResultUnknown that it may have been accepted.
func (i *Instance) Submit(ctx context.Context, caller Caller, job *workload.Job) error {
	job.Queue, job.Account = caller.Queue.Name, caller.Account
	job.AcceptedMS = time.Now().UnixMilli()
	began := time.Now()
	err := i.submit(ctx, caller, job)
	metrics.GetOrCreateHistogram(`corianderbank_deployment_accept_seconds{error_kind="` + kindName(err) + `"}`).UpdateDuration(began)
	q := caller.Queue
	i.logger.Info("submit", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.String("client_account", job.Account),
		zap.Int("priority", q.Priority), zap.Float64("stretch", q.Stretch), zap.Int64("grace_ms", q.GraceMS), zap.Int64("took_ms", time.Since(began).Milliseconds()),
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
		return sameJob(known.job, job)
	}
	key := jobPrefix + job.ID
	row := workload.Row{Key: key, Value: encode(job)}
	return i.writeOnce(ctx, workload.Write{
		Part: partOf(key), Expect: []workload.Row{{Key: key}}, Put: []workload.Row{row},
	}, func(rows []workload.Row) error {
		for _, existing := range rows {
			var accepted workload.Job
			if existing.Key == key && json.Unmarshal(existing.Value, &accepted) == nil {
				return sameJob(&accepted, job)
			}
		}
		return api.NewError(api.KindResultUnknown, "the store refused the job and showed no row")
	})
}

// sameJob answers a submission of an id that was accepted before.
func sameJob(accepted, sent *workload.Job) error {
	if accepted.Account != sent.Account {
		return api.NewError(api.KindConflict, "the id belongs to another client account's job")
	}
	return nil
}

// writeOnce makes a conditional write until its result is known, the caller's time
// is up, or this instance is cut off: the caller can ask another one. An answer that
// is missing is no refusal: the write is repeated, and its own effect is met as a
// conflict.
func (i *Instance) writeOnce(ctx context.Context, write workload.Write, conflict func([]workload.Row) error) error {
	if i.cut.cut() {
		return i.refuseCutOff()
	}
	ctx, cancel := i.cut.guard(ctx)
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
			i.tellLeader(write.Put)
			return nil
		}
		unknown = unknown || errors.Is(err, workload.ErrUnknown)
		if !unknown && errors.Is(context.Cause(ctx), errCutOff) {
			return i.refuseCutOff()
		}
		if !unknown {
			return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", err), i.comeBack(ctx))
		}
		if pause(ctx, retryPause); ctx.Err() != nil {
			return api.NewError(api.KindResultUnknown, "the store's answer is missing: %w: %w", context.Cause(ctx), err)
		}
	}
}

// find returns a job of the caller's queue; KindGone if the store has none.
func (i *Instance) find(ctx context.Context, caller Caller, id string) (JobState, error) {
	view, err := i.view(ctx, id)
	switch {
	case err != nil:
		return "", err
	case !view.known:
		return "", api.NewError(api.KindGone, "no job %s", id)
	case view.account != caller.Account:
		return "", api.NewError(api.KindGone, "no job %s of this client account", id)
	}
	return view.state, nil
}

// State returns a job's state.
func (i *Instance) State(ctx context.Context, caller Caller, id string) (JobState, error) {
	return i.find(ctx, caller, id)
}

// Pending returns the number of the queue's jobs of which no task has started.
func (i *Instance) Pending(caller Caller) int64 {
	if i.replica.isLoaded() {
		return i.counts.of(i.replica, bootTime())[caller.Queue.Name]
	}
	return i.peers.latest().pending[caller.Queue.Name]
}

// Cancel cancels a job: it returns nil once the store has it.
func (i *Instance) Cancel(ctx context.Context, caller Caller, id string) error {
	state, err := i.find(ctx, caller, id)
	if err == nil && state != StateCancelled && state != StateCompleted && state != StateFailed {
		key := cancelPrefix + id
		err = i.writeOnce(ctx, workload.Write{
			Part: partOf(key), Expect: []workload.Row{{Key: key}}, Put: []workload.Row{{Key: key, Value: encode(time.Now().UnixMilli())}},
		}, func([]workload.Row) error { return nil })
	}
	i.logger.Info("cancel", zap.String("job", id), zap.String("queue", caller.Queue.Name), zap.String("state_before", string(state)),
		zap.String("error_kind", kindName(err)), zap.Error(err))
	return err
}

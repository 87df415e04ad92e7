package deployment

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file cancels jobs. A cancellation is a row under the id of the job, in the part of the job's
// row. It is stored even if there is no such job, because an insert without an answer may still be
// done: inserts expect that their client account has not cancelled the id. A cancellation without a
// job is removed once no insert can be under way any more.

// cancelRow is the value of a cancellation.
type cancelRow struct {
	AtMS int64 `json:"at_ms"`
	// Accounts are the client accounts that have cancelled the id, which may be that of another
	// account's job. Without any, as instances of earlier versions write it, the row cancels the job
	// of whichever account.
	Accounts []string `json:"accounts,omitempty"`
}

// decodeCancelRow returns the value of a cancellation. One that cannot be decoded names no account.
func decodeCancelRow(value []byte) cancelRow {
	var row cancelRow
	if json.Unmarshal(value, &row) != nil {
		return cancelRow{}
	}
	return row
}

// covers reports whether the row cancels the jobs of a client account.
func (r cancelRow) covers(account string) bool {
	return len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
}

// findRow returns the row with a key among those that a write has found; without one, its version is
// zero.
func findRow(rows []workload.Row, key string) workload.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return workload.Row{}
}

// Cancel cancels a job. It returns nil once the store has the cancellation, and also if
// the job has already ended. KindGone means that there is no such job, and that none is accepted
// under this id from now on.
func (i *Instance) Cancel(ctx context.Context, caller Caller, id string) error {
	view, err := i.lookupJob(ctx, id)
	switch {
	case err != nil:
	case !view.known:
		err = i.cancelUnknown(ctx, caller.Account, id)
	case view.account != caller.Account:
		err = errOtherAccountsJob(id)
	case !view.state.isFinal():
		var row workload.Row
		row, err = i.storeCancellation(ctx, caller.Account, id)
		if err == nil && row.Version > 0 {
			// Before the record of an end that is stored later reaches them in the same way.
			i.sendToHubs(workload.SourceOwn, []workload.Row{row})
		}
	}
	i.logger.Info("cancel", zap.String("job", id), zap.String("queue", caller.Queue.Name), zap.String("state_before", string(view.state)),
		zap.String("source", string(view.source)), zap.String("error_kind", kindName(err)), zap.Error(err))
	return err
}

func errNoJob(id string) error { return api.NewError(api.KindGone, "no job %s", id) }

func errOtherAccountsJob(id string) error {
	return api.NewError(api.KindGone, "no job %s of this client account", id)
}

// cancelUnknown cancels an id for which the store has no job. It returns KindGone once an insert
// that may still be under way can have no effect.
func (i *Instance) cancelUnknown(ctx context.Context, account, id string) error {
	if i.replica.isCancelledBy(account, id) {
		return errNoJob(id)
	}
	if wait := i.cancelBudget.take(account, i.deploymentSize(), bootTime()); wait > 0 {
		metricUnknownCancelsRefused.Inc()
		return api.WithRetryAfter(api.NewError(api.KindAccountLimit, "too many cancellations of jobs that do not exist"), wait)
	}
	if _, err := i.storeCancellation(ctx, account, id); err != nil {
		return err
	}
	metricUnknownCancels.Inc()
	return errNoJob(id)
}

// deploymentSize returns about how many instances there are. A leaf knows all those of its own zone and
// some of the others, so all zones count like the largest one.
func (i *Instance) deploymentSize() int {
	zones, largest := i.replica.zones(""), 1
	for _, members := range zones {
		largest = max(largest, len(members))
	}
	return largest * max(len(zones), 1)
}

// storeCancellation stores that a client account has cancelled an id, and returns the row. Its
// version is zero if an earlier call had already stored it.
func (i *Instance) storeCancellation(ctx context.Context, account, id string) (workload.Row, error) {
	key := cancelPrefix + id
	var found workload.Row
	for {
		value := cancelRow{AtMS: time.Now().UnixMilli(), Accounts: []string{account}}
		if found.Version > 0 {
			value.Accounts = append(value.Accounts, decodeCancelRow(found.Value).Accounts...)
		}
		write := workload.Write{
			Part: partOf(key), Expect: []workload.Row{{Key: key, Version: found.Version}}, Put: []workload.Row{{Key: key, Value: encode(value)}},
		}
		stored := true
		err := i.writeOnce(ctx, write, func(rows []workload.Row) error {
			found = findRow(rows, key)
			stored = found.Version > 0 && decodeCancelRow(found.Value).covers(account)
			return errIfOver(ctx)
		})
		if err != nil || stored {
			return write.Put[0], err
		}
	}
}

// errIfOver returns the error of a call that would have to try again and whose caller's time is over.
func errIfOver(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return api.NewError(api.KindResultUnknown, "the row changed meanwhile: %w", context.Cause(ctx))
}

var (
	metricUnknownCancels        = metrics.NewCounter(`corianderbank_deployment_unknown_cancels_total{result="stored"}`)
	metricUnknownCancelsRefused = metrics.NewCounter(`corianderbank_deployment_unknown_cancels_total{result="refused"}`)
)

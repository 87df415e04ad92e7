package deployment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file executes the actions of the core: orders and polls to workers, requests to
// the placement advisor, and the log lines about them.

var (
	errLeaseOver = errors.New("the lease is over")
	// errNoAdvisor is returned for jobs that were accepted before their queue required
	// an advisor, if the settings name none.
	errNoAdvisor = errors.New("the settings name no placement advisor")
)

func (c *leader) execute(action dispatch.Action) {
	switch action.Kind {
	case dispatch.ActStart:
		c.logOrder("start", action, startFields(action)...)
		recordFirstStart(action.First)
		c.inFlight.Add(1)
		c.orders.Submit(func() { c.sendOrder("start", action, c.instance.routedWorkers.Start, (*dispatch.Core).StartAnswered) })
	case dispatch.ActStop:
		c.logOrder("stop", action)
		c.inFlight.Add(1)
		c.orders.Submit(func() { c.sendOrder("stop", action, c.instance.routedWorkers.Stop, (*dispatch.Core).StopAnswered) })
	case dispatch.ActPoll:
		c.polls.Submit(func() { c.poll(action) })
	case dispatch.ActReason:
		c.logger.Info("wait", waitFields(action)...)
	case dispatch.ActJobAbandoned:
		c.logger.Warn("job given up", append(taskFields(action.Order.Task), zap.Int64("epoch", action.Order.Epoch),
			zap.String("cause", string(action.FailureCause)), zap.String("reason", action.Reason))...)
	case dispatch.ActWorkerSoundness:
		c.logger.Warn("worker soundness", zap.String("worker", action.Order.Worker), zap.Int64("epoch", action.Order.Epoch),
			zap.String("state", action.State), zap.String("reason", action.Reason))
	case dispatch.ActTrial:
		c.logger.Info("trial", append(taskFields(action.Order.Task), zap.Int64("attempt", action.Order.Attempt), zap.Int64("epoch", action.Order.Epoch),
			zap.String("state", action.State), zap.String("reason", action.Reason))...)
	case dispatch.ActLost:
		c.logLostRun(action)
	case dispatch.ActUnknownEnd:
		c.logger.Warn("end of an unknown job", append(taskFields(action.Order.Task), zap.Int64("attempt", action.Order.Attempt), zap.String("worker", action.Order.Worker),
			zap.Int64("epoch", action.Order.Epoch), zap.String("kind", action.Reason), zap.Int64("number", action.Number))...)
	case dispatch.ActAskAdvisor:
		c.orders.Submit(func() { c.askAdvisor(action.AdviceRequest) })
	}
}

// waitFields returns the log fields of the reason why a step waits.
func waitFields(action dispatch.Action) []zap.Field {
	fields := append(taskFields(action.Order.Task), zap.Int64("epoch", action.Order.Epoch), zap.String("reason", action.Reason))
	if h := action.Held; h != nil {
		fields = append(fields, zap.Int64("free_tasks", h.Free), zap.Int64("usable_tasks", h.Usable), zap.Int("free_workers", h.FreeWorkers),
			zap.Int("usable_workers", h.UsableWorkers), zap.Int("workers", h.Workers), zap.Float64("load", math.Round(h.Load*100)/100),
			zap.Int64("stood_ms", h.Stood.Milliseconds()), zap.String("holds", h.Holds()))
	}
	return fields
}

// askAdvisor asks the placement advisor and passes its answer to the core.
func (c *leader) askAdvisor(request workload.AdviceRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, request.Timeout)
	defer cancel()
	advice := workload.AdviceResponse{Err: errNoAdvisor}
	if advisor := c.instance.options.Advisor; advisor != nil {
		advice = advisor.Advise(ctx, request)
	}
	c.logger.Info("advice", zap.String("job", request.Step.Job), zap.Int("occurrence", request.Step.Occurrence),
		zap.Int("step", request.Step.Step), zap.Int("asked", len(request.Workers)), zap.Int("allowed", len(advice.Allowed)), zap.Error(advice.Err))
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		core.AdviceAnswered(request, advice, now, wallMS)
	})
}

func (c *leader) logOrder(kind string, action dispatch.Action, more ...zap.Field) {
	fields := orderFields(kind, action.Order, zap.Int64("epoch", action.Order.Epoch), zap.String("reason", action.Reason))
	c.logger.Info("order", append(fields, more...)...)
}

// startFields returns the log fields that only starts have. The speed of the worker is
// left out where it is not known or the workers are equal.
func startFields(action dispatch.Action) []zap.Field {
	fields := []zap.Field{zap.Bool("resumes", action.Order.Checkpoint != "")}
	if action.WorkerSpeed > 0 {
		fields = append(fields, zap.String("worker_speed", strconv.FormatFloat(action.WorkerSpeed, 'f', 2, 64)))
	}
	return fields
}

// orderFields returns the log fields that identify an order.
func orderFields(kind string, o workload.Order, more ...zap.Field) []zap.Field {
	fields := append([]zap.Field{zap.String("order", kind)}, taskFields(o.Task)...)
	fields = append(fields, zap.Int64("attempt", o.Attempt), zap.String("worker", o.Worker))
	return append(fields, more...)
}

// logLostRun logs and counts a run that ended because its worker was lost.
func (c *leader) logLostRun(action dispatch.Action) {
	o, lost := action.Order, action.Lost
	metrics.GetOrCreateCounter(fmt.Sprintf(`corianderbank_deployment_lost_runs_total{cause="%s"}`, lost.Cause)).Inc()
	c.logger.Warn("run lost", append(taskFields(o.Task), zap.Int64("attempt", o.Attempt), zap.String("worker", o.Worker),
		zap.Int64("epoch", o.Epoch), zap.String("cause", string(lost.Cause)), zap.Int64("ran_ms", lost.Ran.Milliseconds()),
		zap.Int64("seen_ms", lost.Observed.Milliseconds()), zap.Int64("unheard_ms", lost.Unheard.Milliseconds()),
		zap.Int("beside", lost.OthersLost))...)
}

// taskFields returns the log fields that identify a task.
func taskFields(t workload.TaskID) []zap.Field {
	return []zap.Field{
		zap.String("job", t.Job), zap.Int("occurrence", t.Occurrence), zap.Int("step", t.Step), zap.Int("task", t.Index),
	}
}

// sendOrder sends an order if the lease is still valid at that moment, and passes the
// answer to the core.
func (c *leader) sendOrder(
	kind string, action dispatch.Action, send func(context.Context, workload.Order) workload.OrderResult,
	answered func(*dispatch.Core, workload.Order, workload.OrderResult, time.Time, int64),
) {
	defer c.inFlight.Add(-1)
	result := workload.OrderResult{Verdict: workload.VerdictUnsent, Err: errLeaseOver}
	sent := time.Now()
	if c.grant.valid() {
		result = send(c.ctx, action.Order)
	}
	metricOrder(kind, result.Verdict).UpdateDuration(sent)
	c.logFailedOrder(kind, action, result)
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		answered(core, action.Order, result, now, wallMS)
	})
}

func (c *leader) poll(action dispatch.Action) {
	report := workload.Report{Verdict: workload.VerdictUnsent, Err: errLeaseOver}
	if action.Poll.UntilMS == 0 || c.grant.valid() {
		report = c.instance.routedWorkers.Poll(c.ctx, action.Poll)
	}
	if report.Unparsed > 0 && c.unreadableReports.shouldLog(action.Poll.Worker, c.grant.epoch) {
		c.logger.Error("worker lists what cannot be read", zap.String("worker", action.Poll.Worker), zap.Int("rows", report.Unparsed))
	}
	for _, e := range report.Ended {
		if e.Number > action.Poll.Received {
			c.logger.Info("end", append(taskFields(e.Task), zap.Int64("attempt", e.Attempt), zap.String("worker", action.Poll.Worker),
				zap.String("kind", string(e.Kind)), zap.Int64("number", e.Number))...)
		}
	}
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.PollAnswered(action, report, now, wallMS) })
}

func metricOrder(kind string, verdict workload.Verdict) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`corianderbank_deployment_order_seconds{order="` + kind + `",verdict="` + verdict.String() + `"}`)
}

func (c *leader) logFailedOrder(kind string, action dispatch.Action, result workload.OrderResult) {
	if result.Verdict == workload.VerdictDone {
		return
	}
	fields := orderFields(kind, action.Order, zap.Stringer("verdict", result.Verdict), zap.Error(result.Err))
	if result.Hub != "" {
		fields = append(fields, zap.String("hub", result.Hub))
	}
	c.logger.Warn("order not carried out", fields...)
}

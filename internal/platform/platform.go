package platform

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/api"
)

// Stack implements Tables by layering, from the caller inwards, grouped writes,
// resolution of lost answers, the store budget and the circuit breaker over a
// client that makes one attempt per call. For Commit and Read, Stack checks the
// breaker before the other layers as well, so that during an outage their callers
// wait neither for the budget nor for a group.
type Stack struct {
	Tables
	grouping *GroupingTables
	budget   *BudgetedTables
	breaker  *Breaker
	metrics  *metrics.Set
}

// NewStack returns a stack over tables, whose Commit must make a single attempt.
// Close stops its background goroutines.
func NewStack(tables Tables) *Stack {
	s := &Stack{breaker: NewBreaker(tables), metrics: metrics.NewSet()}
	s.budget = NewBudgetedTables(s.breaker)
	s.grouping = NewGroupingTables(NewResolvingTables(s.budget))
	s.Tables = s.grouping
	s.register()
	return s
}

// Commit implements Tables. Calls that the breaker rejects fail immediately.
func (s *Stack) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := s.breaker.allow(purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return s.Tables.Commit(ctx, purpose, tx)
}

// Read implements Tables. Calls that the breaker rejects fail immediately.
func (s *Stack) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := s.breaker.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	return s.Tables.Read(ctx, purpose, refs...)
}

// Reachable reports whether the breaker is closed, that is, whether this instance
// considers the store reachable.
func (s *Stack) Reachable() bool { return s.breaker.Reachable() }

// SetInstances sets the number of instances that share the store budget.
func (s *Stack) SetInstances(instances int) { s.budget.SetInstances(instances) }

// WriteMetrics writes the store metrics in the Prometheus text format.
func (s *Stack) WriteMetrics(w io.Writer) { s.metrics.WritePrometheus(w) }

// Close rejects queued transactions and stops the background goroutines.
func (s *Stack) Close() {
	s.grouping.Close()
	s.breaker.Close()
}

func (s *Stack) register() {
	gauge := func(name string, value func() int64) {
		s.metrics.NewGauge(name, func() float64 { return float64(value()) })
	}
	for kind, b := range map[string]*bucket{"write": s.budget.writes, "read": s.budget.reads} {
		gauge(fmt.Sprintf(`corianderbank_store_calls_total{kind=%q}`, kind), b.taken.Load)
		gauge(fmt.Sprintf(`corianderbank_store_budget_refused_total{kind=%q}`, kind), b.refused.Load)
		gauge(fmt.Sprintf(`corianderbank_store_budget_waiting{kind=%q}`, kind), b.waiting.Load)
	}
	gauge("corianderbank_store_groups_total", s.grouping.groups.Load)
	gauge("corianderbank_store_grouped_transactions_total", s.grouping.grouped.Load)
	gauge("corianderbank_store_queue_refused_total", s.grouping.queue.Refused)
	gauge("corianderbank_store_breaker_refused_total", s.breaker.refusedCount)
	s.metrics.NewGauge("corianderbank_store_reachable", func() float64 {
		if s.Reachable() {
			return 1
		}
		return 0
	})
}

// Client gives an instance access to the platform's services. It is safe for
// concurrent use.
type Client struct {
	*Stack
	Objects
	InstanceLister
	http *HTTP
}

// NewClient returns a client of the platform at addr, an IP address and port.
// Its metrics are registered with those of the process. Close unregisters them,
// stops the background goroutines and closes idle connections.
func NewClient(addr string) *Client {
	adapter := NewHTTP(addr)
	client := &Client{Stack: NewStack(adapter), Objects: adapter, InstanceLister: adapter, http: adapter}
	metrics.RegisterSet(client.metrics)
	return client
}

// Close unregisters the metrics, stops the background goroutines and closes the
// idle connections to the platform.
func (c *Client) Close() {
	metrics.UnregisterSet(c.metrics, true)
	c.Stack.Close()
	c.http.Close()
}

// NewWriteID returns a random id that identifies one transaction.
func NewWriteID() string { return rand.Text() }

// ErrorOf converts a commit result to an error: nil for CommitDone, KindConflict
// for a version conflict, KindStoreUnavailable for any other CommitNotDone, and
// KindResultUnknown for CommitUnknown.
func ErrorOf(result CommitResult) error {
	switch {
	case result.State == CommitDone:
		return nil
	case result.State == CommitUnknown:
		return api.NewError(api.KindResultUnknown, "the store's answer is missing: %v", result.Err)
	case result.Err != nil:
		return api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", result.Err)
	default:
		return api.NewError(api.KindConflict, "the row has another version")
	}
}

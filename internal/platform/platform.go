package platform

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/api"
)

// Stack is Tables with everything between a caller and one attempt at the
// store: grouped writes, read-back of lost answers, the store budget and the
// breaker, in this order from the caller. The breaker is asked first as well, so
// that an outage costs callers neither the budget's wait nor the group's.
type Stack struct {
	Tables
	grouping *Grouping
	budget   *Budgeted
	breaker  *Breaker
	metrics  *metrics.Set
}

// NewStack returns a stack over tables, whose Commit makes one attempt. Close
// ends its duties.
func NewStack(tables Tables) *Stack {
	s := &Stack{breaker: NewBreaker(tables), metrics: metrics.NewSet()}
	s.budget = NewBudgeted(s.breaker)
	s.grouping = NewGrouping(NewResolving(s.budget))
	s.Tables = s.grouping
	s.register()
	return s
}

// Commit implements Tables. What the breaker refuses waits for nothing.
func (s *Stack) Commit(ctx context.Context, purpose Purpose, tx api.Tx) CommitResult {
	if err := s.breaker.allow(purpose); err != nil {
		return CommitResult{State: CommitNotDone, Err: err}
	}
	return s.Tables.Commit(ctx, purpose, tx)
}

// Read implements Tables. What the breaker refuses waits for nothing.
func (s *Stack) Read(ctx context.Context, purpose Purpose, refs ...api.Ref) (api.Rows, error) {
	if err := s.breaker.allow(purpose); err != nil {
		return api.Rows{}, err
	}
	return s.Tables.Read(ctx, purpose, refs...)
}

// Reachable reports whether the store answers, as far as this instance knows.
func (s *Stack) Reachable() bool { return s.breaker.Reachable() }

// SetInstances says how many instances share the store.
func (s *Stack) SetInstances(instances int) { s.budget.SetInstances(instances) }

// WriteMetrics writes the metrics of the store's use in Prometheus' format.
func (s *Stack) WriteMetrics(w io.Writer) { s.metrics.WritePrometheus(w) }

// Close refuses what is queued and ends the duties.
func (s *Stack) Close() {
	s.grouping.Close()
	s.breaker.Close()
}

func (s *Stack) register() {
	gauge := func(name string, value func() int64) {
		s.metrics.NewGauge(name, func() float64 { return float64(value()) })
	}
	for kind, share := range map[string]*bucket{"write": s.budget.writes, "read": s.budget.reads} {
		gauge(fmt.Sprintf(`corianderbank_store_calls_total{kind=%q}`, kind), share.taken.Load)
		gauge(fmt.Sprintf(`corianderbank_store_budget_refused_total{kind=%q}`, kind), share.refused.Load)
		gauge(fmt.Sprintf(`corianderbank_store_budget_waiting{kind=%q}`, kind), share.waiting.Load)
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

// Client is an instance's way to the platform. It is safe for concurrent use.
type Client struct {
	*Stack
	Objects
	InstanceLister
	http *HTTP
}

// NewClient returns a client of the platform at addr, an IP number and port.
// Its metrics are among those of the process. Close ends its duties and
// connections.
func NewClient(addr string) *Client {
	adapter := NewHTTP(addr)
	client := &Client{Stack: NewStack(adapter), Objects: adapter, InstanceLister: adapter, http: adapter}
	metrics.RegisterSet(client.metrics)
	return client
}

// Close ends the duties and closes the connections to the platform.
func (c *Client) Close() {
	metrics.UnregisterSet(c.metrics, true)
	c.Stack.Close()
	c.http.Close()
}

// NewWriteID returns an id for one transaction.
func NewWriteID() string { return rand.Text() }

// ErrorOf returns the error of a commit that did not take effect: nil for
// CommitDone, KindConflict for a plain conflict, KindStoreUnavailable if it
// never reached the store, KindResultUnknown for CommitUnknown.
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

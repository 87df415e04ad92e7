package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

var start = time.Unix(1000, 0)

func request(id, account string, deadline time.Duration) Request {
	return Request{ID: id, Account: account, Kind: "check", Arrived: start, Deadline: start.Add(deadline), Rule: "all"}
}

// newLearnedQueue returns a queue with many observations of the given run time.
func newLearnedQueue(policy Policy, slots int, runTime time.Duration, accounts ...string) *Queue {
	times := NewServiceTimes()
	for _, account := range accounts {
		for range 100 {
			times.Observe(account, "check", runTime)
		}
	}
	queue := NewQueue(policy, times)
	queue.SetCapacity(slots)
	return queue
}

func nextIDs(q *Queue, n int) []string {
	var ids []string
	for range n {
		next, ok := q.Next()
		if !ok {
			break
		}
		ids = append(ids, next.ID)
	}
	return ids
}

func TestAccountIsServedByPriorityThenDeadline(t *testing.T) {
	q := newLearnedQueue(Policy{}, 10, 10*time.Millisecond, "a")
	urgent := request("urgent", "a", 9*time.Second)
	urgent.Priority = 1
	for _, r := range []Request{request("late", "a", 8*time.Second), request("soon", "a", time.Second), urgent, request("same", "a", time.Second)} {
		assert.Assert(t, q.Offer(r, start) == nil)
	}
	assert.DeepEqual(t, nextIDs(q, 9), []string{"urgent", "soon", "same", "late"})
}

func TestOverloadingAccountGetsNoMoreThanItsWeight(t *testing.T) {
	for name, c := range map[string]struct {
		policy   Policy
		minSmall int
	}{
		"fair": {Policy{}, 25},
		"planted fault: requests are served by arrival": {Policy{NoFairness: true}, -1},
		"fair between accounts, by arrival within one":  {Policy{NoDeadlineOrder: true}, 25},
	} {
		t.Run(name, func(t *testing.T) {
			q := newLearnedQueue(c.policy, 10, 10*time.Millisecond, "big", "small")
			for i := range 150 {
				assert.Assert(t, q.Offer(request(fmt.Sprintf("big%03d", i), "big", time.Minute), start) == nil)
			}
			for i := range 50 {
				assert.Assert(t, q.Offer(request(fmt.Sprintf("small%03d", i), "small", time.Minute), start) == nil)
			}
			small := 0
			for _, id := range nextIDs(q, 50) {
				if id[:5] == "small" {
					small++
				}
			}
			if c.minSmall < 0 {
				assert.Equal(t, small, 0)
				return
			}
			assert.Assert(t, small >= c.minSmall, "%d of 50 turns", small)
		})
	}
}

func TestTurnsFollowWeights(t *testing.T) {
	q := newLearnedQueue(Policy{}, 10, 10*time.Millisecond, "heavy", "light")
	q.SetLimits("heavy", Limits{Weight: 3})
	for i := range 100 {
		q.Offer(request(fmt.Sprintf("h%d", i), "heavy", time.Minute), start)
		q.Offer(request(fmt.Sprintf("l%d", i), "light", time.Minute), start)
	}
	heavy := 0
	for _, id := range nextIDs(q, 80) {
		if id[0] == 'h' {
			heavy++
		}
	}
	assert.Equal(t, heavy, 60)
}

func TestAccountsAreChargedActualRunTime(t *testing.T) {
	q := NewQueue(Policy{}, NewServiceTimes())
	q.SetCapacity(1)
	for i := range 40 {
		q.Offer(request(fmt.Sprintf("l%d", i), "long", time.Hour), start)
		q.Offer(request(fmt.Sprintf("s%d", i), "short", time.Hour), start)
	}
	runTimes := map[byte]time.Duration{'l': time.Second, 's': 50 * time.Millisecond}
	service := map[byte]time.Duration{}
	for range 40 {
		next, ok := q.Next()
		assert.Assert(t, ok)
		q.Finish(next.ID, runTimes[next.ID[0]])
		service[next.ID[0]] += runTimes[next.ID[0]]
	}
	assert.Assert(t, service['l'] <= service['s']+2*time.Second, "long %v, short %v", service['l'], service['s'])
}

func TestQueueLimitRefusalHasRetryAfter(t *testing.T) {
	q := newLearnedQueue(Policy{}, 2, 100*time.Millisecond, "a")
	q.SetLimits("a", Limits{MaxQueued: 20})
	var refusal *Refusal
	for i := range 21 {
		refusal = q.Offer(request(fmt.Sprintf("r%d", i), "a", time.Minute), start)
	}
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Kind, api.KindQueueFull)
	assert.Equal(t, refusal.RetryAfter.Round(time.Millisecond), time.Second)
	assert.Equal(t, q.Waiting(), 20)
}

func TestRuleLimitsQueue(t *testing.T) {
	q := newLearnedQueue(Policy{}, 1, time.Millisecond, "a")
	for i := range 3 {
		r := request(fmt.Sprintf("r%d", i), "a", time.Minute)
		r.MaxQueued = 2
		refusal := q.Offer(r, start)
		assert.Equal(t, refusal != nil, i == 2)
	}
}

func TestMaxInFlightLimitsAccount(t *testing.T) {
	q := newLearnedQueue(Policy{}, 10, time.Millisecond, "a", "b")
	q.SetLimits("a", Limits{MaxInFlight: 1})
	for i := range 3 {
		q.Offer(request(fmt.Sprintf("a%d", i), "a", time.Minute), start)
	}
	q.Offer(request("b0", "b", time.Minute), start)
	assert.DeepEqual(t, nextIDs(q, 9), []string{"a0", "b0"})
	q.Finish("a0", time.Millisecond)
	assert.DeepEqual(t, nextIDs(q, 9), []string{"a1"})
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	q := newLearnedQueue(Policy{}, 1, 100*time.Millisecond, "a")
	for i := range 20 {
		q.Offer(request(fmt.Sprintf("r%d", i), "a", time.Minute), start)
	}
	refusal := q.Offer(request("patient", "a", 61*time.Second), start)
	assert.Assert(t, refusal == nil)
	unreachable := request("unreachable", "a", 50*time.Millisecond)
	refusal = q.Offer(unreachable, start)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Kind, api.KindDeadlineUnreachable)
	assert.Assert(t, refusal.RetryAfter >= MinRetryAfter)
}

func TestWaitingRequestExpiresOnceItCannotBeAnsweredInTime(t *testing.T) {
	for name, c := range map[string]struct {
		policy       Policy
		maxWait      time.Duration
		expiresAfter time.Duration
		kind         api.Kind
	}{
		"when the time left is shorter than the expected run time": {Policy{}, 0, 900 * time.Millisecond, api.KindDeadlineUnreachable},
		"when it has waited as long as its rule allows":            {Policy{}, 300 * time.Millisecond, 300 * time.Millisecond, api.KindQueueTimeout},
		"planted fault: without load shedding, at its deadline":    {Policy{NoShedding: true}, 0, time.Second, api.KindDeadlineUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			q := newLearnedQueue(c.policy, 1, 100*time.Millisecond, "a")
			r := request("r", "a", time.Second)
			r.MaxWait = c.maxWait
			assert.Assert(t, q.Offer(r, start) == nil)
			at, ok := q.NextExpiry()
			assert.Assert(t, ok)
			assert.Equal(t, at.Sub(start).Round(10*time.Millisecond), c.expiresAfter)
			assert.Equal(t, len(q.Expire(at.Add(-1))), 0)
			refusals := q.Expire(at)
			assert.Equal(t, len(refusals), 1)
			assert.Equal(t, refusals[0].Kind, c.kind)
			assert.Equal(t, q.Waiting(), 0)
		})
	}
}

func TestCancelRemovesWaitingRequest(t *testing.T) {
	q := newLearnedQueue(Policy{}, 1, time.Millisecond, "a")
	q.Offer(request("r", "a", time.Second), start)
	assert.Assert(t, q.Cancel("r"))
	assert.Assert(t, !q.Cancel("r"))
	_, ok := q.Next()
	assert.Assert(t, !ok)
}

func TestServiceTimesConverge(t *testing.T) {
	times := NewServiceTimes()
	assert.Equal(t, times.Mean("a", "k"), DefaultServiceTime)
	for i := range 2000 {
		runTime := 10 * time.Millisecond
		if i%5 == 0 {
			runTime = 100 * time.Millisecond
		}
		times.Observe("a", "k", runTime)
	}
	mean, high := times.Mean("a", "k"), times.HighQuantile("a", "k")
	assert.Assert(t, mean > 15*time.Millisecond && mean < 45*time.Millisecond, "mean %v", mean)
	assert.Assert(t, high > 60*time.Millisecond && high < 110*time.Millisecond, "high %v", high)
}

func BenchmarkOfferAndNext(b *testing.B) {
	q := newLearnedQueue(Policy{}, 50, 100*time.Millisecond, "a", "b", "c", "d")
	names := []string{"a", "b", "c", "d"}
	for i := range 200 {
		q.Offer(request(fmt.Sprint("w", i), names[i%4], time.Minute), start)
	}
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Offer(request(ids[i%1000], names[i%4], time.Minute), start)
		next, _ := q.Next()
		q.Finish(next.ID, 100*time.Millisecond)
	}
}

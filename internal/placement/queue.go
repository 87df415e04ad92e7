package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// Order of waiting jobs when one account submits most of the load, when long and short
// jobs mix, and under saturation. Without it the account that submits most starves the
// others, and a short job waits for hours behind long ones. Accounts are served by
// falling distance to their guarantee. Within an account, priority comes first, then
// the latest start that still meets the deadline. A job without a deadline, or with a
// later one, gets one in proportion to its run time, which bounds the slowdown (stretch)
// of short jobs (Bender, Chakrabarti and Muthukrishnan, SODA 1998).
const (
	// targetSlowdown is the multiple of its run time within which a job should finish
	// if it has no earlier deadline.
	targetSlowdown = 4
	// agingStep is the waiting time that raises the priority of a job by one.
	agingStep = 30 * time.Minute
)

// entry is one waiting job in the queue.
type entry struct {
	job      *model.Job
	account  int
	runTime  time.Duration
	priority int
	// latestStart is the latest start that meets both the deadline and targetSlowdown.
	latestStart time.Time
	done        bool
	// mayBorrowLater is set for a claim that may borrow once all claims have their
	// regions.
	mayBorrowLater bool
}

// queue holds the waiting jobs by account, each list in order.
type queue struct {
	byAccount [][]*entry
	// share is, by account, the larger of its guaranteed accelerators and its weight,
	// at least 1. Accounts are served by the ratio of their use to their share.
	share []int
	// configOrder serves the accounts in the order of the configuration, regardless of
	// their use.
	configOrder bool
}

// newQueue sorts the waiting jobs. Jobs of unknown accounts are omitted.
func newQueue(d *decider) *queue {
	s := d.snapshot
	q := &queue{byAccount: make([][]*entry, len(s.Accounts)), share: make([]int, len(s.Accounts)), configOrder: d.disabled.FairOrder}
	for i := range s.Accounts {
		q.share[i] = max(1, s.Accounts[i].GuaranteedAccelerators(s.Zone), s.Accounts[i].Weight)
	}
	entries := make([]entry, 0, len(s.Waiting))
	for i := range s.Waiting {
		job := &s.Waiting[i]
		account, known := d.accounts[job.Account]
		if !known {
			continue
		}
		entries = append(entries, newEntry(d, job, account))
		q.byAccount[account] = append(q.byAccount[account], &entries[len(entries)-1])
	}
	for _, list := range q.byAccount {
		slices.SortStableFunc(list, compareEntries)
	}
	return q
}

func newEntry(d *decider, job *model.Job, account int) entry {
	s := d.snapshot
	runTime := remainingRun(s, job)
	latestStart := job.SubmittedAt.Add((targetSlowdown - 1) * runTime)
	if d.disabled.LatestStarts {
		latestStart = job.SubmittedAt
	}
	if deadlineStart := job.Deadline.Add(-runTime); !job.Deadline.IsZero() && deadlineStart.Before(latestStart) {
		latestStart = deadlineStart
	}
	aged := int(max(0, s.Now.Sub(job.SubmittedAt)) / agingStep)
	return entry{job: job, account: account, runTime: runTime, priority: job.Priority + aged, latestStart: latestStart}
}

// remainingRun returns the corrected run time that a job still needs.
func remainingRun(s *Snapshot, job *model.Job) time.Duration {
	runTime := s.RunTimes.Run(job.Account, job.Kind, job.DeclaredRunTime)
	return max(time.Second, runTime-job.Progress)
}

// compareEntries orders the jobs of one account.
func compareEntries(a, b *entry) int {
	if a.job.Urgent != b.job.Urgent {
		if a.job.Urgent {
			return -1
		}
		return 1
	}
	if a.priority != b.priority {
		return cmp.Compare(b.priority, a.priority)
	}
	return a.latestStart.Compare(b.latestStart)
}

// forEach calls visit for every job that is not done. The next job is always the first
// remaining one of the account that uses the smallest fraction of its share. The use
// may change during a visit.
func (q *queue) forEach(use []int, visit func(*entry)) {
	next := make([]int, len(q.byAccount))
	for {
		account := q.nextAccount(use, next)
		if account < 0 {
			return
		}
		e := q.byAccount[account][next[account]]
		next[account]++
		if !e.done {
			visit(e)
		}
	}
}

// byLatestStart lists the jobs of all accounts in order of their latest start.
func (q *queue) byLatestStart() []*entry {
	var all []*entry
	for _, list := range q.byAccount {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b *entry) int { return a.latestStart.Compare(b.latestStart) })
	return all
}

// nextAccount returns the account to serve next, or -1 if all lists are exhausted.
func (q *queue) nextAccount(use, next []int) int {
	best := -1
	for i, list := range q.byAccount {
		if next[i] == len(list) {
			continue
		}
		if best < 0 || (!q.configOrder && use[i]*q.share[best] < use[best]*q.share[i]) {
			best = i
		}
	}
	return best
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers one account with most of the load, long work among short,
// and saturation. Without it the largest submitter starves the others, and a
// short job waits for hours behind long ones. Accounts are served by falling
// distance to their guarantee; inside one, priority goes first, then the latest
// start that still meets the deadline. A job without a deadline gets one in
// proportion to its run time, which bounds the stretch of short jobs (Bender, Chakrabarti and
// Muthukrishnan, SODA 1998).
const (
	// stretch is the multiple of its run time that a job may take without
	// being late in the order.
	stretch = 4
	// agingStep is the wait that raises a job's priority by one.
	agingStep = 30 * time.Minute
)

// entry is one waiting job in the queue.
type entry struct {
	job      *model.Job
	account  int
	run      time.Duration
	priority int
	// due is the latest time to start.
	due  time.Time
	done bool
	// borrows is said of a claim that may borrow once all claims have their
	// regions.
	borrows bool
}

// queue holds the waiting jobs by account, each list in order.
type queue struct {
	lists [][]*entry
	// share is what an account's use is measured against.
	share []int
	// inOrder serves the accounts in their order, whatever they use.
	inOrder bool
}

// newQueue sorts the waiting jobs. Jobs of unknown accounts are left out.
func newQueue(d *decider) *queue {
	s := d.s
	q := &queue{lists: make([][]*entry, len(s.Accounts)), share: make([]int, len(s.Accounts)), inOrder: d.off.FairOrder}
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
		q.lists[account] = append(q.lists[account], &entries[len(entries)-1])
	}
	for _, list := range q.lists {
		slices.SortStableFunc(list, before)
	}
	return q
}

func newEntry(d *decider, job *model.Job, account int) entry {
	s := d.s
	run := remaining(s, job)
	due := job.SubmittedAt.Add((stretch - 1) * run)
	if d.off.DueTimes {
		due = job.SubmittedAt
	}
	if latest := job.Deadline.Add(-run); !job.Deadline.IsZero() && latest.Before(due) {
		due = latest
	}
	aged := int(max(0, s.Now.Sub(job.SubmittedAt)) / agingStep)
	return entry{job: job, account: account, run: run, priority: job.Priority + aged, due: due}
}

// remaining is the corrected run time that a job still needs.
func remaining(s *Snapshot, job *model.Job) time.Duration {
	run := s.Runs.Run(job.Account, job.Kind, job.DeclaredRun)
	return max(time.Second, run-job.Progress)
}

// before orders the jobs of one account.
func before(a, b *entry) int {
	if a.job.Urgent != b.job.Urgent {
		if a.job.Urgent {
			return -1
		}
		return 1
	}
	if a.priority != b.priority {
		return cmp.Compare(b.priority, a.priority)
	}
	return a.due.Compare(b.due)
}

// each calls visit for every job that is not done, each time the first one of
// the account whose use is the smallest part of its share. The use may change
// during a visit.
func (q *queue) each(use []int, visit func(*entry)) {
	next := make([]int, len(q.lists))
	for {
		account := q.mostEntitled(use, next)
		if account < 0 {
			return
		}
		job := q.lists[account][next[account]]
		next[account]++
		if !job.done {
			visit(job)
		}
	}
}

// byDue lists the jobs of all accounts by their latest start.
func (q *queue) byDue() []*entry {
	var all []*entry
	for _, list := range q.lists {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b *entry) int { return a.due.Compare(b.due) })
	return all
}

// mostEntitled returns the account to serve next, or -1.
func (q *queue) mostEntitled(use, next []int) int {
	best := -1
	for i, list := range q.lists {
		if next[i] == len(list) {
			continue
		}
		if best < 0 || (!q.inOrder && use[i]*q.share[best] < use[best]*q.share[i]) {
			best = i
		}
	}
	return best
}

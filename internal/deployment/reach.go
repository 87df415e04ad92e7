package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// pathTimeout bounds one attempt on one path. The store answers within
	// milliseconds; when it is slow, within a few hundred.
	pathTimeout = 900 * time.Millisecond
	// pathPatience is how long a path may take before the next one is tried as well.
	// Without it an instance that the store does not answer holds an urgent job for most
	// of the time that it has.
	pathPatience = 250 * time.Millisecond
	// directAgainAfter is how soon the direct path is tried first again after it
	// failed, while a peer has one.
	directAgainAfter = 1 * time.Second
	// followSlack is added to the time that the store may wait.
	followSlack = 900 * time.Millisecond
	// reachableFor is how long an answer of the store counts as a sign that it
	// can be reached.
	reachableFor = 1500 * time.Millisecond
)

// reach is the store by whatever path works: directly, or through a peer that
// reaches it. Often the store turns away only some instances. It implements
// workload.Store.
type reach struct {
	*reachState
	// limit bounds one attempt on one path; after patience the next one is tried too.
	limit, patience time.Duration
}

// limits are the times of one call.
type limits struct {
	// attempt bounds one attempt; patience is after how long without an answer the
	// next path is tried beside it.
	attempt, patience time.Duration
}

const (
	// slowFactor is how many times what the store took lately a path may take.
	slowFactor = 2
	// longestAttempt bounds an attempt on a slow store.
	longestAttempt = 1200 * time.Millisecond
	// latencyWeight is the weight of the newest answer in what the store took lately.
	latencyWeight = 0.3
)

// limitsFor are the times of a call when the store took so long lately. A slow store
// that is asked again on another path does the work twice, and is slower for it.
func limitsFor(limit, patience, lately time.Duration) limits {
	slow := min(slowFactor*lately, longestAttempt)
	return limits{attempt: max(limit, slow), patience: max(patience, slow)}
}

func (r *reach) limits() limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return limitsFor(r.limit, r.patience, r.lately)
}

// noteLatency takes in how long the store took to answer directly.
func (r *reach) noteLatency(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lately += time.Duration(latencyWeight * float64(took-r.lately))
}

// within returns the same reach with another bound for an attempt.
func (r *reach) within(limit time.Duration) *reach {
	return &reach{reachState: r.reachState, limit: limit, patience: min(r.patience, limit)}
}

// reachState is what all uses of the reach share.
type reachState struct {
	direct workload.Store
	caller peer.Caller
	logger *zap.Logger
	// helpers lists the peers that said that they reach the store.
	helpers func() []string
	// answered is told when a call that the store answered had begun.
	answered func(began time.Time)

	mu sync.Mutex
	// failedAt is when the direct path failed last; zero after a success.
	failedAt time.Time
	// answeredAt is when the store answered last, directly and by any path.
	directAt, answeredAt time.Time
	// silentAt is when no path worked last; zero if that never happened.
	silentAt time.Time
	// lately is how long the store took to answer directly, averaged.
	lately time.Duration
	lost   bool
}

// callFollow is the call that waits for changes; how long it takes says nothing of the
// store.
const callFollow = "follow"

// attempt is one try of a call on one path.
type attempt[T any] func(ctx context.Context, store workload.Store) (T, error)

// outcome is what became of an attempt on one path.
type outcome[T any] struct {
	path  workload.Store
	began time.Time
	got   T
	err   error
}

// byAnyPath tries the paths in turn, the next one as soon as one failed or has not
// answered for a while, and takes the first answer. An error wraps
// workload.ErrUnknown if any attempt may have been performed.
func byAnyPath[T any](ctx context.Context, r *reach, call string, limits limits, try attempt[T]) (T, error) {
	paths := r.paths()
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], len(paths))
	next := time.NewTimer(limits.patience)
	defer next.Stop()
	started := 0
	start := func() {
		path := paths[started]
		started++
		next.Reset(limits.patience)
		go func() { outcomes <- attemptOn(within, path, limits.attempt, try) }()
	}
	start()
	var f failures
	for ended := 0; ended < started; {
		select {
		case o := <-outcomes:
			ended++
			r.measure(call, o.path, o.began, o.err)
			if o.err == nil || errors.Is(o.err, workload.ErrHistoryGone) {
				r.answeredBy(o.path, o.began, paths[:started])
				if o.path == r.direct && call != callFollow {
					r.noteLatency(bootTime().Sub(o.began))
				}
				return o.got, o.err
			}
			f.add(o.err)
			if ctx.Err() != nil {
				continue
			}
			r.note(o.path, o.began, o.err)
			if started < len(paths) {
				start()
			}
		case <-next.C:
			if started < len(paths) && ctx.Err() == nil {
				start()
			}
		}
	}
	if ctx.Err() == nil {
		r.noteSilence()
	}
	var zero T
	return zero, f.err()
}

func attemptOn[T any](ctx context.Context, path workload.Store, limit time.Duration, try attempt[T]) outcome[T] {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o := outcome[T]{path: path, began: bootTime()}
	o.got, o.err = try(ctx, path)
	return o
}

// failures collects why all paths failed.
type failures struct {
	list    []error
	unknown bool
}

func (f *failures) add(err error) {
	f.list = append(f.list, err)
	f.unknown = f.unknown || errors.Is(err, workload.ErrUnknown)
}

func (f *failures) err() error {
	kind := workload.ErrNotDone
	if f.unknown {
		kind = workload.ErrUnknown
	}
	return fmt.Errorf("%w: %w", kind, errors.Join(f.list...))
}

// errOvertaken is noted of the direct path when a peer's answer came first.
var errOvertaken = errors.New("a peer had an answer first")

// answeredBy notes the path that answered, and that the direct one was slower than
// a peer.
func (r *reach) answeredBy(path workload.Store, began time.Time, tried []workload.Store) {
	r.note(path, began, nil)
	r.noteAnswer(began)
	if path != r.direct && tried[0] == r.direct {
		r.note(r.direct, began, errOvertaken)
	}
}

// mostHelpers bounds the peers that are asked for one call.
const mostHelpers = 2

// paths lists the ways to the store, the likeliest first.
func (r *reach) paths() []workload.Store {
	r.mu.Lock()
	failed := !r.failedAt.IsZero() && bootTime().Sub(r.failedAt) < directAgainAfter
	r.mu.Unlock()
	var helpers []workload.Store
	for _, id := range r.helpers() {
		if len(helpers) < mostHelpers {
			helpers = append(helpers, &relay{peer: id, caller: r.caller})
		}
	}
	if failed && len(helpers) > 0 {
		return append(helpers, r.direct)
	}
	return append([]workload.Store{r.direct}, helpers...)
}

// note keeps the result of an attempt that began at a time, and logs when the
// store is lost and when it is back. An answer to a call that began before the
// last failure says nothing: the store lets calls that wait for changes end.
func (r *reach) note(path workload.Store, began time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	if err == nil && began.After(r.silentAt) {
		r.answeredAt = now
	}
	if path != r.direct || err == nil && began.Before(r.failedAt) {
		return
	}
	if err == nil {
		r.directAt, r.failedAt = now, time.Time{}
	} else {
		r.failedAt = now
	}
	if lost := err != nil; lost != r.lost {
		r.lost = lost
		if lost {
			r.logger.Warn("dependency lost", zap.String("dependency", "store"), zap.Error(err))
		} else {
			r.logger.Info("dependency regained", zap.String("dependency", "store"))
		}
	}
}

// measure keeps how long a call took, by its path and what became of it.
func (r *reach) measure(call string, path workload.Store, began time.Time, err error) {
	by, result := "peer", "done"
	if path == r.direct {
		by = "direct"
	}
	switch {
	case errors.Is(err, workload.ErrUnknown):
		result = "unknown"
	case err != nil:
		result = "not_done"
	}
	name := fmt.Sprintf(`corianderbank_deployment_store_seconds{call=%q,path=%q,result=%q}`, call, by, result)
	metrics.GetOrCreateHistogram(name).Update(bootTime().Sub(began).Seconds())
}

func (r *reach) noteAnswer(began time.Time) {
	if r.answered != nil {
		r.answered(began)
	}
}

func (r *reach) noteSilence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentAt = bootTime()
}

// steady reports whether the store has answered without a break for a while.
func (r *reach) steady(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silentAt.IsZero() || bootTime().Sub(r.silentAt) >= d
}

// away is how long the store has not answered by any path.
func (r *reach) away() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bootTime().Sub(r.answeredAt)
}

// reachable reports whether the store answered lately by any path, and directly.
func (r *reach) reachable() (byAnyPath, directly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTime()
	return now.Sub(r.answeredAt) < reachableFor, now.Sub(r.directAt) < reachableFor && r.failedAt.IsZero()
}

// Write implements workload.Store.
func (r *reach) Write(ctx context.Context, write workload.Write) (workload.Written, error) {
	return byAnyPath(ctx, r, "write", r.limits(), func(ctx context.Context, store workload.Store) (workload.Written, error) {
		return store.Write(ctx, write)
	})
}

// Read implements workload.Store.
func (r *reach) Read(ctx context.Context, source workload.Source, part, from, to string) (workload.Page, error) {
	return byAnyPath(ctx, r, "read", r.limits(), func(ctx context.Context, store workload.Store) (workload.Page, error) {
		return store.Read(ctx, source, part, from, to)
	})
}

// Follow implements workload.Store.
func (r *reach) Follow(ctx context.Context, source workload.Source, after int64, wait time.Duration) (workload.Page, error) {
	return byAnyPath(ctx, r, callFollow, limits{wait + followSlack, wait + r.patience}, func(ctx context.Context, store workload.Store) (workload.Page, error) {
		return store.Follow(ctx, source, after, wait)
	})
}

// readAll reads a whole range of a part, page by page. The version is that of the first
// page: what changed since then is in the feed.
func readAll(ctx context.Context, store workload.Store, source workload.Source, part, from, to string) ([]workload.Row, int64, error) {
	var rows []workload.Row
	version := int64(-1)
	for {
		page, err := store.Read(ctx, source, part, from, to)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

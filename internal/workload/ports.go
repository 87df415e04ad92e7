package workload

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Row is a row of the store. Version is zero if the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	// Deleted marks a removed row in a feed.
	Deleted bool
}

// Write is a transaction on the product's own table. It is applied completely or
// not at all.
type Write struct {
	// Part is the part of the table that contains all rows of the transaction. The
	// store executes the transactions of one part sequentially, and those of
	// different parts concurrently.
	Part string
	// Expect lists the versions that rows must have. Zero means that the row must
	// not exist.
	Expect []Row
	Put    []Row
	Remove []string
}

// WriteLimits are the bounds of one write.
type WriteLimits struct {
	// RowBytes bounds the value of a row, Bytes all values together, and Entries the rows that are
	// expected, put or removed. Zero means no bound.
	RowBytes, Bytes, Entries int
}

// WriteResult is the result of a Write.
type WriteResult struct {
	// Version is the new version of the rows that were put.
	Version int64
	// Conflict reports that the version of a row in Expect did not match and nothing
	// was written. Rows then contains the current state of the expected rows.
	Conflict bool
	Rows     []Row
}

// ErrUnknown is wrapped by errors of store calls that may have been executed or
// may still be executed.
var ErrUnknown = errors.New("the store's answer is missing")

// ErrNotDone is wrapped by errors of store calls that were definitely not executed.
var ErrNotDone = errors.New("the store did not perform the call")

// ErrRefused is wrapped, with ErrNotDone, by errors of writes that the store refuses because of what
// they hold: the same write would be refused again.
var ErrRefused = errors.New("the store refuses the write")

// ErrHistoryGone is wrapped by errors of Follow calls for changes that the store no
// longer retains.
var ErrHistoryGone = errors.New("the store no longer keeps that history")

// Source identifies a table that can be read and followed.
type Source string

// Tables that the product follows.
const (
	// SourceOwn is the product's own table.
	SourceOwn Source = "own"
	// SourceConfiguration is the table that operators write.
	SourceConfiguration Source = "configuration"
	// SourceWorkers is the table in which workers register themselves.
	SourceWorkers Source = "workers"
)

// Page is part of a consistent snapshot of a table, or part of its changes.
type Page struct {
	Rows []Row
	// Version is the newest version of the store at the time of the snapshot.
	Version int64
	// More reports whether further rows follow the last one.
	More bool
}

// Store is the platform's table store. All errors wrap ErrUnknown, ErrNotDone or
// ErrHistoryGone.
type Store interface {
	Write(ctx context.Context, write Write) (WriteResult, error)
	// Read returns the rows of a part with from <= key < to. An empty to means no
	// upper bound.
	Read(ctx context.Context, source Source, part, from, to string) (Page, error)
	// Follow waits for changes after a version in all parts of a table.
	Follow(ctx context.Context, source Source, after int64, wait time.Duration) (Page, error)
}

// Order instructs a worker to start or stop one run of a task.
type Order struct {
	Worker string
	Addr   string
	// Zone is the worker's availability zone.
	Zone string
	// Incarnation is the worker's incarnation as known when the order was given. It is
	// not sent: the worker that carries out the order may be a later one.
	Incarnation int64
	Task        TaskID
	Attempt     int64
	// Epoch is the fencing token. A worker rejects orders with an epoch lower than
	// the highest it has seen.
	Epoch int64
	// UntilMS is the latest time for a start, on the worker's clock. A start also
	// extends the worker's lease up to this time.
	UntilMS    int64
	Spec       string
	Checkpoint string
	// Ticket is the placement advisor's approval, if the queue requires one.
	Ticket string
}

// Verdict is the outcome of an order or a poll.
type Verdict int

// Outcomes of an order or a poll.
const (
	// VerdictDone means that the order was carried out, now or earlier.
	VerdictDone Verdict = iota
	// VerdictUnknown means that there was no usable answer. The order may have been
	// carried out or may still be.
	VerdictUnknown
	// VerdictFenced means that the worker has seen a higher epoch.
	VerdictFenced
	// VerdictOld means that the same or a later attempt already ended on the worker.
	VerdictOld
	// VerdictLate means that the latest start time had passed on the worker's clock.
	VerdictLate
	// VerdictNoCapacity means that the worker does not have enough free capacity.
	VerdictNoCapacity
	// VerdictNoTicket means that the advisor's ticket is missing or has expired.
	VerdictNoTicket
	// VerdictOtherIncarnation means that another incarnation of the worker answered.
	VerdictOtherIncarnation
	// VerdictUnavailable means that the worker was overloaded or unavailable, refused the
	// order and did nothing.
	VerdictUnavailable
	// VerdictRejected means that the worker rejected the order as malformed.
	VerdictRejected
	// VerdictUnsent means that nothing was sent, for instance because no connection
	// could be opened or the leader's lease had expired.
	VerdictUnsent
	// VerdictConnectionRefused means that the worker's address refused the connection, so that
	// nothing was sent.
	VerdictConnectionRefused
)

var verdictNames = [...]string{"done", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "gone", "unwell", "rejected", "unsent", "closed"}

// String returns the verdict's name in messages, metrics and log lines.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict returns the verdict with the given name, or VerdictUnknown if there
// is none.
func ParseVerdict(name string) Verdict {
	if n := slices.Index(verdictNames[:], name); n >= 0 {
		return Verdict(n)
	}
	return VerdictUnknown
}

// OrderResult is the result of an order. ClockMS is the worker's clock and Incarnation the
// incarnation that answered; each is zero if the answer did not include it.
type OrderResult struct {
	Verdict     Verdict
	ClockMS     int64
	Incarnation int64
	// Hub is the instance that made the call for this one, or empty if this one made it.
	Hub string
	Err error
}

// Running is a run that a worker reports as in progress.
type Running struct {
	Task       TaskID
	Attempt    int64
	Checkpoint string
	// Percent is the completed share of its work.
	Percent int
}

// CompletionKind is the way in which a run ended.
type CompletionKind string

// Kinds of completion.
const (
	CompletionDone    CompletionKind = "done"
	CompletionFailed  CompletionKind = "failed"
	CompletionStopped CompletionKind = "stopped"
	// CompletionExpired means that the worker's lease expired.
	CompletionExpired CompletionKind = "lapsed"
	// CompletionInterrupted means that another member of the gang ended.
	CompletionInterrupted CompletionKind = "broken"
	// CompletionGangIncomplete means that the other members of the gang did not start in time.
	CompletionGangIncomplete CompletionKind = "alone"
)

// Completion is a run that a worker reports as ended.
type Completion struct {
	// Number increases with each completion within one incarnation of a worker.
	Number     int64
	Task       TaskID
	Attempt    int64
	Kind       CompletionKind
	Checkpoint string
}

// Poll requests a worker's running and ended runs and extends its lease.
type Poll struct {
	Worker, Addr string
	// Zone is the worker's availability zone.
	Zone string
	// Incarnation is the worker's incarnation as known when the poll was sent.
	Incarnation int64
	Epoch       int64
	// Acknowledged is the number of the last completion that was recorded.
	Acknowledged int64
	// Received is the number of the last completion that was received, recorded or not. It is not
	// sent to the worker.
	Received int64
	// UntilMS is the new end of the lease on the worker's clock. Zero does not extend
	// the lease.
	UntilMS int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Report is a worker's answer to a Poll. ClockMS and Incarnation are those of OrderResult.
type Report struct {
	Verdict     Verdict
	ClockMS     int64
	Incarnation int64
	Running     []Running
	Ended       []Completion
	// Unparsed counts rows that could not be parsed. Each is a run, in progress or
	// ended, that cannot be identified.
	Unparsed int
	Err      error
}

// maxListedEnds is the number of ends that a worker lists in one answer at most. It lists the others
// once these have been acknowledged.
const maxListedEnds = 500

// EndsIncomplete reports whether the worker may have left out ends for their number.
func (r *Report) EndsIncomplete() bool { return len(r.Ended)+r.Unparsed >= maxListedEnds }

// Workers sends orders and polls to workers.
type Workers interface {
	Start(ctx context.Context, order Order) OrderResult
	Stop(ctx context.Context, order Order) OrderResult
	Poll(ctx context.Context, poll Poll) Report
	// Forget releases the resources kept for a worker that is gone.
	Forget(worker string)
}

// AdviceRequest is a request to the placement advisor: which workers may run a step.
type AdviceRequest struct {
	// Step identifies the step. Its Index is not used.
	Step    TaskID
	Workers []string
	// Timeout limits the time to answer, which grows with the number of workers.
	Timeout time.Duration
}

// Ticket is the advisor's approval for a worker to run a step.
type Ticket struct {
	Worker string
	Ticket string
}

// AdviceResponse is the advisor's answer.
type AdviceResponse struct {
	// Allowed lists the workers of the request that may run the step.
	Allowed []Ticket
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
	Err      error
}

// Advisor is the placement advisor, which decides which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, question AdviceRequest) AdviceResponse
}

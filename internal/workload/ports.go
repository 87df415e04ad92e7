package workload

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Row is a row of the store. Version is zero where the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	// Deleted marks, in a feed, a row that was dropped.
	Deleted bool
}

// Write is one transaction on the table of this product. It applies whole or
// not at all.
type Write struct {
	// Part is the part of the table that all its rows lie in. The store carries out the
	// transactions of one part one after the other, and parts beside each other.
	Part string
	// Expect lists the versions that rows must have; zero: it must not exist.
	Expect []Row
	Put    []Row
	Remove []string
}

// Written is the answer to a Write.
type Written struct {
	// Version is the version that the put rows have now.
	Version int64
	// Conflict says that an expectation did not hold; Rows are the expected
	// rows as they are. Nothing was written.
	Conflict bool
	Rows     []Row
}

// ErrUnknown marks a store call that may have been performed, or may still be.
var ErrUnknown = errors.New("the store's answer is missing")

// ErrNotDone marks a store call that was surely not performed.
var ErrNotDone = errors.New("the store did not perform the call")

// ErrHistoryGone marks a feed whose history is no longer kept.
var ErrHistoryGone = errors.New("the store no longer keeps that history")

// Source is a table that can be read and followed.
type Source string

// The sources that the product follows.
const (
	// SourceOwn is the product's own table.
	SourceOwn Source = "own"
	// SourceConfiguration is what operators write.
	SourceConfiguration Source = "configuration"
	// SourceWorkers is where workers register themselves.
	SourceWorkers Source = "workers"
)

// Page is a part of a table as of one moment, or changes to it.
type Page struct {
	Rows []Row
	// Version is the newest version of the store at that moment.
	Version int64
	// More says that rows follow after the last one.
	More bool
}

// Store is the platform's table store. Errors wrap ErrUnknown, ErrNotDone or
// ErrHistoryGone.
type Store interface {
	Write(ctx context.Context, write Write) (Written, error)
	// Read returns rows of a part with from <= key < to; an empty to is no bound.
	Read(ctx context.Context, source Source, part, from, to string) (Page, error)
	// Follow waits for changes after a version, in all parts.
	Follow(ctx context.Context, source Source, after int64, wait time.Duration) (Page, error)
}

// Order is an instruction to a worker about one run of a task.
type Order struct {
	Worker string
	Addr   string
	// Zone is the worker's availability zone.
	Zone    string
	Task    TaskID
	Attempt int64
	// Epoch fences: a worker does nothing for a lower one than it has seen.
	Epoch int64
	// UntilMS bounds, on the worker's clock, when a start may happen.
	UntilMS    int64
	Spec       string
	Checkpoint string
	// Ticket is the advisor's word, if the queue asks for it.
	Ticket string
}

// Verdict is what became of an order.
type Verdict int

// The verdicts.
const (
	// VerdictDone means carried out, or found carried out already.
	VerdictDone Verdict = iota
	// VerdictUnknown means no answer: it may be carried out yet.
	VerdictUnknown
	// VerdictFenced means that the worker has seen a higher epoch.
	VerdictFenced
	// VerdictOld means that an equal or later attempt was ended there.
	VerdictOld
	// VerdictLate means that its time was over on the worker's clock.
	VerdictLate
	// VerdictNoRoom means that the worker has no room.
	VerdictNoRoom
	// VerdictNoTicket means that the advisor's word is missing or too old.
	VerdictNoTicket
	// VerdictGone means that another life of the worker answered.
	VerdictGone
	// VerdictUnwell means that the worker refused and did nothing.
	VerdictUnwell
	// VerdictRejected means that the worker calls the order malformed.
	VerdictRejected
	// VerdictUnsent means that there was no connection: nothing was carried out.
	VerdictUnsent
	// VerdictClosed means the same, because nobody listens at the address.
	VerdictClosed
)

var verdictNames = [...]string{"done", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "gone", "unwell", "rejected", "unsent", "closed"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict is the verdict of a name; VerdictUnknown where there is none.
func ParseVerdict(name string) Verdict {
	if n := slices.Index(verdictNames[:], name); n >= 0 {
		return Verdict(n)
	}
	return VerdictUnknown
}

// Receipt is the answer to an order. ClockMS is the worker's clock, zero if it
// did not say.
type Receipt struct {
	Verdict Verdict
	ClockMS int64
	Err     error
}

// Running is a run that a worker lists as under way.
type Running struct {
	Task       TaskID
	Attempt    int64
	Checkpoint string
	// Percent is how much of its work is done.
	Percent int
}

// EndKind says how a run ended.
type EndKind string

// The ways to end.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed means that the worker's lease ran out.
	EndLapsed EndKind = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone means that the rest of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// Ended is a run that a worker lists as ended.
type Ended struct {
	// Number rises by each end in one life of a worker.
	Number     int64
	Task       TaskID
	Attempt    int64
	Kind       EndKind
	Checkpoint string
}

// Poll asks a worker what it runs, and extends its lease.
type Poll struct {
	Worker, Addr string
	// Zone is the worker's availability zone.
	Zone  string
	Epoch int64
	// Noted is the number of the last end that was recorded.
	Acknowledged int64
	// UntilMS extends the lease, on the worker's clock; zero does not.
	UntilMS int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Report is a worker's answer to a Look.
type Report struct {
	Verdict Verdict
	ClockMS int64
	Running []Running
	Ended   []Ended
	// Unread counts rows that could not be read: something runs there, or ended, that
	// nobody here knows.
	Unread int
	Err    error
}

// Workers gives orders to workers.
type Workers interface {
	Start(ctx context.Context, order Order) Receipt
	Stop(ctx context.Context, order Order) Receipt
	Poll(ctx context.Context, poll Poll) Report
	// Forget closes what is kept for a worker that is gone.
	Forget(worker string)
}

// Question asks the placement advisor which workers may run a step.
type Question struct {
	// Step names the step; its Index says nothing.
	Step    TaskID
	Workers []string
	// Within bounds the answer: the advisor takes a while for each worker.
	Within time.Duration
}

// Ticket is the advisor's word that a worker may run a step.
type Ticket struct {
	Worker string
	Ticket string
}

// Counsel is the advisor's answer.
type Counsel struct {
	// Allowed are the workers named that may run the step.
	Allowed []Ticket
	// ValidFor is how long the tickets hold.
	ValidFor time.Duration
	Err      error
}

// Advisor answers which workers a queue's policy allows.
type Advisor interface {
	Advise(ctx context.Context, question Question) Counsel
}

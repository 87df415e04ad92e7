package jobstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// The tables. One transaction changes a job's row and its index rows.
const (
	// tableJobs holds the records, by id. Rows are never deleted.
	tableJobs = "jobs"
	// tableOpen has a row "zone/id" for each job that has not ended.
	tableOpen = "jobs_open"
	// tableKeys maps "account/key" to the id. Rows are never deleted.
	tableKeys = "job_keys"
	// tableRecent has a row for each job that sorts the newest first.
	tableRecent = "jobs_recent"
)

// The sizes of one call to the store.
const (
	scanPage = 500
	readPage = 100
	// maxListPages bounds how far back List looks for an account's jobs.
	maxListPages = 20
)

// Tables is the implementation of Store. It is safe for concurrent use.
type Tables struct {
	tables platform.Tables
}

var _ Store = (*Tables)(nil)

// New returns a store kept in tables, whose Commit must settle lost answers
// (see platform.Resolving).
func New(tables platform.Tables) *Tables { return &Tables{tables: tables} }

// index is the value of an index row.
type index struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Zone    string `json:"availability_zone"`
}

func jobRef(id string) api.Ref { return api.Ref{Table: tableJobs, Key: id} }

func openRef(record Record) api.Ref {
	return api.Ref{Table: tableOpen, Key: record.Zone + "/" + record.ID}
}

func keyRef(record Record) api.Ref {
	return api.Ref{Table: tableKeys, Key: record.Submission.Account + "/" + record.Submission.IdempotencyKey}
}

// recentRef sorts newer jobs first: the key starts with the time left until
// the end of the representable times.
func recentRef(record Record) api.Ref {
	left := math.MaxInt64 - record.SubmittedAt.UnixNano()
	return api.Ref{Table: tableRecent, Key: fmt.Sprintf("%019d/%s", left, record.ID)}
}

// Accept implements Store.
func (t *Tables) Accept(ctx context.Context, record Record) (Record, bool, error) {
	ops, err := acceptOps(record)
	if err != nil {
		return Record{}, false, err
	}
	result := t.tables.Commit(ctx, platform.PurposeSubmission, api.Tx{WriteID: platform.NewWriteID(), Ops: ops})
	if result.State == platform.CommitDone {
		return t.written(ctx, record), false, nil
	}
	for _, conflict := range result.Conflicts {
		if conflict.Table == tableKeys && conflict.Version != 0 {
			return t.earlier(ctx, conflict, record)
		}
	}
	return Record{}, false, platform.ErrorOf(result)
}

// written returns the record that a commit wrote, with its version. If the
// store does not answer any more, or another has changed the row since, the
// version stays zero: the write took effect, and an Update with version zero
// conflicts, which makes its caller read again.
func (t *Tables) written(ctx context.Context, record Record) Record {
	record.Version = 0
	read, err := t.Get(ctx, record.ID)
	if err == nil && sameJSON(read, record) {
		record.Version = read.Version
	}
	return record
}

func acceptOps(record Record) ([]api.Op, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, api.NewError(api.KindInternal, "job %s: %w", record.ID, err)
	}
	entry, err := json.Marshal(index{ID: record.ID, Account: record.Submission.Account, Zone: record.Zone})
	if err != nil {
		return nil, api.NewError(api.KindInternal, "job %s: %w", record.ID, err)
	}
	ops := []api.Op{
		{Ref: jobRef(record.ID), Value: value},
		{Ref: openRef(record), Value: entry},
		{Ref: recentRef(record), Value: entry},
	}
	if record.Submission.IdempotencyKey != "" {
		ops = append(ops, api.Op{Ref: keyRef(record), Value: entry})
	}
	return ops, nil
}

// Find implements Store.
func (t *Tables) Find(ctx context.Context, submission api.JobSubmission) (Record, error) {
	wanted := Record{Submission: submission}
	read, err := t.tables.Read(ctx, platform.PurposeSubmission, keyRef(wanted))
	if err != nil {
		return Record{}, err
	}
	if read.Rows[0].Version == 0 {
		return Record{}, api.NewError(api.KindNotFound, "no job has the key %s", submission.IdempotencyKey)
	}
	found, _, err := t.earlier(ctx, read.Rows[0], wanted)
	return found, err
}

// earlier returns the job that holds the key, if it asks for the same work.
func (t *Tables) earlier(ctx context.Context, conflict api.Row, record Record) (Record, bool, error) {
	var entry index
	if err := json.Unmarshal(conflict.Value, &entry); err != nil {
		return Record{}, false, api.NewError(api.KindInternal, "key row %s: %w", conflict.Key, err)
	}
	present, err := t.Get(ctx, entry.ID)
	if err != nil {
		return Record{}, false, err
	}
	if !sameJSON(present.Submission, record.Submission) {
		return Record{}, false, api.NewError(api.KindKeyReused, "key %s was used for another job", record.Submission.IdempotencyKey)
	}
	return present, true, nil
}

func sameJSON(a, b any) bool {
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && string(left) == string(right)
}

// Update implements Store.
func (t *Tables) Update(ctx context.Context, record Record) (Record, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return Record{}, api.NewError(api.KindInternal, "job %s: %w", record.ID, err)
	}
	ops := []api.Op{{Ref: jobRef(record.ID), IfVersion: record.Version, Value: value}}
	if record.Phase == PhaseEnded {
		ops, err = t.closing(ctx, record, ops)
	}
	if err != nil {
		return Record{}, err
	}
	tx := api.Tx{WriteID: platform.NewWriteID(), Ops: ops}
	if err := platform.ErrorOf(t.tables.Commit(ctx, platform.PurposeOutcome, tx)); err != nil {
		return Record{}, err
	}
	return t.written(ctx, record), nil
}

// closing adds the removal of the open row to the operations.
func (t *Tables) closing(ctx context.Context, record Record, ops []api.Op) ([]api.Op, error) {
	rows, err := t.tables.Read(ctx, platform.PurposeOutcome, openRef(record))
	if err != nil {
		return nil, err
	}
	if open := rows.Rows[0]; open.Version != 0 {
		ops = append(ops, api.Op{Ref: open.Ref, IfVersion: open.Version, Delete: true})
	}
	return ops, nil
}

// Get implements Store.
func (t *Tables) Get(ctx context.Context, id string) (Record, error) {
	rows, err := t.tables.Read(ctx, platform.PurposeOther, jobRef(id))
	if err != nil {
		return Record{}, err
	}
	if rows.Rows[0].Version == 0 {
		return Record{}, api.NewError(api.KindNotFound, "no job %s", id)
	}
	return recordOf(rows.Rows[0])
}

func recordOf(row api.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, api.NewError(api.KindInternal, "job row %s: %w", row.Key, err)
	}
	record.Version = row.Version
	return record, nil
}

// Open implements Store.
func (t *Tables) Open(ctx context.Context, zone string) ([]Record, error) {
	var records []Record
	query := api.ScanQuery{Table: tableOpen, Prefix: zone + "/", Limit: scanPage}
	for {
		page, err := t.tables.Scan(ctx, platform.PurposeOther, query)
		if err != nil {
			return nil, err
		}
		more, err := t.records(ctx, page.Rows, "")
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
		if !page.More || len(page.Rows) == 0 {
			return stillOpen(records), nil
		}
		query.After = page.Rows[len(page.Rows)-1].Key
	}
}

// stillOpen drops the records that ended between the scan and the read.
func stillOpen(records []Record) []Record {
	open := records[:0]
	for _, record := range records {
		if record.Phase != PhaseEnded {
			open = append(open, record)
		}
	}
	return open
}

// List implements Store. It looks at the newest jobs only, so that an account
// without any cannot make it read the whole table.
func (t *Tables) List(ctx context.Context, account string, limit int) ([]Record, error) {
	var records []Record
	query := api.ScanQuery{Table: tableRecent, Limit: scanPage}
	for range maxListPages {
		page, err := t.tables.Scan(ctx, platform.PurposeOther, query)
		if err != nil {
			return nil, err
		}
		more, err := t.records(ctx, firstOf(page.Rows, account, limit-len(records)), account)
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
		if !page.More || len(records) >= limit {
			break
		}
		query.After = page.Rows[len(page.Rows)-1].Key
	}
	return records, nil
}

// firstOf returns at most limit index rows of an account.
func firstOf(rows []api.Row, account string, limit int) []api.Row {
	var matching []api.Row
	for _, row := range rows {
		var entry index
		if len(matching) == limit {
			break
		}
		if account == "" || (json.Unmarshal(row.Value, &entry) == nil && entry.Account == account) {
			matching = append(matching, row)
		}
	}
	return matching
}

// records reads the jobs that index rows name, in their order.
func (t *Tables) records(ctx context.Context, entries []api.Row, account string) ([]Record, error) {
	var records []Record
	for start := 0; start < len(entries); start += readPage {
		refs, err := refsOf(entries[start:min(start+readPage, len(entries))])
		if err != nil {
			return nil, err
		}
		rows, err := t.tables.Read(ctx, platform.PurposeOther, refs...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows.Rows {
			record, err := recordOf(row)
			if err != nil {
				return nil, err
			}
			if account == "" || record.Submission.Account == account {
				records = append(records, record)
			}
		}
	}
	return records, nil
}

func refsOf(entries []api.Row) ([]api.Ref, error) {
	refs := make([]api.Ref, 0, len(entries))
	for _, row := range entries {
		var entry index
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, api.NewError(api.KindInternal, "index row %s: %w", row.Key, err)
		}
		refs = append(refs, jobRef(entry.ID))
	}
	return refs, nil
}

package jobstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// Names of the tables. One transaction changes a job's row and its index rows.
const (
	// tableJobs holds the records, keyed by id. Rows are never deleted.
	tableJobs = "jobs"
	// tableOpen has a row "zone/id" for each job that has not ended.
	tableOpen = "jobs_open"
	// tableKeys maps "account/key" to the id. Rows are never deleted.
	tableKeys = "job_keys"
	// tableRecent has a row for each job, sorted newest first.
	tableRecent = "jobs_recent"
)

// Limits of calls to the store.
const (
	scanPageSize = 500
	readPageSize = 100
	// maxListPages bounds the pages that List scans for an account's jobs.
	maxListPages = 20
)

// Tables implements Store with the platform's tables. It is safe for concurrent
// use.
type Tables struct {
	tables platform.Tables
}

var _ Store = (*Tables)(nil)

// New returns a store on top of tables, whose Commit must resolve lost answers
// (see platform.ResolvingTables).
func New(tables platform.Tables) *Tables { return &Tables{tables: tables} }

// indexEntry is the value of an index row.
type indexEntry struct {
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

// recentRef returns the reference of the row in tableRecent. Its key starts with
// the time left until the last representable time, so that newer jobs sort first.
func recentRef(record Record) api.Ref {
	remaining := math.MaxInt64 - record.SubmittedAt.UnixNano()
	return api.Ref{Table: tableRecent, Key: fmt.Sprintf("%019d/%s", remaining, record.ID)}
}

// Accept implements Store.
func (t *Tables) Accept(ctx context.Context, record Record) (Record, bool, error) {
	ops, err := acceptOps(record)
	if err != nil {
		return Record{}, false, err
	}
	result := t.tables.Commit(ctx, platform.PurposeSubmission, api.Tx{WriteID: platform.NewWriteID(), Ops: ops})
	if result.State == platform.CommitDone {
		return t.withStoredVersion(ctx, record), false, nil
	}
	for _, conflict := range result.Conflicts {
		if conflict.Table == tableKeys && conflict.Version != 0 {
			return t.jobOfKey(ctx, conflict, record)
		}
	}
	return Record{}, false, platform.ErrorOf(result)
}

// withStoredVersion returns a committed record with the version of its row. If
// the row cannot be read or has been changed since, the version stays zero: the
// write took effect, and an Update with version zero conflicts, which makes the
// caller read the row again.
func (t *Tables) withStoredVersion(ctx context.Context, record Record) Record {
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
	entry, err := json.Marshal(indexEntry{ID: record.ID, Account: record.Submission.Account, Zone: record.Zone})
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

// FindByKey implements Store.
func (t *Tables) FindByKey(ctx context.Context, submission api.JobSubmission) (Record, error) {
	wanted := Record{Submission: submission}
	read, err := t.tables.Read(ctx, platform.PurposeSubmission, keyRef(wanted))
	if err != nil {
		return Record{}, err
	}
	if read.Rows[0].Version == 0 {
		return Record{}, api.NewError(api.KindNotFound, "no job has the key %s", submission.IdempotencyKey)
	}
	found, _, err := t.jobOfKey(ctx, read.Rows[0], wanted)
	return found, err
}

// jobOfKey returns the job that a key row refers to, or KindKeyReused if that job
// differs from the submission.
func (t *Tables) jobOfKey(ctx context.Context, keyRow api.Row, record Record) (Record, bool, error) {
	var entry indexEntry
	if err := json.Unmarshal(keyRow.Value, &entry); err != nil {
		return Record{}, false, api.NewError(api.KindInternal, "key row %s: %w", keyRow.Key, err)
	}
	existing, err := t.Get(ctx, entry.ID)
	if err != nil {
		return Record{}, false, err
	}
	if !sameJSON(existing.Submission, record.Submission) {
		return Record{}, false, api.NewError(api.KindKeyReused, "key %s was used for another job", record.Submission.IdempotencyKey)
	}
	return existing, true, nil
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
		ops, err = t.addOpenRowDeletion(ctx, record, ops)
	}
	if err != nil {
		return Record{}, err
	}
	tx := api.Tx{WriteID: platform.NewWriteID(), Ops: ops}
	if err := platform.ErrorOf(t.tables.Commit(ctx, platform.PurposeOutcome, tx)); err != nil {
		return Record{}, err
	}
	return t.withStoredVersion(ctx, record), nil
}

// addOpenRowDeletion adds the deletion of the job's row in tableOpen to ops.
func (t *Tables) addOpenRowDeletion(ctx context.Context, record Record, ops []api.Op) ([]api.Op, error) {
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
	return decodeRecord(rows.Rows[0])
}

func decodeRecord(row api.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, api.NewError(api.KindInternal, "job row %s: %w", row.Key, err)
	}
	record.Version = row.Version
	return record, nil
}

// ListOpen implements Store.
func (t *Tables) ListOpen(ctx context.Context, zone string) ([]Record, error) {
	var records []Record
	query := api.ScanQuery{Table: tableOpen, Prefix: zone + "/", Limit: scanPageSize}
	for {
		page, err := t.tables.Scan(ctx, platform.PurposeOther, query)
		if err != nil {
			return nil, err
		}
		more, err := t.readRecords(ctx, page.Rows, "")
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
		if !page.More || len(page.Rows) == 0 {
			return withoutEnded(records), nil
		}
		query.After = page.Rows[len(page.Rows)-1].Key
	}
}

// withoutEnded drops the records that ended between the scan and the read.
func withoutEnded(records []Record) []Record {
	open := records[:0]
	for _, record := range records {
		if record.Phase != PhaseEnded {
			open = append(open, record)
		}
	}
	return open
}

// List implements Store. It scans at most maxListPages pages of the newest jobs,
// so that an account without jobs does not make it read the whole table.
func (t *Tables) List(ctx context.Context, account string, limit int) ([]Record, error) {
	var records []Record
	query := api.ScanQuery{Table: tableRecent, Limit: scanPageSize}
	for range maxListPages {
		page, err := t.tables.Scan(ctx, platform.PurposeOther, query)
		if err != nil {
			return nil, err
		}
		more, err := t.readRecords(ctx, rowsOfAccount(page.Rows, account, limit-len(records)), account)
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

// rowsOfAccount returns at most limit index rows of an account.
func rowsOfAccount(rows []api.Row, account string, limit int) []api.Row {
	var matching []api.Row
	for _, row := range rows {
		var entry indexEntry
		if len(matching) == limit {
			break
		}
		if account == "" || (json.Unmarshal(row.Value, &entry) == nil && entry.Account == account) {
			matching = append(matching, row)
		}
	}
	return matching
}

// readRecords reads the jobs that index rows refer to, in the order of the rows.
// An account that is not empty selects its jobs only.
func (t *Tables) readRecords(ctx context.Context, entries []api.Row, account string) ([]Record, error) {
	var records []Record
	for start := 0; start < len(entries); start += readPageSize {
		refs, err := jobRefs(entries[start:min(start+readPageSize, len(entries))])
		if err != nil {
			return nil, err
		}
		rows, err := t.tables.Read(ctx, platform.PurposeOther, refs...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows.Rows {
			record, err := decodeRecord(row)
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

func jobRefs(entries []api.Row) ([]api.Ref, error) {
	refs := make([]api.Ref, 0, len(entries))
	for _, row := range entries {
		var entry indexEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, api.NewError(api.KindInternal, "index row %s: %w", row.Key, err)
		}
		refs = append(refs, jobRef(entry.ID))
	}
	return refs, nil
}

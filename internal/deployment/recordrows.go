package deployment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file maps a job's record to rows. Most records take one row. A record that is too large for a
// row has a head, in the row of the record, and parts in rows of their own; the head says how many parts
// belong to it.

const (
	// recordPartPrefix begins the keys of parts: prefix, job, number of parts, index.
	recordPartPrefix = "f/"
	keySeparator     = "/"
)

func recordPartKey(job string, count, index int) string {
	return recordPartPrefix + job + keySeparator + strconv.Itoa(count) + keySeparator + strconv.Itoa(index)
}

// recordRows returns the rows to write for a record, the head last.
func recordRows(u *dispatch.UnstoredRecord) []workload.Row {
	var rows []workload.Row
	for _, p := range u.Parts {
		rows = append(rows, workload.Row{Key: recordPartKey(u.Job, p.Count, p.Index), Value: p.Data})
	}
	if !u.Incomplete {
		rows = append(rows, workload.Row{Key: recordPrefix + u.Job, Value: u.Record})
	}
	return rows
}

// obsoleteRows returns the keys of the parts that are removed with a record because no reader needs them.
func obsoleteRows(u *dispatch.UnstoredRecord) []string {
	var keys []string
	if !u.Incomplete {
		for n := range u.ObsoleteRows {
			keys = append(keys, recordPartKey(u.Job, u.Obsolete.Count, u.Obsolete.From+n))
		}
	}
	return keys
}

// recordEntries returns the number of entries that the records of a batch take.
func (b *batch) recordEntries() int {
	entries := 0
	for n := range b.records {
		entries += 2*len(recordRows(&b.records[n])) + len(obsoleteRows(&b.records[n]))
	}
	return entries
}

// incomplete reports whether the batch holds a record of which further parts follow.
func (b *batch) incomplete() bool {
	return slices.ContainsFunc(b.records, func(u dispatch.UnstoredRecord) bool { return u.Incomplete })
}

// splitPartKey returns the job of a part's key without its prefix, and the rest of the key.
func splitPartKey(id string) (job, part string) {
	job, part, _ = strings.Cut(id, keySeparator)
	return job, part
}

// wholeRecord returns the stored record of a job with its parts.
func (k *knownJob) wholeRecord() (dispatch.Record, error) {
	record := k.record
	if record.Parts == 0 || record.Final != "" {
		return record, nil
	}
	for n := range record.Parts {
		part := strconv.Itoa(record.Parts) + keySeparator + strconv.Itoa(n)
		data, found := k.recordParts[part]
		if !found {
			return dispatch.Record{}, fmt.Errorf("part %s of the record is missing", part)
		}
		if err := record.Join(data); err != nil {
			return dispatch.Record{}, err
		}
	}
	return record, nil
}

// recordPartKeys returns the keys of the known parts of the records of jobs.
func (r *replica) recordPartKeys(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for _, id := range ids {
		if known := r.jobs[id]; known != nil {
			for part := range known.recordParts {
				keys = append(keys, recordPartPrefix+id+keySeparator+part)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

package deployment

import (
	"context"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file spreads the product's table over parts. The store performs the transactions
// of one part one after the other: with all rows in one part, jobs queue behind each
// other, behind records and behind lease renewals, and are refused as soon as a
// transaction takes longer than the interval between jobs. Jobs, cancellations and
// separate start intents are therefore spread over parts by their id. The rows that a leader writes under its
// epoch share the part of the epoch row.

const (
	// mainPart holds the lease, records, workers and instances.
	mainPart = ""
	// jobParts is the number of parts for jobs and cancellations.
	jobParts = 16
)

// partOf returns the part of a key of the product's table.
func partOf(key string) string {
	if part, found := fencePart(key); found {
		return part
	}
	for _, prefix := range []string{jobPrefix, cancelPrefix, intentPrefix} {
		if id, found := strings.CutPrefix(key, prefix); found {
			return jobPart(xxhash.Sum64String(id) % jobParts)
		}
	}
	return mainPart
}

func jobPart(n uint64) string { return "jobs-" + strconv.FormatUint(n, 10) }

// partsOf returns the parts of a table.
func partsOf(source workload.Source) []string {
	parts := []string{mainPart}
	if source != workload.SourceOwn {
		return parts
	}
	for n := range uint64(jobParts) {
		parts = append(parts, jobPart(n))
	}
	return parts
}

// readResult is the result of reading a part or a whole table.
type readResult struct {
	rows    []workload.Row
	version int64
	err     error
}

// readTable reads a whole table, its parts concurrently. The returned version is the
// oldest of the parts; the feed has the changes since then.
func readTable(ctx context.Context, store workload.Store, source workload.Source) ([]workload.Row, int64, error) {
	parts := partsOf(source)
	reads := make(chan readResult, len(parts))
	for _, part := range parts {
		go func() {
			rows, version, err := readAll(ctx, store, source, part, "", "")
			reads <- readResult{rows, version, err}
		}()
	}
	var table readResult
	for n := range parts {
		read := <-reads
		if read.err != nil {
			table.err = read.err
		}
		table.rows = append(table.rows, read.rows...)
		if n == 0 || read.version < table.version {
			table.version = read.version
		}
	}
	if table.err != nil {
		return nil, 0, table.err
	}
	return table.rows, table.version, nil
}

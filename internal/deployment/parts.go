package deployment

import (
	"context"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers a store that is slow. It carries out the transactions of one part
// of a table one after the other: with all rows in one part, jobs queue behind each
// other, behind records and behind the renewals of the lease, and are turned away as
// soon as one takes longer than they are apart. So jobs and cancels are spread over
// parts by their id. What a leader writes under its epoch lies with the epoch.

const (
	// mainPart holds the lease, records, workers and instances.
	mainPart = ""
	// jobParts is how many parts jobs and cancels are spread over.
	jobParts = 16
)

// partOf is the part that a key of the product's table lies in.
func partOf(key string) string {
	id, isJob := strings.CutPrefix(key, jobPrefix)
	if !isJob {
		if id, isJob = strings.CutPrefix(key, cancelPrefix); !isJob {
			return mainPart
		}
	}
	return jobPart(xxhash.Sum64String(id) % jobParts)
}

func jobPart(n uint64) string { return "jobs-" + strconv.FormatUint(n, 10) }

// partsOf lists the parts of a table.
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

// partRead is one part of a table as it was at a version.
type partRead struct {
	rows    []workload.Row
	version int64
	err     error
}

// readTable reads a whole table, its parts beside each other. The version is the oldest
// of them: what changed since then is in the feed.
func readTable(ctx context.Context, store workload.Store, source workload.Source) ([]workload.Row, int64, error) {
	parts := partsOf(source)
	reads := make(chan partRead, len(parts))
	for _, part := range parts {
		go func() {
			rows, version, err := readAll(ctx, store, source, part, "", "")
			reads <- partRead{rows, version, err}
		}()
	}
	var whole partRead
	for n := range parts {
		read := <-reads
		if read.err != nil {
			whole.err = read.err
		}
		whole.rows = append(whole.rows, read.rows...)
		if n == 0 || read.version < whole.version {
			whole.version = read.version
		}
	}
	if whole.err != nil {
		return nil, 0, whole.err
	}
	return whole.rows, whole.version, nil
}

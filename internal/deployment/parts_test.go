package deployment

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestJobsAreSpreadOverPartsAndLeaderRowsShareThePartOfTheEpoch(t *testing.T) {
	counts := make(map[string]int)
	const jobs = 1600
	for n := range jobs {
		id := fmt.Sprintf("%016x", n)
		assert.Equal(t, partOf(jobPrefix+id), partOf(cancelPrefix+id))
		counts[partOf(jobPrefix+id)]++
	}
	assert.Equal(t, len(counts), jobParts)
	for part, count := range counts {
		assert.Assert(t, count < 2*jobs/jobParts, "%d jobs in %s", count, part)
	}
	for _, key := range []string{epochKey, leaderKey, recordPrefix + "a", workerPrefix + "w", instancePrefix + "i"} {
		assert.Equal(t, partOf(key), mainPart)
	}
	assert.Equal(t, partOf(fencePrefix+jobPart(3)), jobPart(3))
}

func TestReadTableReturnsAllPartsAtTheOldestVersion(t *testing.T) {
	store := newMemoryStore()
	for n := range 40 {
		key := fmt.Sprintf("%s%016x", jobPrefix, n)
		_, err := store.Write(t.Context(), workload.Write{Part: partOf(key), Put: []workload.Row{{Key: key}}})
		assert.NilError(t, err)
	}
	rows, version, err := readTable(t.Context(), store, workload.SourceOwn)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 40)
	assert.Equal(t, version, int64(40))
}

func TestAJobIsRemovedBeforeItsRecord(t *testing.T) {
	list := removals([]string{"a", "b", "c"}, nil, func(string) int64 { return 1 }, 7)
	for n, tx := range list {
		last := n == len(list)-1
		assert.Equal(t, tx.Part == mainPart, last)
		for _, key := range tx.Remove {
			assert.Equal(t, partOf(key), tx.Part)
		}
	}
	assert.Equal(t, list[len(list)-1].Expect[0].Version, int64(7))
}

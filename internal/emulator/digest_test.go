package emulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
)

// digestFile holds the digests of the orders on some days. Refactoring must not change
// it; after a change of scheduling decisions, regenerate it by running the test with
// UPDATE_DIGESTS=1 in the environment.
const digestFile = "testdata/digests.json"

// digestOf hashes the time, kind, worker and task of every start and stop on a day.
func digestOf(t *testing.T, deploymentName, dayName string) string {
	sum := fnv.New64a()
	simulateTraced(loadDeployment(t, deploymentName), loadDay(t, dayName), dispatch.Tuning{}, 11, func(at time.Duration, a dispatch.Action) {
		if a.Kind == dispatch.ActStart || a.Kind == dispatch.ActStop {
			fmt.Fprintf(sum, "%d %d %s %d %v\n", at, a.Kind, a.Order.Worker, a.Order.Attempt, a.Order.Task)
		}
	})
	return fmt.Sprintf("%016x", sum.Sum64())
}

func TestTheSameDaysLeadToTheSameOrders(t *testing.T) {
	got := make(map[string]string)
	for _, d := range []string{"estribo", "klaverveld"} {
		for _, day := range []string{"heavy, with a burst of urgent jobs", "workers leave orders unanswered"} {
			got[d+": "+day] = digestOf(t, d, day)
		}
	}
	data, err := json.MarshalIndent(got, "", "  ")
	assert.NilError(t, err)
	if os.Getenv("UPDATE_DIGESTS") != "" {
		assert.NilError(t, os.WriteFile(digestFile, append(data, '\n'), 0o644))
	}
	want, err := os.ReadFile(digestFile)
	assert.NilError(t, err)
	assert.Equal(t, string(data)+"\n", string(want))
}

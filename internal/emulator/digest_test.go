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

// digestFile holds what some days lead to. A change that is only of names or of form
// leaves it as it is; one of decisions writes it anew: UPDATE_DIGESTS=1 go test.
const digestFile = "testdata/digests.json"

// digestOf sums up every order of a day: when, what, which task, which worker.
func digestOf(t *testing.T, deploymentName, dayName string) string {
	sum := fnv.New64a()
	playTraced(deployment(t, deploymentName), day(t, dayName), dispatch.Tuning{}, 11, func(at time.Duration, a dispatch.Action) {
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

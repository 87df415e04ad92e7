package invariants

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// TestAnAttemptNumberIsUsedByOnePlacer starts an idempotent gang during a store
// outage, so that no row records the attempt. The placer dies, and the next one
// cannot reach the workers that run the gang. Its own attempt must have a
// different number, because the earlier parts still run and complete.
func TestAnAttemptNumberIsUsedByOnePlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(1, 1, 4)
		w.startPlacer("i-1")
		time.Sleep(3 * time.Second)
		job := api.JobSubmission{
			Account: "acme", Kind: "train", Shape: api.Shape{Tasks: 3, AcceleratorsPerTask: 2, SameRack: true},
			Idempotent: true, DeclaredRunS: 10, Payload: gangPayload(10*time.Second, false),
		}
		id := w.submit(job)
		assert.Assert(t, id != "")
		w.platform.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
		time.Sleep(time.Second)
		first := w.starts()
		assert.Assert(t, len(first) > 0, "the gang did not start without the store")
		w.killPlacer("i-1")
		w.mu.Lock()
		for _, start := range first {
			w.partitioned[[2]string{"i-2", start.Worker}] = true
		}
		w.mu.Unlock()
		w.platform.SetFault(nil)
		w.startPlacer("i-2")
		time.Sleep(time.Minute)
		w.stopAll()
		assert.Assert(t, len(w.starts()) > len(first), "the next placer did not start the gang")
		epochs := make(map[int]int64)
		for _, start := range w.starts() {
			if epoch, known := epochs[start.Attempt]; known {
				assert.Equal(t, start.Epoch, epoch, "two placers used attempt number %d", start.Attempt)
			}
			epochs[start.Attempt] = start.Epoch
		}
		records, err := gangRecords(w, []string{id})
		assert.NilError(t, err)
		violations := w.checkStarts(w.starts(), records)
		assert.Assert(t, len(violations) == 0, strings.Join(violations, "\n"))
	})
}

package invariants

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// TestKeyedJobIsOneJob submits the same key again while the job runs, after its
// end, after a change of placers, and when a new job would be refused. A
// different job with the same key must be refused.
func TestKeyedJobIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(1, 2, 4)
		w.startPlacer("i-1")
		time.Sleep(3 * time.Second)
		job := api.JobSubmission{
			Account: "acme", Kind: "award", Shape: api.Shape{Tasks: 1, AcceleratorsPerTask: 8},
			DeclaredRunS: 5, IdempotencyKey: "tonnage-7", Payload: gangPayload(5*time.Second, false),
		}
		id := w.submit(job)
		assert.Assert(t, id != "")
		resubmit := func(when string) {
			t.Helper()
			assert.Equal(t, w.submit(job), id, when)
		}
		resubmit("at once")
		time.Sleep(2 * time.Second)
		resubmit("while it runs")
		time.Sleep(10 * time.Second)
		resubmit("after its end")
		w.startPlacer("i-2")
		w.killPlacer("i-1")
		time.Sleep(3 * gangPlacerLease)
		resubmit("at the next placer, which did not run the job")
		w.document.Accounts = []model.ClientAccount{{Name: "acme", MaxJobs: 1}, {Name: "orbit"}}
		other := job
		other.IdempotencyKey, other.Payload = "", gangPayload(time.Hour, false)
		assert.Assert(t, w.submit(other) != "")
		resubmit("when the account is at its limit")
		time.Sleep(20 * time.Second)
		changed := job
		changed.DeclaredRunS = 6
		assert.Equal(t, w.submit(changed), "", "a different job with the same key")
		starts := 0
		for _, start := range w.starts() {
			if start.Gang == id {
				starts++
			}
		}
		assert.Equal(t, starts, 1)
		w.stopAll()
	})
}

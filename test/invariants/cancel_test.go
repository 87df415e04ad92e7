package invariants

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
)

// Failure: a job ran whose cancellation came while its placer did not know it, since the answer of the store
// to its row was lost.
func TestAJobIsCancelledBeforeItsPlacerKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(1, 1, 2)
		defer w.stopAll()
		w.startPlacer("i-1")
		time.Sleep(20 * time.Second)
		record := jobstore.Record{ID: w.nextID(), Zone: gangZone, Rule: "all", Borrow: true, Phase: jobstore.PhaseAccepted, SubmittedAt: time.Now(), Submission: api.JobSubmission{
			Account: "acme", Kind: "suite", Shape: api.Shape{Tasks: 1, AcceleratorsPerTask: 1}, DeclaredRunS: 60, Payload: gangPayload(time.Minute, false),
		}}
		_, _, err := w.store.Accept(t.Context(), record)
		assert.NilError(t, err)
		answer, err := w.placers["i-1"].placer.Cancel(t.Context(), record.ID)
		assert.NilError(t, err)
		assert.Equal(t, answer.ErrorKind, api.KindCancelled)
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		time.Sleep(time.Minute)
		assert.Equal(t, len(w.starts()), 0)
		stored, err := w.store.Get(t.Context(), record.ID)
		assert.NilError(t, err)
		assert.Equal(t, stored.Outcome, api.OutcomeNotRun)
	})
}

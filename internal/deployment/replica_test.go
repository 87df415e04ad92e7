package deployment

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func jobRow(id string, version int64) workload.Row {
	job := workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{Count: 1}}}
	return workload.Row{Key: jobPrefix + id, Value: encode(job), Version: version}
}

func recordRow(id string, final dispatch.Final, version int64) workload.Row {
	record := dispatch.Record{Final: final}
	return workload.Row{Key: recordPrefix + id, Value: record.Encode(), Version: version}
}

func TestJobStateDoesNotDependOnRowOrder(t *testing.T) {
	cancel := workload.Row{Key: cancelPrefix + "a", Value: []byte("1"), Version: 6}
	for name, c := range map[string]struct {
		rows []workload.Row
		want JobState
	}{
		"accepted":                          {[]workload.Row{jobRow("a", 1)}, StateQueued},
		"its record arrived first":          {[]workload.Row{recordRow("a", dispatch.FinalCompleted, 5), jobRow("a", 1)}, StateCompleted},
		"an older record changes nothing":   {[]workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalFailed, 5), recordRow("a", "", 4)}, StateFailed},
		"cancelled, no record yet":          {[]workload.Row{jobRow("a", 1), cancel}, StateCancelled},
		"cancelled before it was completed": {[]workload.Row{jobRow("a", 1), cancel, recordRow("a", dispatch.FinalCompleted, 7)}, StateCancelled},
		"its record is stored once more":    {[]workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalCompleted, 5), cancel, recordRow("a", dispatch.FinalCompleted, 8)}, StateCompleted},
		"completed before it was cancelled": {[]workload.Row{jobRow("a", 1), cancel, recordRow("a", dispatch.FinalCompleted, 5)}, StateCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			r.apply(c.rows)
			state, _, ok := r.state("a")
			assert.Assert(t, ok)
			assert.Equal(t, state, c.want)
		})
	}
}

func TestACallerIsNotShownOneFinalStateAfterAnother(t *testing.T) {
	cancel := workload.Row{Key: cancelPrefix + "a", Value: []byte("1"), Version: 6}
	for name, rows := range map[string][]workload.Row{
		"the end crosses the cancellation": {jobRow("a", 1), cancel, recordRow("a", dispatch.FinalCompleted, 7)},
		"the cancellation comes too late":  {jobRow("a", 1), recordRow("a", dispatch.FinalFailed, 5), cancel},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			shown := make(map[JobState]bool)
			for _, row := range rows {
				r.apply([]workload.Row{row})
				if state, _, _ := r.state("a"); state.isFinal() {
					shown[state] = true
				}
			}
			assert.Equal(t, len(shown), 1, "%v", shown)
		})
	}
}

func TestPendingCountsJobsThatHaveNotStarted(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("a", 1), jobRow("b", 2), jobRow("c", 3), recordRow("c", dispatch.FinalCompleted, 4)})
	assert.Equal(t, r.pending()["q"], int64(2))
	r.setStarted(3, []string{"a"})
	assert.Equal(t, r.pending()["q"], int64(1))
	r.setStarted(2, []string{"b"})
	assert.Equal(t, r.pending()["q"], int64(1), "the report of an earlier leader is ignored")
}

func TestAWholeReadDropsWhatWasRemovedButNothingNewer(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("gone", 1), jobRow("kept", 2), jobRow("newer", 9)})
	r.reload([]workload.Row{jobRow("kept", 2)}, 5)
	for id, want := range map[string]bool{"gone": false, "kept": true, "newer": true} {
		_, ok := r.get(id)
		assert.Equal(t, ok, want, id)
	}
}

func TestALeaderThatIsNoHubAnyMoreKeepsItsRows(t *testing.T) {
	r := newReplica(zap.NewNop())
	job := workload.Row{Key: jobPrefix + "a", Value: encode(workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}}), Version: 3}
	r.pin()
	r.reload([]workload.Row{job}, 3)
	r.keepOnlyInstances()
	assert.Equal(t, len(r.snapshot()), 1, "without its row, a job of an earlier epoch would count as new")
	r.unpin()
	r.keepOnlyInstances()
	assert.Equal(t, len(r.snapshot()), 0)
}

// The rows of a job are removed before its record; the removal of the record may fail.
func TestAJobRowThatComesBackFindsTheRecordThatWasLeft(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.reload([]workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalCompleted, 5)}, 5)
	r.apply([]workload.Row{{Key: jobPrefix + "a", Version: 6, Deleted: true}, {Key: cancelPrefix + "a", Version: 6, Deleted: true}})
	_, ok := r.get("a")
	assert.Assert(t, !ok)
	assert.DeepEqual(t, r.expired(bootTime().Add(time.Hour), 10), []string{"a"})
	handedInAgain := jobRow("a", 7)
	r.apply([]workload.Row{handedInAgain})
	state, _, _ := r.state("a")
	assert.Equal(t, state, StateCompleted)
	r.reload([]workload.Row{handedInAgain, recordRow("a", dispatch.FinalCompleted, 5)}, 8)
	jobs := r.snapshot()
	assert.Equal(t, len(jobs), 1)
	assert.Equal(t, jobs[0].record.Final, dispatch.FinalCompleted, "it would run again")
}

func TestNothingIsKeptOfAJobWhoseRowsAreRemoved(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := newReplica(zap.NewNop())
		rows := []workload.Row{
			jobRow("a", 1),
			{Key: cancelPrefix + "a", Version: 2},
			{Key: intentPrefix + "a", Version: 3},
			{Key: recordPartKey("a", 2, 0), Version: 4},
			{Key: recordPartKey("a", 2, 1), Version: 4},
			recordRow("a", dispatch.FinalCompleted, 5),
		}
		r.reload(rows, 5)
		r.setStarted(1, []string{"a"})
		random.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
		for n, row := range rows {
			assert.Equal(t, len(r.jobs), 1)
			r.apply([]workload.Row{{Key: row.Key, Version: int64(6 + n), Deleted: true}})
		}
		assert.Equal(t, len(r.jobs)+len(r.versions)+len(r.started), 0, "seed %d", seed)
	}
}

package deployment

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const cancelledID = "00000000000000c1"

// callsOf returns an instance with a store, and its calls for a client account.
func callsOf(t *testing.T, store workload.Store) (submit, cancel func(account string) api.Kind) {
	i := newTestLeaf(t)
	i.store.direct = store
	caller := func(account string) Caller { return Caller{Queue: &workload.Queue{Name: "q"}, Account: account} }
	submit = func(account string) api.Kind {
		job := &workload.Job{ID: cancelledID, Steps: []workload.Step{{Count: 1}}}
		return api.Kind(kindName(i.Submit(t.Context(), caller(account), job)))
	}
	cancel = func(account string) api.Kind {
		return api.Kind(kindName(i.Cancel(t.Context(), caller(account), cancelledID)))
	}
	return submit, cancel
}

// Failure: a job runs although its cancellation was acknowledged before the job was stored. Each event is
// a call of a client account, or of an instance of an earlier version that does not expect the cancellation.
func TestACancellationHoldsInAnyOrderOfEvents(t *testing.T) {
	const gone, refused = api.KindGone, api.KindCancelled
	for name, c := range map[string]struct {
		events []string
		answer []api.Kind
		want   JobState // of the job that is stored; empty if none is
	}{
		"cancelled, then submitted":                         {[]string{"cancel a", "submit a"}, []api.Kind{gone, refused}, ""},
		"cancelled twice, then submitted twice":             {[]string{"cancel a", "cancel a", "submit a", "submit a"}, []api.Kind{gone, gone, refused, refused}, ""},
		"submitted, then cancelled and submitted again":     {[]string{"submit a", "cancel a", "submit a"}, []api.Kind{"", "", ""}, StateCancelled},
		"another account's job is not barred":               {[]string{"cancel a", "submit b"}, []api.Kind{gone, ""}, StateQueued},
		"another account's job can be cancelled":            {[]string{"cancel a", "submit b", "cancel b"}, []api.Kind{gone, "", ""}, StateCancelled},
		"two accounts cancel the id":                        {[]string{"cancel a", "cancel b", "submit b", "submit a"}, []api.Kind{gone, gone, refused, refused}, ""},
		"another account's job is not cancelled":            {[]string{"submit b", "cancel a"}, []api.Kind{"", gone}, StateQueued},
		"an earlier version inserts after the cancellation": {[]string{"cancel a", "insert a"}, []api.Kind{gone, ""}, StateCancelled},
		"an earlier version inserts another account's":      {[]string{"cancel a", "insert b"}, []api.Kind{gone, ""}, StateQueued},
		"an earlier version cancels":                        {[]string{"insert a", "old cancel", "cancel a"}, []api.Kind{"", "", ""}, StateCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			submit, cancel := callsOf(t, store)
			write := func(key string, value []byte) api.Kind {
				_, err := store.Write(t.Context(), workload.Write{Expect: []workload.Row{{Key: key}}, Put: []workload.Row{{Key: key, Value: value}}})
				return api.Kind(kindName(err))
			}
			for n, event := range c.events {
				var call, account string
				_, _ = fmt.Sscan(event, &call, &account)
				calls := map[string]func(string) api.Kind{"submit": submit, "cancel": cancel, "insert": func(account string) api.Kind {
					return write(jobPrefix+cancelledID, encode(workload.Job{ID: cancelledID, Account: account, Steps: []workload.Step{{Count: 1}}}))
				}, "old": func(string) api.Kind { return write(cancelPrefix+cancelledID, []byte("1790000000123")) }}
				assert.Equal(t, calls[call](account), c.answer[n], event)
			}
			for _, reversed := range []bool{false, true} {
				checkStored(t, store, reversed, c.want)
			}
		})
	}
}

// checkStored checks what a hub shows of the stored rows, and what a new leader does with them.
func checkStored(t *testing.T, store *memoryStore, reversed bool, want JobState) {
	rows := []workload.Row{store.rows[cancelPrefix+cancelledID], store.rows[jobPrefix+cancelledID]}
	if reversed {
		rows[0], rows[1] = rows[1], rows[0]
	}
	r := newReplica(zap.NewNop())
	cancelled := false
	r.onChange = func(c change) { cancelled = c.cancelled }
	r.apply(rows)
	state, _, shown := r.state(cancelledID)
	assert.Equal(t, shown, want != "")
	assert.Equal(t, state, want)
	assert.Equal(t, r.pending()["q"]+r.pending()[""] == 1, want == StateQueued)
	assert.Equal(t, cancelled, want == StateCancelled, "what the leader is told")
	now := time.Unix(1_000_000, 0)
	core := dispatch.New(workload.Bounds{}, 1, now, now)
	for _, known := range r.snapshot() {
		core.AddJob(known.job, known.record, known.cancelled, now, 0)
		assert.Equal(t, core.UnstoredRecordCount() > 0, want == StateCancelled)
	}
}

func TestACancellationIsRemovedOnlyWhileThereIsNoJob(t *testing.T) {
	store := newMemoryStore()
	takeEpoch(store, 2)
	c := newKnowledgeLeader(t, store, 2)
	submit, cancel := callsOf(t, store)
	assert.Equal(t, cancel("a"), api.KindGone)
	row := store.rows[cancelPrefix+cancelledID]
	c.instance.replica.apply([]workload.Row{row})
	assert.Equal(t, len(c.instance.replica.expiredCancellations(bootTime().Add(-minCancelRetention), 9)), 0, "an insert may be under way")
	expired := c.instance.replica.expiredCancellations(bootTime().Add(time.Hour), 9)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, submit("b"), api.Kind(""))
	c.removeCancellations(cancelRemovals(expired)[0])
	assert.Equal(t, store.rows[row.Key].Version, row.Version, "a job was stored meanwhile")
	assert.Equal(t, len(c.instance.replica.expiredCancellations(bootTime().Add(time.Hour), 9)), 0, "it goes with the job")
	delete(store.rows, jobPrefix+cancelledID)
	c.removeCancellations(cancelRemovals(expired)[0])
	assert.Equal(t, store.rows[row.Key].Version, int64(0))
	assert.Equal(t, submit("a"), api.Kind(""))
}

// Failure: the rows of an ended job are removed, the job is submitted again under its id, and an earlier copy
// of the removal that is done late removes it.
func TestALateRemovalDoesNotRemoveAJobThatWasSubmittedAgain(t *testing.T) {
	store := newMemoryStore()
	takeEpoch(store, 2)
	c := newKnowledgeLeader(t, store, 2)
	submit, _ := callsOf(t, store)
	assert.Equal(t, submit("a"), api.Kind(""))
	c.instance.replica.apply([]workload.Row{store.rows[jobPrefix+cancelledID]})
	late := removals([]string{cancelledID}, nil, c.instance.replica.version, 2)
	c.removeRows([]string{cancelledID})
	assert.Equal(t, store.rows[jobPrefix+cancelledID].Version, int64(0))
	assert.Equal(t, submit("a"), api.Kind(""))
	for _, tx := range late {
		_, err := store.Write(t.Context(), tx)
		assert.NilError(t, err)
	}
	assert.Assert(t, store.rows[jobPrefix+cancelledID].Version > 0)
}

func TestRemovalsOfCancellationsFitIntoTransactions(t *testing.T) {
	var rows []workload.Row
	for n := range maxCancelRemovals {
		rows = append(rows, workload.Row{Key: fmt.Sprintf("%s%016x", cancelPrefix, n), Version: 1})
	}
	removed := 0
	for _, tx := range cancelRemovals(rows) {
		assert.Assert(t, len(tx.Expect)+len(tx.Remove) <= maxEntriesPerWrite)
		for _, key := range tx.Remove {
			assert.Equal(t, partOf(key), tx.Part)
		}
		removed += len(tx.Remove)
	}
	assert.Equal(t, removed, len(rows))
}

// Load: accounts that cancel unknown ids a thousand times a second at each instance, for ten minutes.
func TestAFloodOfUnknownCancellationsIsBoundedAndLeavesRoomForOthers(t *testing.T) {
	for _, instances := range []int{1, 6, 585} {
		b, now := newCancelBudget(), time.Unix(1_000_000, 0)
		taken := 0
		for range 600_000 {
			now = now.Add(time.Millisecond)
			if b.take("flood", instances, now) == 0 {
				taken++
			}
		}
		rate := max(unknownCancelsPerS/float64(instances), minUnknownCancelsPerS)
		burst := max(rate*unknownCancelBurst.Seconds(), minUnknownCancelBurst)
		assert.Assert(t, float64(taken) <= rate*600+burst && float64(taken) >= rate*600-burst, "%d instances: %d", instances, taken)
		assert.Equal(t, b.take("other", instances, now), time.Duration(0))
		assert.Assert(t, b.take("flood", instances, now) >= minCancelWait)
		b.take("late", instances, now.Add(time.Hour))
		assert.Equal(t, len(b.byAccount), 1, "accounts that have spent nothing lately are forgotten")
	}
}

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

// announced returns the row of an announcement by the leader of an epoch.
func announced(id string, final dispatch.Final, epoch int64) workload.Row {
	record := dispatch.Record{Final: final, Done: map[string]string{"0.0": "01"}}
	return workload.Row{Key: id, Value: record.Encode(), Version: epoch}
}

// An outage of the store, a restart of all instances and the loss of the workers that list an end leave
// only what is stored.
func TestCallersAreNotShownEndsThatAreNotStored(t *testing.T) {
	for name, c := range map[string]struct {
		announced dispatch.Final
		later     []workload.Row
		want      JobState
	}{
		"a completion that is not stored":                   {dispatch.FinalCompleted, nil, StateRunning},
		"a failure that is not stored":                      {dispatch.FinalFailed, nil, StateRunning},
		"an older record that arrives late":                 {dispatch.FinalCompleted, []workload.Row{recordRow("a", "", 4)}, StateRunning},
		"stored later":                                      {dispatch.FinalCompleted, []workload.Row{recordRow("a", dispatch.FinalCompleted, 4)}, StateCompleted},
		"the store has another one, which takes precedence": {dispatch.FinalCompleted, []workload.Row{recordRow("a", dispatch.FinalCancelled, 4)}, StateCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			r.apply([]workload.Row{jobRow("a", 1)})
			r.setStarted(1, []string{"a"})
			r.applyAnnounced([]workload.Row{announced("a", c.announced, 1)})
			r.apply(c.later)
			state, _, ok := r.state("a")
			assert.Assert(t, ok)
			assert.Equal(t, state, c.want)
		})
	}
}

// Rows and announcements reach each instance in any order, or not at all.
func TestAShownEndIsFoundAgainAfterARestartOfAllInstances(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		stored := []workload.Row{jobRow("a", 1), recordRow("a", "", 2), recordRow("a", "", 3)}
		if random.IntN(2) == 0 {
			stored = append(stored, recordRow("a", dispatch.FinalCompleted, 4))
		}
		announcement := []workload.Row{announced("a", dispatch.FinalCompleted, 1), announced("a", dispatch.FinalFailed, 2)}
		shown := make(map[JobState]bool)
		for range 3 { // instances
			r := newReplica(zap.NewNop())
			for range 12 {
				if random.IntN(3) == 0 {
					r.applyAnnounced([]workload.Row{announcement[random.IntN(len(announcement))]})
				} else {
					r.apply([]workload.Row{stored[random.IntN(len(stored))]})
				}
				if state, _, ok := r.state("a"); ok {
					shown[state] = true
				}
			}
		}
		restarted := newReplica(zap.NewNop())
		restarted.apply(stored)
		found, _, _ := restarted.state("a")
		for state := range shown {
			assert.Assert(t, !state.isFinal() || state == found, "seed %d: shown as %s, found as %s", seed, state, found)
		}
	}
}

func TestALeaderBeginsWithTheEndsThatItsPredecessorCouldNotStore(t *testing.T) {
	for name, c := range map[string]struct {
		announced  []workload.Row
		later      []workload.Row
		want       dispatch.Final
		wantStored bool
	}{
		"announced by the predecessor": {[]workload.Row{announced("a", dispatch.FinalCompleted, 2)}, nil, dispatch.FinalCompleted, false},
		"an older record that arrives late": {
			[]workload.Row{announced("a", dispatch.FinalCompleted, 2)}, []workload.Row{recordRow("a", "", 4)}, dispatch.FinalCompleted, false,
		},
		"already stored": {
			[]workload.Row{announced("a", dispatch.FinalCompleted, 2)}, []workload.Row{recordRow("a", dispatch.FinalCompleted, 4)}, dispatch.FinalCompleted, true,
		},
		"the store has another one, which takes precedence": {
			[]workload.Row{announced("a", dispatch.FinalCompleted, 2)}, []workload.Row{recordRow("a", dispatch.FinalCancelled, 4)}, dispatch.FinalCancelled, true,
		},
		"an announcement without a final state":               {[]workload.Row{announced("a", "", 2)}, nil, "", true},
		"announced by a leader that the predecessor replaced": {[]workload.Row{announced("a", dispatch.FinalCompleted, 1)}, nil, "", true},
		"the replaced leader's announcement arrives last": {
			[]workload.Row{announced("a", dispatch.FinalCompleted, 2), announced("a", dispatch.FinalFailed, 1)}, nil, dispatch.FinalCompleted, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			r.apply([]workload.Row{jobRow("a", 1)})
			r.applyAnnounced(c.announced)
			r.apply(c.later)
			record, stored := r.snapshot()[0].recordForLeader(3)
			assert.Equal(t, record.Final, c.want)
			assert.Equal(t, stored, c.wantStored, "the leader must write a record that is not stored")
		})
	}
}

func TestAnAnnouncementDoesNotOverrideAStoredRecord(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalCancelled, 3)})
	r.applyAnnounced([]workload.Row{announced("a", dispatch.FinalCompleted, 1), announced("unknown", dispatch.FinalCompleted, 1)})
	state, _, _ := r.state("a")
	assert.Equal(t, state, StateCancelled)
	_, ok := r.get("unknown")
	assert.Assert(t, !ok)
}

// An announcement that is never stored must not count as the end of the job.
func TestRowsOfAJobWhoseEndIsNotStoredAreKept(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("a", 1), jobRow("b", 2), recordRow("b", dispatch.FinalCompleted, 3)})
	r.applyAnnounced([]workload.Row{announced("a", dispatch.FinalCompleted, 1)})
	assert.DeepEqual(t, r.expired(bootTime().Add(time.Hour), 10), []string{"b"})
}

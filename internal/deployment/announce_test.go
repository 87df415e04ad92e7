package deployment

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func announced(id string, final dispatch.Final) workload.Row {
	record := dispatch.Record{Final: final, Done: map[string]string{"0.0": "01"}}
	return workload.Row{Key: id, Value: record.Encode()}
}

func TestAnAnnouncedEndIsShownUntilTheStoreHasOne(t *testing.T) {
	for name, c := range map[string]struct {
		announced dispatch.Final
		later     []workload.Row
		want      JobState
		rewrite   bool
	}{
		"shown before it is stored":                         {dispatch.FinalCompleted, nil, StateCompleted, true},
		"an older record that arrives late":                 {dispatch.FinalCompleted, []workload.Row{recordRow("a", "", 4)}, StateCompleted, true},
		"already stored":                                    {dispatch.FinalCompleted, []workload.Row{recordRow("a", dispatch.FinalCompleted, 4)}, StateCompleted, false},
		"the store has another one, which takes precedence": {dispatch.FinalCompleted, []workload.Row{recordRow("a", dispatch.FinalCancelled, 4)}, StateCancelled, false},
		"an announcement without a final state":             {"", nil, StateQueued, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(zap.NewNop())
			r.apply([]workload.Row{jobRow("a", 1)})
			r.applyAnnounced([]workload.Row{announced("a", c.announced)})
			r.apply(c.later)
			state, _, ok := r.state("a")
			assert.Assert(t, ok)
			assert.Equal(t, state, c.want)
			assert.Equal(t, r.snapshot()[0].announced, c.rewrite, "the next leader must write it")
		})
	}
}

func TestAnAnnouncementDoesNotOverrideAStoredRecord(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.apply([]workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalCancelled, 3)})
	r.applyAnnounced([]workload.Row{announced("a", dispatch.FinalCompleted), announced("unknown", dispatch.FinalCompleted)})
	state, _, _ := r.state("a")
	assert.Equal(t, state, StateCancelled)
	_, ok := r.get("unknown")
	assert.Assert(t, !ok)
}

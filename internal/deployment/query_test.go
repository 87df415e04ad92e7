package deployment

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestALeafWhoseHubsDoNotAnswerReadsAJobFromTheStore(t *testing.T) {
	i := newTestLeaf(t)
	i.receiveHubHello("127.0.0.1:1") // the hub does not answer calls after this hello
	store := i.store.direct.(*memoryStore)
	record := dispatch.Record{Final: dispatch.FinalCompleted}
	job := &workload.Job{ID: "a", Account: "acme", Steps: []workload.Step{{Count: 1}}}
	_, err := store.Write(t.Context(), workload.Write{Put: []workload.Row{
		{Key: jobPrefix + "a", Value: encode(job)}, {Key: recordPrefix + "a", Value: record.Encode()},
	}})
	assert.NilError(t, err)

	state, err := i.State(t.Context(), Caller{Account: "acme"}, "a")
	assert.NilError(t, err)
	assert.Equal(t, state, StateCompleted)
	_, err = i.State(t.Context(), Caller{Account: "other"}, "a")
	assert.Equal(t, api.KindOf(err), api.KindGone, "another client account's job")
	_, err = i.State(t.Context(), Caller{Account: "acme"}, "b")
	assert.Equal(t, api.KindOf(err), api.KindGone)
	_, kept := i.replica.get("a")
	assert.Assert(t, !kept)
}

func TestALeafRejectsJobQueries(t *testing.T) {
	_, err := newTestLeaf(t).answerQuery(t.Context(), nil)
	assert.Equal(t, api.KindOf(err), api.KindNotReady)
}

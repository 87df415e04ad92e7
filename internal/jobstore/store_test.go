package jobstore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

func newRecord(id, account, key string, submitted int64) jobstore.Record {
	return jobstore.Record{
		ID: id, Zone: "z1", Phase: jobstore.PhaseAccepted, SubmittedAt: time.Unix(submitted, 0).UTC(),
		Submission: api.JobSubmission{Account: account, Kind: "test", IdempotencyKey: key, Payload: []byte(`{"a": 1}`)},
	}
}

func newStore() (*fake.Platform, *jobstore.Tables) {
	service := fake.New()
	return service, jobstore.New(platform.NewResolvingTables(service))
}

func TestAcceptAndEnd(t *testing.T) {
	_, store := newStore()
	accepted, replayed, err := store.Accept(t.Context(), newRecord("j1", "acme", "k", 1))
	assert.NilError(t, err)
	assert.Assert(t, !replayed && accepted.Version > 0)
	accepted.Phase, accepted.Attempt, accepted.Epoch = jobstore.PhaseStarted, 1, 7
	started, err := store.Update(t.Context(), accepted)
	assert.NilError(t, err)
	assert.Assert(t, started.Version > accepted.Version)
	open, err := store.ListOpen(t.Context(), "z1")
	assert.NilError(t, err)
	assert.Equal(t, len(open), 1)
	assert.Equal(t, open[0].Epoch, int64(7))
	_, err = store.Update(t.Context(), accepted)
	assert.Assert(t, api.IsKind(err, api.KindConflict), "a stale version must conflict: %v", err)
	started.Phase, started.Outcome = jobstore.PhaseEnded, api.OutcomeDone
	_, err = store.Update(t.Context(), started)
	assert.NilError(t, err)
	open, err = store.ListOpen(t.Context(), "z1")
	assert.NilError(t, err)
	assert.Equal(t, len(open), 0)
	got, err := store.Get(t.Context(), "j1")
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone)
	_, err = store.Get(t.Context(), "j2")
	assert.Assert(t, api.IsKind(err, api.KindNotFound))
}

func TestAcceptByKey(t *testing.T) {
	_, store := newStore()
	_, _, err := store.Accept(t.Context(), newRecord("j1", "acme", "k", 1))
	assert.NilError(t, err)
	cases := map[string]struct {
		record   jobstore.Record
		wantID   string
		replayed bool
		kind     api.Kind
	}{
		"same key and body return the earlier job": {newRecord("j2", "acme", "k", 2), "j1", true, ""},
		"same key in another account is a new job": {newRecord("j3", "other", "k", 3), "j3", false, ""},
		"another key is a new job":                 {newRecord("j4", "acme", "k2", 4), "j4", false, ""},
		"no key is always a new job":               {newRecord("j5", "acme", "", 5), "j5", false, ""},
		"same key with another body is refused":    {withChangedKind(newRecord("j6", "acme", "k", 6)), "", false, api.KindKeyReused},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got, replayed, err := store.Accept(t.Context(), test.record)
			if test.kind != "" {
				assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.ID, test.wantID)
			assert.Equal(t, replayed, test.replayed)
		})
	}
}

func withChangedKind(r jobstore.Record) jobstore.Record {
	r.Submission.Kind = "changed"
	return r
}

func TestOpenAndListPage(t *testing.T) {
	_, store := newStore()
	for i := range 620 {
		account := "acme"
		if i%2 == 1 {
			account = "other"
		}
		_, _, err := store.Accept(t.Context(), newRecord(fmt.Sprintf("j%03d", i), account, "", int64(i)))
		assert.NilError(t, err)
	}
	open, err := store.ListOpen(t.Context(), "z1")
	assert.NilError(t, err)
	assert.Equal(t, len(open), 620)
	open, err = store.ListOpen(t.Context(), "z")
	assert.NilError(t, err)
	assert.Equal(t, len(open), 0)
	list, err := store.List(t.Context(), "acme", 300)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 300)
	assert.Equal(t, list[0].ID, "j618")
	assert.Equal(t, list[299].ID, "j020")
	list, err = store.List(t.Context(), "", 3)
	assert.NilError(t, err)
	assert.Equal(t, list[0].ID, "j619")
}

// concurrentWriter changes the row directly after each commit, before its version
// can be read.
type concurrentWriter struct {
	*fake.Platform
}

func (w concurrentWriter) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	result := w.Platform.Commit(ctx, purpose, tx)
	rows, _ := w.Read(ctx, purpose, tx.Ops[0].Ref)
	changed := strings.Replace(string(rows.Rows[0].Value), `"epoch":1`, `"epoch":2`, 1)
	w.Platform.Commit(ctx, purpose, api.Tx{WriteID: platform.NewWriteID(), Ops: []api.Op{
		{Ref: tx.Ops[0].Ref, IfVersion: rows.Rows[0].Version, Value: []byte(changed)},
	}})
	return result
}

func TestUpdateNeverReturnsVersionOfAnotherWrite(t *testing.T) {
	service, store := newStore()
	accepted, _, err := store.Accept(t.Context(), newRecord("j1", "acme", "", 1))
	assert.NilError(t, err)
	accepted.Phase, accepted.Epoch = jobstore.PhaseStarted, 1
	first, err := jobstore.New(concurrentWriter{service}).Update(t.Context(), accepted)
	assert.NilError(t, err)
	assert.Equal(t, first.Epoch, int64(1))
	_, err = store.Update(t.Context(), first)
	assert.Assert(t, api.IsKind(err, api.KindConflict), "%v", err)
}

func TestStoreFaults(t *testing.T) {
	cases := map[string]struct {
		fault fake.Fault
		kind  api.Kind
	}{
		"store down, nothing written":      {fake.Fault{Down: true}, api.KindStoreUnavailable},
		"all answers lost, result unknown": {fake.Fault{LoseAnswer: true}, api.KindResultUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			service := fake.New()
			store := jobstore.New(service)
			service.SetFault(func(fake.Call) fake.Fault { return test.fault })
			_, _, err := store.Accept(t.Context(), newRecord("j1", "acme", "", 1))
			assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
			_, err = store.ListOpen(t.Context(), "z1")
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable), "%v", err)
		})
	}
}

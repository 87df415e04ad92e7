package jobs

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// fakeZone is the placer of one zone. It accepts submissions unless refusal is
// set.
type fakeZone struct {
	epoch   int64
	refusal error
	calls   int
}

func (z *fakeZone) Epoch() int64 { return z.epoch }

func (z *fakeZone) Submit(_ context.Context, s placer.Submission) (api.JobAnswer, error) {
	z.calls++
	if z.refusal != nil {
		return api.JobAnswer{}, z.refusal
	}
	return api.JobAnswer{ID: s.ID, Outcome: api.OutcomeAccepted, State: "waiting", Rule: s.Verdict.Rule}, nil
}

func (z *fakeZone) Get(_ context.Context, id string, _ time.Duration) (api.JobAnswer, error) {
	z.calls++
	return api.JobAnswer{ID: id, Outcome: api.OutcomeAccepted, State: "running"}, z.refusal
}

func (z *fakeZone) Cancel(_ context.Context, id string) (api.JobAnswer, error) {
	return api.JobAnswer{ID: id, Outcome: api.OutcomeNotRun, State: "cancelled"}, z.refusal
}

func (z *fakeZone) Status(context.Context) api.Status { return api.Status{} }

func (z *fakeZone) CheckGuarantees(context.Context, []model.ClientAccount) error { return z.refusal }

// fakeFleet holds the router of each zone; the name of the zone serves as the
// name of its instance.
type fakeFleet struct {
	routers map[string]*Router
	// lostAnswers are the zones whose answers are lost after they handled the call.
	lostAnswers map[string]bool
}

func (f *fakeFleet) PlacerOf(zone string) (string, bool) {
	_, ok := f.routers[zone]
	return zone, ok
}

func (f *fakeFleet) Zones() []string { return []string{"a", "b", "c"} }

func (f *fakeFleet) Call(ctx context.Context, instance string, request *peerpb.Request) (*peerpb.Response, error) {
	reply, err := f.routers[instance].HandleCall(ctx, request.GetJob())
	if f.lostAnswers[instance] {
		return nil, api.NewError(api.KindResultUnknown, "the answer of %s was lost", instance)
	}
	if err != nil {
		return nil, err
	}
	return &peerpb.Response{Body: &peerpb.Response_Job{Job: reply}}, nil
}

// fakeStore holds one record.
type fakeStore struct {
	jobstore.Store
	record jobstore.Record
}

func (s fakeStore) Get(_ context.Context, id string) (jobstore.Record, error) {
	if s.record.ID != id {
		return jobstore.Record{}, api.NewError(api.KindNotFound, "no job %q", id)
	}
	return s.record, nil
}

func newFakeFleet(zones map[string]*fakeZone, verdict rules.Verdict, store jobstore.Store) *fakeFleet {
	fleet := &fakeFleet{routers: make(map[string]*Router), lostAnswers: make(map[string]bool)}
	for name, zone := range zones {
		fleet.routers[name] = &Router{
			Zone: name, Placer: zone, Peers: fleet, Caller: fleet, Store: store,
			Evaluate: func(api.JobSubmission, string) rules.Verdict { return verdict },
		}
	}
	return fleet
}

func TestSubmit(t *testing.T) {
	neverFits := api.NewError(api.KindShapeNeverFits, "too large here")
	atLimit := api.NewError(api.KindAccountLimit, "at its limit")
	spill := rules.Verdict{Rule: "all", Spill: true}
	cases := map[string]struct {
		zones      map[string]*fakeZone
		verdict    rules.Verdict
		job        api.JobSubmission
		lostAnswer string
		zone       string // of the accepted job
		kind       api.Kind
		calls      map[string]int
	}{
		"the local zone accepts":                           {map[string]*fakeZone{"a": {epoch: 1}, "b": {epoch: 1}}, spill, api.JobSubmission{}, "", "a", "", map[string]int{"a": 1}},
		"the requested zone accepts":                       {map[string]*fakeZone{"a": {epoch: 1}, "b": {epoch: 1}}, spill, api.JobSubmission{AvailabilityZone: "b"}, "", "b", "", map[string]int{"b": 1}},
		"another zone accepts what does not fit locally":   {map[string]*fakeZone{"a": {epoch: 1, refusal: neverFits}, "b": {epoch: 1}}, spill, api.JobSubmission{}, "", "b", "", map[string]int{"a": 1, "b": 1}},
		"a rule forbids other zones":                       {map[string]*fakeZone{"a": {epoch: 1, refusal: neverFits}, "b": {epoch: 1}}, rules.Verdict{Rule: "all"}, api.JobSubmission{}, "", "", api.KindShapeNeverFits, map[string]int{"a": 1}},
		"the first refusal is returned":                    {map[string]*fakeZone{"a": {epoch: 1, refusal: neverFits}, "b": {epoch: 1, refusal: atLimit}}, spill, api.JobSubmission{}, "", "", api.KindShapeNeverFits, map[string]int{"a": 1, "b": 1}},
		"an account limit is not bypassed in another zone": {map[string]*fakeZone{"a": {epoch: 1, refusal: atLimit}, "b": {epoch: 1}}, spill, api.JobSubmission{}, "", "", api.KindAccountLimit, map[string]int{"a": 1}},
		"a zone without a placer is skipped":               {map[string]*fakeZone{"a": {}, "b": {epoch: 1}}, spill, api.JobSubmission{}, "", "b", "", map[string]int{"b": 1}},
		"a lost answer is unknown and not retried":         {map[string]*fakeZone{"a": {epoch: 1, refusal: neverFits}, "b": {epoch: 1}, "c": {epoch: 1}}, spill, api.JobSubmission{}, "b", "", api.KindResultUnknown, map[string]int{"a": 1, "b": 1}},
		"a rule refuses":                                   {map[string]*fakeZone{"a": {epoch: 1}}, rules.Verdict{Rule: "none", Refuse: true, RetryAfterS: 9, Spill: true}, api.JobSubmission{}, "", "", api.KindRefusedByRule, map[string]int{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(test.zones, test.verdict, nil)
			fleet.lostAnswers[test.lostAnswer] = true
			answer, err := fleet.routers["a"].Submit(context.Background(), test.job)
			if test.kind != "" {
				assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
				assert.Assert(t, test.lostAnswer != "" || answer.Rule == test.verdict.Rule)
			} else {
				assert.NilError(t, err)
				zone, _ := zoneOf(answer.ID)
				assert.Equal(t, zone, test.zone)
			}
			for zone, fake := range test.zones {
				assert.Equal(t, fake.calls, test.calls[zone], "zone %s", zone)
			}
			assert.Assert(t, answer.ID != "", "every answer has an id")
			if test.lostAnswer != "" {
				zone, _ := zoneOf(answer.ID)
				assert.Equal(t, zone, test.lostAnswer, "the id names the zone that may have accepted the job")
			}
		})
	}
}

func TestForwardedRefusalKeepsRetryAfter(t *testing.T) {
	verdict := rules.Verdict{Rule: "later", Refuse: true, RetryAfterS: 9}
	fleet := newFakeFleet(map[string]*fakeZone{"a": {}, "b": {epoch: 1}}, verdict, nil)
	answer, err := fleet.routers["a"].Submit(context.Background(), api.JobSubmission{AvailabilityZone: "b"})
	assert.Assert(t, api.IsKind(err, api.KindRefusedByRule))
	assert.Equal(t, api.RetryAfterS(err), 9.0)
	assert.Equal(t, RefusalAnswer(answer, err).Rule, "later")
}

func TestGetFallsBackToStore(t *testing.T) {
	ended := jobstore.Record{ID: "j-1~b", Zone: "b", Phase: jobstore.PhaseEnded, State: "done", Outcome: api.OutcomeDone}
	cases := map[string]struct {
		id    string
		zones map[string]*fakeZone
		state string
		kind  api.Kind
	}{
		"its placer answers":                       {"j-2~b", map[string]*fakeZone{"a": {}, "b": {epoch: 1}}, "running", ""},
		"its zone has no placer, but it is stored": {"j-1~b", map[string]*fakeZone{"a": {}, "b": {}}, "done", ""},
		"its zone is unknown, but it is stored":    {"j-1~b", map[string]*fakeZone{"a": {}}, "done", ""},
		"it is not stored":                         {"j-9~b", map[string]*fakeZone{"a": {}, "b": {}}, "", api.KindNotFound},
		"the id names no zone":                     {"j-9", map[string]*fakeZone{"a": {epoch: 1}}, "", api.KindNotFound},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newFakeFleet(test.zones, rules.Verdict{}, fakeStore{record: ended})
			answer, err := fleet.routers["a"].Get(context.Background(), test.id, 0)
			if test.kind != "" {
				assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, answer.State, test.state)
		})
	}
}

func TestHandleRejectsMalformedCalls(t *testing.T) {
	fleet := newFakeFleet(map[string]*fakeZone{"a": {epoch: 1}}, rules.Verdict{}, nil)
	calls := map[string]*peerpb.JobCall{
		"an unknown operation":   {Op: "dance"},
		"a truncated submission": {Op: opSubmit, Submission: []byte(`{"account":`)},
		"a truncated list":       {Op: opCheck, Submission: []byte(`[`)},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			_, err := fleet.routers["a"].HandleCall(context.Background(), call)
			assert.Assert(t, err != nil)
		})
	}
	reply, err := fleet.routers["a"].HandleCall(context.Background(), &peerpb.JobCall{Op: opGet, JobId: "j~a"})
	assert.NilError(t, err)
	assert.Assert(t, json.Valid(reply.GetAnswer()))
}

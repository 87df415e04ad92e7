package membership

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is an event of a table test at a time after its start.
type step struct {
	after time.Duration
	apply func(s *state, now time.Time)
}

func at(after time.Duration, apply func(*state, time.Time)) step { return step{after, apply} }

func listBackend(incarnation int64, leaving bool) func(*state, time.Time) {
	return func(s *state, now time.Time) {
		s.applyList(api.InstanceList{AsOf: now, Instances: []api.ListedInstance{{
			ID: "b1", Role: api.RoleBackendServer, AvailabilityZone: "z1", Incarnation: incarnation, Leaving: leaving,
		}}}, now)
	}
}

func applyEmptyList(s *state, now time.Time) { s.applyList(api.InstanceList{AsOf: now}, now) }

func applyStaleList(s *state, now time.Time) {
	s.applyList(api.InstanceList{AsOf: startTime.Add(-time.Hour)}, now)
}

func backendAnswers(incarnation int64, leaving bool) func(*state, time.Time) {
	return func(s *state, now time.Time) { s.applyBackendAnswer("b1", incarnation, leaving, now) }
}

func peerReportsLeaving(incarnation int64) func(*state, time.Time) {
	return func(s *state, now time.Time) {
		s.applyPeerState(&peerpb.State{Instance: "p", Incarnation: 1, Backends: []*peerpb.BackendSignal{
			{BackendServer: "b1", Incarnation: incarnation, Leaving: true},
		}}, now)
	}
}

func checkTimeouts(s *state, now time.Time) { s.checkTimeouts(now) }

const second = time.Second

func TestBackendServerStateFollowsSignals(t *testing.T) {
	cases := map[string]struct {
		steps []step
		// want is the expected state, or empty if the view leaves the server
		// out.
		want model.BackendState
	}{
		"listed server ramps":                                                  {[]step{at(0, listBackend(1, false))}, model.BackendRamping},
		"listed server is ready after the ramp time":                           {[]step{at(0, listBackend(1, false)), at(10*second, listBackend(1, false)), at(10*second, checkTimeouts)}, model.BackendReady},
		"list marks it as leaving":                                             {[]step{at(0, listBackend(1, true))}, model.BackendLeaving},
		"its own answer marks it as leaving":                                   {[]step{at(0, listBackend(1, false)), at(1, backendAnswers(1, true))}, model.BackendLeaving},
		"peer reports it as leaving":                                           {[]step{at(0, listBackend(1, false)), at(1, peerReportsLeaving(1))}, model.BackendLeaving},
		"peer reports it as leaving before it is listed":                       {[]step{at(0, peerReportsLeaving(1)), at(1, listBackend(1, false))}, model.BackendLeaving},
		"lagging list does not revoke the leaving signal":                      {[]step{at(0, listBackend(1, false)), at(1, backendAnswers(1, true)), at(second, listBackend(1, false))}, model.BackendLeaving},
		"late answer does not revoke the leaving signal":                       {[]step{at(0, listBackend(1, true)), at(1, backendAnswers(1, false))}, model.BackendLeaving},
		"list that drops and adds it again does not revoke the leaving signal": {[]step{at(0, listBackend(1, true)), at(6*second, applyEmptyList), at(6*second, checkTimeouts), at(7*second, listBackend(1, false))}, ""},
		"new incarnation returns":                                              {[]step{at(0, listBackend(1, true)), at(second, listBackend(2, false))}, model.BackendRamping},
		"earlier leaving signal does not affect a new incarnation":             {[]step{at(0, listBackend(2, false)), at(second, backendAnswers(1, true))}, model.BackendRamping},
		"earlier list does not affect a new incarnation":                       {[]step{at(0, listBackend(2, false)), at(second, listBackend(1, true))}, model.BackendRamping},
		"server missing from a current list is removed after the timeout":      {[]step{at(0, listBackend(1, false)), at(6*second, applyEmptyList), at(6*second, checkTimeouts)}, ""},
		"its own answers keep a server that is not listed":                     {[]step{at(0, listBackend(1, false)), at(5*second, backendAnswers(1, false)), at(6*second, applyEmptyList), at(6*second, checkTimeouts)}, model.BackendRamping},
		"unreadable list removes no server":                                    {[]step{at(0, listBackend(1, false)), at(60*second, checkTimeouts)}, model.BackendReady},
		"list older than the last one is ignored":                              {[]step{at(0, listBackend(1, false)), at(6*second, applyStaleList), at(6*second, checkTimeouts)}, model.BackendRamping},
		"single loss causes no hold-down":                                      {[]step{at(0, listBackend(1, false)), at(6*second, applyEmptyList), at(6*second, checkTimeouts), at(7*second, listBackend(1, false))}, model.BackendRamping},
		"second loss causes a hold-down":                                       {flapTwiceThen(at(14*second, listBackend(1, false))), ""},
		"server returns after the hold-down":                                   {flapTwiceThen(at(20*second, listBackend(1, false))), model.BackendRamping},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(model.Instance{ID: "self", Zone: "z1"}, 500*time.Millisecond, DefaultThresholds())
			for _, step := range test.steps {
				step.apply(s, startTime.Add(step.after))
			}
			servers := s.backendServers("z1", startTime.Add(time.Minute))
			if test.want == "" {
				assert.Equal(t, len(servers), 0)
				return
			}
			assert.Equal(t, len(servers), 1)
			assert.Equal(t, servers[0].State, test.want)
		})
	}
}

func flapTwiceThen(last step) []step {
	return []step{
		at(0, listBackend(1, false)), at(6*second, applyEmptyList), at(6*second, checkTimeouts),
		at(7*second, listBackend(1, false)), at(13*second, applyEmptyList), at(13*second, checkTimeouts), last,
	}
}

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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one event of a table test, at a time after its start.
type step struct {
	after time.Duration
	do    func(s *state, now time.Time)
}

func at(after time.Duration, do func(*state, time.Time)) step { return step{after, do} }

func listing(incarnation int64, leaving bool) func(*state, time.Time) {
	return func(s *state, now time.Time) {
		s.listed(api.InstanceList{AsOf: now, Instances: []api.ListedInstance{{
			ID: "b1", Role: api.RoleBackendServer, AvailabilityZone: "z1", Incarnation: incarnation, Leaving: leaving,
		}}}, now)
	}
}

func emptyList(s *state, now time.Time) { s.listed(api.InstanceList{AsOf: now}, now) }

func staleList(s *state, now time.Time) { s.listed(api.InstanceList{AsOf: epoch.Add(-time.Hour)}, now) }

func said(incarnation int64, leaving bool) func(*state, time.Time) {
	return func(s *state, now time.Time) { s.backendSaid("b1", incarnation, leaving, now) }
}

func peerLeft(incarnation int64) func(*state, time.Time) {
	return func(s *state, now time.Time) {
		s.peerSaid(&peerpb.State{Instance: "p", Incarnation: 1, Backends: []*peerpb.BackendSignal{
			{BackendServer: "b1", Incarnation: incarnation, Leaving: true},
		}}, now)
	}
}

func tick(s *state, now time.Time) { s.tick(now) }

const second = time.Second

func TestBackendServerStateFollowsTheSignals(t *testing.T) {
	cases := map[string]struct {
		steps []step
		// want is the state, or empty when the view leaves the server out.
		want model.BackendState
	}{
		"a listed one ramps":                            {[]step{at(0, listing(1, false))}, model.BackendRamping},
		"a listed one is ready after the ramp":          {[]step{at(0, listing(1, false)), at(10*second, listing(1, false)), at(10*second, tick)}, model.BackendReady},
		"the list says that it leaves":                  {[]step{at(0, listing(1, true))}, model.BackendLeaving},
		"its own answer says that it leaves":            {[]step{at(0, listing(1, false)), at(1, said(1, true))}, model.BackendLeaving},
		"a peer says that it leaves":                    {[]step{at(0, listing(1, false)), at(1, peerLeft(1))}, model.BackendLeaving},
		"a peer says so before the list names it":       {[]step{at(0, peerLeft(1)), at(1, listing(1, false))}, model.BackendLeaving},
		"a list that lags does not bring it back":       {[]step{at(0, listing(1, false)), at(1, said(1, true)), at(second, listing(1, false))}, model.BackendLeaving},
		"nor does its own late answer":                  {[]step{at(0, listing(1, true)), at(1, said(1, false))}, model.BackendLeaving},
		"nor a list that drops and names it again":      {[]step{at(0, listing(1, true)), at(6*second, emptyList), at(6*second, tick), at(7*second, listing(1, false))}, ""},
		"a new incarnation comes back":                  {[]step{at(0, listing(1, true)), at(second, listing(2, false))}, model.BackendRamping},
		"an old sign does not touch a new incarnation":  {[]step{at(0, listing(2, false)), at(second, said(1, true))}, model.BackendRamping},
		"an old list does not touch a new incarnation":  {[]step{at(0, listing(2, false)), at(second, listing(1, true))}, model.BackendRamping},
		"a fresh list without it ends it after a while": {[]step{at(0, listing(1, false)), at(6*second, emptyList), at(6*second, tick)}, ""},
		"its own answers keep it without the list":      {[]step{at(0, listing(1, false)), at(5*second, said(1, false)), at(6*second, emptyList), at(6*second, tick)}, model.BackendRamping},
		"a list that cannot be read ends nobody":        {[]step{at(0, listing(1, false)), at(60*second, tick)}, model.BackendReady},
		"a list older than the last says nothing":       {[]step{at(0, listing(1, false)), at(6*second, staleList), at(6*second, tick)}, model.BackendRamping},
		"one loss is no pattern":                        {[]step{at(0, listing(1, false)), at(6*second, emptyList), at(6*second, tick), at(7*second, listing(1, false))}, model.BackendRamping},
		"a second loss is held down":                    {flapTwice(at(14*second, listing(1, false))), ""},
		"and let back after the hold":                   {flapTwice(at(20*second, listing(1, false))), model.BackendRamping},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(model.Instance{ID: "self", Zone: "z1"}, 500*time.Millisecond, DefaultThresholds())
			for _, step := range test.steps {
				step.do(s, epoch.Add(step.after))
			}
			servers := s.backendServers("z1", epoch.Add(time.Minute))
			if test.want == "" {
				assert.Equal(t, len(servers), 0)
				return
			}
			assert.Equal(t, len(servers), 1)
			assert.Equal(t, servers[0].State, test.want)
		})
	}
}

func flapTwice(last step) []step {
	return []step{
		at(0, listing(1, false)), at(6*second, emptyList), at(6*second, tick),
		at(7*second, listing(1, false)), at(13*second, emptyList), at(13*second, tick), last,
	}
}

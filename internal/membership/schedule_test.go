package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/model"
)

func TestIntervalsGrowWithTheFleetAndBoundTheExchanges(t *testing.T) {
	const base = 500 * time.Millisecond
	cases := map[string]struct {
		own, other   int
		wantOwn      time.Duration
		wantOther    time.Duration
		perSecondMax float64
	}{
		"alone":                             {0, 0, base, 2 * base, 0},
		"today's size keeps the base":       {2, 6, base, 2 * base, 10},
		"ten zones of four":                 {3, 36, base, 6 * time.Second, 12},
		"ten zones of six":                  {5, 54, 833333333, 9 * time.Second, 12},
		"a fleet beyond any that is wanted": {99, 900, 16500 * time.Millisecond, 150 * time.Second, 12},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			every := planIntervals(base, test.own, test.other)
			assert.Equal(t, every.own, test.wantOwn)
			assert.Equal(t, every.other, test.wantOther)
			perSecond := float64(test.own)/every.own.Seconds() + float64(test.other)/every.other.Seconds()
			assert.Assert(t, perSecond <= test.perSecondMax+1e-6, "%v exchanges a second", perSecond)
		})
	}
}

func TestWhoBeginsAnExchange(t *testing.T) {
	now := epoch.Add(time.Hour)
	every := intervals{own: time.Second, other: 10 * time.Second}
	calm := func(string) bool { return false }
	cases := map[string]struct {
		peer   model.Instance
		urgent bool
		want   bool
	}{
		"the lower id begins":                         {model.Instance{ID: "n", Zone: "z1", LastSeen: now}, false, true},
		"the higher id waits":                         {model.Instance{ID: "a", Zone: "z1", LastSeen: now}, false, false},
		"unless it heard nothing for two intervals":   {model.Instance{ID: "a", Zone: "z1", LastSeen: now.Add(-3 * time.Second)}, false, true},
		"which are longer to other zones":             {model.Instance{ID: "a", Zone: "z2", LastSeen: now.Add(-3 * time.Second)}, false, false},
		"or never heard of it":                        {model.Instance{ID: "a", Zone: "z1"}, false, true},
		"an urgent one is talked to by the higher id": {model.Instance{ID: "a", Zone: "z1", LastSeen: now}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSchedule(model.Instance{ID: "m", Zone: "z1"})
			s.next[test.peer.ID] = now.Add(-time.Millisecond)
			urgent := calm
			if test.urgent {
				s.next[test.peer.ID] = now.Add(time.Hour)
				urgent = func(string) bool { return true }
			}
			due := s.due(now, []model.Instance{test.peer}, every, urgent, func() float64 { return 0.5 })
			assert.Equal(t, len(due) == 1, test.want)
		})
	}
}

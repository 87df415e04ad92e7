package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/model"
)

func TestIntervalsGrowWithFleetSizeAndBoundTheExchangeRate(t *testing.T) {
	const base = 500 * time.Millisecond
	cases := map[string]struct {
		sameZone, otherZones int
		wantSameZone         time.Duration
		wantOtherZones       time.Duration
		maxPerSecond         float64
	}{
		"alone":                                {0, 0, base, 2 * base, 0},
		"current size keeps the base interval": {2, 6, base, 2 * base, 10},
		"ten zones of four":                    {3, 36, base, 6 * time.Second, 12},
		"ten zones of six":                     {5, 54, 833333333, 9 * time.Second, 12},
		"fleet beyond any planned size":        {99, 900, 16500 * time.Millisecond, 150 * time.Second, 12},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			planned := planIntervals(base, test.sameZone, test.otherZones)
			assert.Equal(t, planned.sameZone, test.wantSameZone)
			assert.Equal(t, planned.otherZones, test.wantOtherZones)
			perSecond := float64(test.sameZone)/planned.sameZone.Seconds() + float64(test.otherZones)/planned.otherZones.Seconds()
			assert.Assert(t, perSecond <= test.maxPerSecond+1e-6, "%v exchanges a second", perSecond)
		})
	}
}

func TestWhichInstanceInitiatesAnExchange(t *testing.T) {
	now := startTime.Add(time.Hour)
	intervals := exchangeIntervals{sameZone: time.Second, otherZones: 10 * time.Second}
	notUrgent := func(string) bool { return false }
	cases := map[string]struct {
		peer   model.Instance
		urgent bool
		want   bool
	}{
		"lower id initiates": {model.Instance{ID: "n", Zone: "z1", LastSeen: now}, false, true},
		"higher id waits":    {model.Instance{ID: "a", Zone: "z1", LastSeen: now}, false, false},
		"higher id initiates after two intervals without a message": {model.Instance{ID: "a", Zone: "z1", LastSeen: now.Add(-3 * time.Second)}, false, true},
		"intervals to other zones are longer":                       {model.Instance{ID: "a", Zone: "z2", LastSeen: now.Add(-3 * time.Second)}, false, false},
		"higher id initiates without any message":                   {model.Instance{ID: "a", Zone: "z1"}, false, true},
		"higher id initiates for an urgent peer":                    {model.Instance{ID: "a", Zone: "z1", LastSeen: now}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSchedule(model.Instance{ID: "m", Zone: "z1"})
			s.nextAt[test.peer.ID] = now.Add(-time.Millisecond)
			urgent := notUrgent
			if test.urgent {
				s.nextAt[test.peer.ID] = now.Add(time.Hour)
				urgent = func(string) bool { return true }
			}
			due := s.due(now, []model.Instance{test.peer}, intervals, urgent, func() float64 { return 0.5 })
			assert.Equal(t, len(due) == 1, test.want)
		})
	}
}

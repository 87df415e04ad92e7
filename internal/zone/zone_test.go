package zone_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/zone"
)

func TestDecideByWhatIsReached(t *testing.T) {
	var (
		whole     = zone.Reach{Store: true, ZonePeers: 1, OtherPeers: 4}
		noStore   = zone.Reach{ZonePeers: 1, OtherPeers: 4}
		ownOnly   = zone.Reach{ZonePeers: 1}
		otherOnly = zone.Reach{OtherPeers: 4}
		storeOnly = zone.Reach{Store: true}
		alone     = zone.Reach{}
	)
	placer := zone.Situation{Configured: true, Placer: true, LeaseValid: true, Epoch: 7, HighestEpoch: 7}
	lapsed := placer
	lapsed.LeaseValid = false
	replaced := placer
	replaced.HighestEpoch = 8
	leaving := placer
	leaving.Leaving = true
	unconfigured := placer
	unconfigured.Configured = false
	other := zone.Situation{Configured: true, HighestEpoch: 7}
	fresh := zone.Situation{}

	cases := map[string]struct {
		situation zone.Situation
		reach     zone.Reach
		want      zone.Permission
	}{
		"the placer with everything does all":                          {placer, whole, allow("rcsg", zone.StartsAll, zone.SourceStore)},
		"the placer with the store alone does all but spill":           {placer, storeOnly, allow("rcg", zone.StartsAll, zone.SourceStore)},
		"the placer without the store starts idempotent jobs":          {placer, noStore, allow("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"so does it when its lease lapses meanwhile":                   {lapsed, noStore, allow("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"so does it in a zone cut from the others":                     {lapsed, ownOnly, allow("rg", zone.StartsIdempotent, zone.SourcePeers)},
		"so does it with peers of other zones only":                    {lapsed, otherOnly, allow("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"the placer alone starts nothing but renews":                   {placer, alone, allow("rg", zone.StartsNone, zone.SourceKeep)},
		"a lapsed lease with the store back starts nothing yet":        {lapsed, whole, allow("rcsg", zone.StartsNone, zone.SourceStore)},
		"a placer that was replaced starts and renews nothing":         {replaced, noStore, allow("rs", zone.StartsNone, zone.SourcePeers)},
		"a placer that was replaced may stand again with the store":    {replaced, whole, allow("rcst", zone.StartsNone, zone.SourceStore)},
		"a leaving placer starts nothing and renews until handed over": {leaving, whole, allow("g", zone.StartsNone, zone.SourceStore)},
		"a placer without configuration starts nothing":                {unconfigured, whole, allow("g", zone.StartsNone, zone.SourceStore)},
		"another instance stands for the lease with the store":         {other, whole, allow("rcst", zone.StartsNone, zone.SourceStore)},
		"another instance without the store does not":                  {other, noStore, allow("rs", zone.StartsNone, zone.SourcePeers)},
		"another instance alone serves what needs no claim":            {other, alone, allow("r", zone.StartsNone, zone.SourceKeep)},
		"a new instance without the store asks peers":                  {fresh, noStore, allow("", zone.StartsNone, zone.SourcePeers)},
		"a new instance with the store asks it":                        {fresh, whole, allow("", zone.StartsNone, zone.SourceStore)},
		"a new instance with neither is not ready":                     {fresh, alone, allow("", zone.StartsNone, zone.SourceNone)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.situation.Reach = test.reach
			got := zone.Decide(test.situation)
			assert.Assert(t, got.Reason != "")
			got.Reason = ""
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// allow spells a permission: r ready, c claims, s spill, t take placer, g renew
// gangs.
func allow(letters string, starts zone.Starts, source zone.Source) zone.Permission {
	p := zone.Permission{Starts: starts, Config: source}
	for _, letter := range letters {
		switch letter {
		case 'r':
			p.Ready = true
		case 'c':
			p.Claims = true
		case 's':
			p.Spill = true
		case 't':
			p.TakePlacer = true
		case 'g':
			p.RenewGangs = true
		}
	}
	return p
}

// TestNothingUnsafeInAnySituation goes through every combination.
func TestNothingUnsafeInAnySituation(t *testing.T) {
	for bits := range 1 << 8 {
		bit := func(i int) bool { return bits>>i&1 == 1 }
		s := zone.Situation{
			Reach:      zone.Reach{Store: bit(0), ZonePeers: bits >> 1 & 1, OtherPeers: bits >> 2 & 1},
			Configured: bit(3), Leaving: bit(4), Placer: bit(5), LeaseValid: bit(6),
			Epoch: 1, HighestEpoch: 1 + int64(bits>>7&1),
		}
		p := zone.Decide(s)
		assert.Assert(t, p.Ready == (s.Configured && !s.Leaving), "%+v", s)
		assert.Assert(t, !p.Claims || s.Reach.Store, "%+v", s)
		assert.Assert(t, !p.TakePlacer || s.Reach.Store, "%+v", s)
		assert.Assert(t, p.Starts != zone.StartsAll || (s.Reach.Store && s.LeaseValid), "%+v", s)
		assert.Assert(t, p.Starts == zone.StartsNone || s.Reach.Store || s.Reach.Peers(), "%+v", s)
		superseded := s.HighestEpoch > s.Epoch
		assert.Assert(t, !superseded || (p.Starts == zone.StartsNone && !p.RenewGangs), "%+v", s)
		assert.Assert(t, p.Config != zone.SourceNone || !s.Configured, "%+v", s)
	}
}

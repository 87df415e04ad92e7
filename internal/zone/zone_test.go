package zone_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/zone"
)

func TestDecideByWhatIsReached(t *testing.T) {
	var (
		allReached     = zone.Reach{Store: true, ZonePeers: 1, OtherPeers: 4}
		noStore        = zone.Reach{ZonePeers: 1, OtherPeers: 4}
		zonePeersOnly  = zone.Reach{ZonePeers: 1}
		otherZonesOnly = zone.Reach{OtherPeers: 4}
		storeOnly      = zone.Reach{Store: true}
		isolated       = zone.Reach{}
	)
	placer := zone.Situation{Configured: true, Placer: true, LeaseValid: true, Epoch: 7, HighestEpoch: 7}
	expired := placer
	expired.LeaseValid = false
	superseded := placer
	superseded.HighestEpoch = 8
	leaving := placer
	leaving.Leaving = true
	unconfigured := placer
	unconfigured.Configured = false
	notPlacer := zone.Situation{Configured: true, HighestEpoch: 7}
	newInstance := zone.Situation{}

	cases := map[string]struct {
		situation zone.Situation
		reach     zone.Reach
		want      zone.Permission
	}{
		"placer that reaches everything is allowed everything":                      {placer, allReached, permission("rcsg", zone.StartsAll, zone.SourceStore)},
		"placer that reaches only the store may not spill":                          {placer, storeOnly, permission("rcg", zone.StartsAll, zone.SourceStore)},
		"placer without the store starts idempotent jobs":                           {placer, noStore, permission("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"placer without the store and with an expired lease starts idempotent jobs": {expired, noStore, permission("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"placer in a zone partitioned from the others starts idempotent jobs":       {expired, zonePeersOnly, permission("rg", zone.StartsIdempotent, zone.SourcePeers)},
		"placer that reaches only peers of other zones starts idempotent jobs":      {expired, otherZonesOnly, permission("rsg", zone.StartsIdempotent, zone.SourcePeers)},
		"isolated placer starts nothing but renews gangs":                           {placer, isolated, permission("rg", zone.StartsNone, zone.SourceKeep)},
		"placer with an expired lease starts nothing once the store is back":        {expired, allReached, permission("rcsg", zone.StartsNone, zone.SourceStore)},
		"superseded placer starts and renews nothing":                               {superseded, noStore, permission("rs", zone.StartsNone, zone.SourcePeers)},
		"superseded placer may acquire the lease again with the store":              {superseded, allReached, permission("rcst", zone.StartsNone, zone.SourceStore)},
		"leaving placer starts nothing and renews gangs until handover":             {leaving, allReached, permission("g", zone.StartsNone, zone.SourceStore)},
		"placer without a configuration starts nothing":                             {unconfigured, allReached, permission("g", zone.StartsNone, zone.SourceStore)},
		"other instance with the store may acquire the lease":                       {notPlacer, allReached, permission("rcst", zone.StartsNone, zone.SourceStore)},
		"other instance without the store may not acquire the lease":                {notPlacer, noStore, permission("rs", zone.StartsNone, zone.SourcePeers)},
		"isolated other instance serves requests that need no claim":                {notPlacer, isolated, permission("r", zone.StartsNone, zone.SourceKeep)},
		"new instance without the store reads the configuration from peers":         {newInstance, noStore, permission("", zone.StartsNone, zone.SourcePeers)},
		"new instance with the store reads the configuration from it":               {newInstance, allReached, permission("", zone.StartsNone, zone.SourceStore)},
		"new instance with neither store nor peers is not ready":                    {newInstance, isolated, permission("", zone.StartsNone, zone.SourceNone)},
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

// permission builds a Permission from letters: r ready, c claims, s spill, t
// take placer, g renew gangs.
func permission(letters string, starts zone.Starts, source zone.Source) zone.Permission {
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

// TestNothingUnsafeInAnySituation checks every combination of inputs.
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

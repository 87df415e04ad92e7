package membership

import "time"

// listMaxAge is how long the last list is considered to show the current
// instances.
const listMaxAge = 10 * time.Second

// ZoneMembers returns the ids of the instances of a zone that may be running,
// including this one: those in the newest list and those that sent a message
// recently. While the list cannot be read, no known instance is excluded. The
// ids are sorted.
func (f *Fleet) ZoneMembers(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.zoneMembers(zone, f.self.ID, f.self.Zone, time.Now())
}

func (s *state) zoneMembers(zone, self, selfZone string, now time.Time) []string {
	members := make(map[string]bool)
	if selfZone == zone {
		members[self] = true
	}
	intervals := s.intervals()
	listFresh := !s.listReceivedAt.IsZero() && now.Sub(s.listReceivedAt) <= listMaxAge
	for id, entry := range s.instances {
		if entry.Zone != zone {
			continue
		}
		listed := entry.listedAt.Equal(s.listReceivedAt)
		if listed || !listFresh || s.isLive(entry, intervals, now) {
			members[id] = true
		}
	}
	return sortedKeys(members)
}

package membership

import "time"

// listFreshFor is how long the last list that was read says who is there.
const listFreshFor = 10 * time.Second

// ZoneMembers returns the ids of the instances of a zone, this one included,
// that may be running, whether they are heard of or not: those that the newest
// list names, and those heard of lately. While the list cannot be read, nobody
// is ruled out. They are in the order of ids.
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
	every := s.intervals()
	listFresh := !s.listAt.IsZero() && now.Sub(s.listAt) <= listFreshFor
	for id, entry := range s.instances {
		if entry.Zone != zone {
			continue
		}
		named := entry.listedAt.Equal(s.listAt)
		if named || !listFresh || s.instanceLive(entry, every, now) {
			members[id] = true
		}
	}
	return sortedKeys(members)
}

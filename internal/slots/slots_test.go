package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const serverSlots = 8

// node is one entry instance of a zone under test.
type node struct {
	id      string
	members *Members
	holder  *Holder
	owner   *Owner
	need    int
	// pausedUntil and cutUntil end a freeze and a cut from all peers.
	pausedUntil, cutUntil time.Time
	seen                  []string
}

// zone plays instances that share one backend server, with messages that get
// lost or come late, freezes, cuts, restarts, joins and leaves.
type zone struct {
	random *rand.Rand
	now    time.Time
	nodes  map[string]*node
	listed []string
	serial uint64
	// plant is applied to each holder's usable slots.
	plant func(n *node, now time.Time) int
	mail  []mail
}

type mail struct {
	at      time.Time
	deliver func()
}

func (z *zone) join(id string) {
	z.serial += 1 << 20
	members := NewMembers(z.now)
	z.nodes[id] = &node{id: id, members: members, holder: NewHolder(id, members), owner: NewOwner(members, z.serial, z.now)}
	z.nodes[id].holder.SetServers(map[string]int{"b1": serverSlots}, z.now)
	for _, known := range z.listed {
		if known == id {
			return
		}
	}
	z.listed = append(z.listed, id)
}

func (z *zone) reaches(a, b *node) bool {
	return a == b || (z.now.After(a.cutUntil) && z.now.After(b.cutUntil))
}

// post delivers after a delay of up to 5 ms, or late, or never.
func (z *zone) post(deliver func()) {
	delay := time.Duration(z.random.IntN(5)+1) * time.Millisecond
	switch z.random.IntN(50) {
	case 0:
		return
	case 1:
		delay = time.Duration(z.random.IntN(4000)) * time.Millisecond
	}
	z.mail = append(z.mail, mail{z.now.Add(delay), deliver})
}

func (z *zone) deliver() {
	pending := z.mail
	z.mail = nil
	for _, m := range pending {
		if m.at.After(z.now) {
			z.mail = append(z.mail, m)
			continue
		}
		m.deliver()
	}
}

func (z *zone) awake(n *node) bool { return z.nodes[n.id] == n && !z.now.Before(n.pausedUntil) }

func (z *zone) demand(n *node) {
	sentAt := z.now
	for _, demand := range n.holder.Demands(z.now, func(string) (int, int) { return 0, n.need }) {
		target, ok := z.nodes[demand.Owner]
		if !ok || !z.reaches(n, target) {
			continue
		}
		z.post(func() { z.answer(n, target, demand, sentAt) })
	}
}

func (z *zone) answer(n, target *node, demand Demand, sentAt time.Time) {
	if !z.awake(target) {
		z.post(func() { z.answer(n, target, demand, sentAt) })
		return
	}
	grants, serial := target.owner.Demand(n.id, demand.Echo, demand.Wants, z.now)
	if !z.reaches(n, target) {
		return
	}
	z.post(func() {
		if z.awake(n) {
			n.holder.Granted(demand.Owner, serial, grants, sentAt)
		}
	})
}

// look refreshes what n believes of the others; the list lags by up to 3 s.
func (z *zone) look(n *node) {
	live := []string{n.id}
	for id, other := range z.nodes {
		if other != n && z.awake(other) && z.reaches(n, other) {
			live = append(live, id)
		}
	}
	n.members.Set(n.seen, live, z.now)
}

func (z *zone) used() int {
	total := 0
	for _, n := range z.nodes {
		total += z.plant(n, z.now)
	}
	return total
}

func (z *zone) trouble(extra *int) {
	ids := sortedKeys(z.nodes)
	n := z.nodes[ids[z.random.IntN(len(ids))]]
	length := time.Duration(z.random.IntN(8000)) * time.Millisecond
	switch z.random.IntN(6) {
	case 0:
		n.pausedUntil = z.now.Add(length)
	case 1:
		n.cutUntil = z.now.Add(length)
	case 2:
		z.join(n.id)
	case 3:
		if len(z.nodes) > 2 {
			delete(z.nodes, n.id)
		}
	case 4:
		if len(z.nodes) < 8 {
			*extra++
			z.join(fmt.Sprintf("i%02d", *extra))
		}
	default:
		n.need = z.random.IntN(12)
	}
}

func usable(n *node, now time.Time) int { return n.holder.Usable("b1", now) }

// play runs one history and returns the largest number of slots in use at once
// and the mean number.
func play(seed uint64, instances int, troubled bool, plant func(*node, time.Time) int) (most int, mean float64) {
	z := &zone{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), nodes: map[string]*node{},
		plant: plant,
	}
	extra := instances
	for i := range instances {
		z.join(fmt.Sprintf("i%02d", i+1))
	}
	const step, steps = 10 * time.Millisecond, 3000
	sum := 0
	for tick := range steps {
		z.now = z.now.Add(step)
		if tick%200 == 0 {
			z.listed = pruned(z)
			for _, n := range z.nodes {
				n.seen = append([]string(nil), z.listed...)
			}
		}
		z.deliver()
		for _, id := range sortedKeys(z.nodes) {
			n := z.nodes[id]
			if !z.awake(n) {
				continue
			}
			z.look(n)
			if tick%10 == z.random.IntN(10) {
				z.demand(n)
			}
			n.owner.Forget(z.now)
		}
		if troubled && z.random.IntN(40) == 0 {
			z.trouble(&extra)
		}
		now := z.used()
		sum += now
		most = max(most, now)
	}
	return most, float64(sum) / steps
}

// pruned drops from the list what is gone.
func pruned(z *zone) []string {
	var kept []string
	for _, id := range z.listed {
		if _, ok := z.nodes[id]; ok {
			kept = append(kept, id)
		}
	}
	return kept
}

func TestSlotsInUseNeverExceedTheServer(t *testing.T) {
	for seed := range uint64(60) {
		instances := 2 + int(seed%7)
		most, _ := play(seed, instances, true, usable)
		assert.Assert(t, most <= serverSlots, "seed %d: %d slots in use with %d instances", seed, most, instances)
	}
}

func TestSlotsTestCatchesAHolderThatIgnoresExpiry(t *testing.T) {
	ignoresExpiry := func(n *node, now time.Time) int {
		held := n.holder.servers["b1"]
		return max(held.granted, usable(n, now))
	}
	caught := 0
	for seed := range uint64(20) {
		if most, _ := play(seed, 4, true, ignoresExpiry); most > serverSlots {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

func TestQuietZoneUsesAllSlots(t *testing.T) {
	for _, instances := range []int{2, 3, 5, 8} {
		_, mean := play(7, instances, false, usable)
		assert.Assert(t, mean > 0.7*serverSlots, "%d instances: mean %v", instances, mean)
	}
}

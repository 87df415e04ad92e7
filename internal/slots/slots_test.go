package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const serverSlots = 8

// instance is one entry instance of a zone under test.
type instance struct {
	id      string
	members *Members
	holder  *Holder
	owner   *Owner
	need    int
	// pausedUntil and partitionedUntil end a freeze and a network partition
	// from all peers.
	pausedUntil, partitionedUntil time.Time
	listed                        []string
}

// zone simulates instances that share one backend server, with lost and late
// messages, freezes, network partitions, restarts, joins and leaves.
type zone struct {
	random    *rand.Rand
	now       time.Time
	instances map[string]*instance
	listed    []string
	serial    uint64
	// slotsInUse returns the slots that an instance uses; a test can inject a
	// faulty holder with it.
	slotsInUse func(n *instance, now time.Time) int
	messages   []message
}

type message struct {
	at      time.Time
	deliver func()
}

func (z *zone) join(id string) {
	z.serial += 1 << 20
	members := NewMembers(z.now)
	z.instances[id] = &instance{id: id, members: members, holder: NewHolder(id, members), owner: NewOwner(members, z.serial, z.now)}
	z.instances[id].holder.SetServers(map[string]int{"b1": serverSlots}, z.now)
	for _, known := range z.listed {
		if known == id {
			return
		}
	}
	z.listed = append(z.listed, id)
}

func (z *zone) canReach(a, b *instance) bool {
	return a == b || (z.now.After(a.partitionedUntil) && z.now.After(b.partitionedUntil))
}

// send schedules a delivery with a delay of up to 5 ms, sometimes up to 4 s, or
// drops the message.
func (z *zone) send(deliver func()) {
	delay := time.Duration(z.random.IntN(5)+1) * time.Millisecond
	switch z.random.IntN(50) {
	case 0:
		return
	case 1:
		delay = time.Duration(z.random.IntN(4000)) * time.Millisecond
	}
	z.messages = append(z.messages, message{z.now.Add(delay), deliver})
}

func (z *zone) deliver() {
	pending := z.messages
	z.messages = nil
	for _, m := range pending {
		if m.at.After(z.now) {
			z.messages = append(z.messages, m)
			continue
		}
		m.deliver()
	}
}

func (z *zone) running(n *instance) bool {
	return z.instances[n.id] == n && !z.now.Before(n.pausedUntil)
}

func (z *zone) demand(n *instance) {
	sentAt := z.now
	for _, demand := range n.holder.Demands(z.now, func(string) (int, int) { return 0, n.need }) {
		target, ok := z.instances[demand.Owner]
		if !ok || !z.canReach(n, target) {
			continue
		}
		z.send(func() { z.answer(n, target, demand, sentAt) })
	}
}

func (z *zone) answer(n, target *instance, demand Demand, sentAt time.Time) {
	if !z.running(target) {
		z.send(func() { z.answer(n, target, demand, sentAt) })
		return
	}
	grants, serial := target.owner.Demand(n.id, demand.Echo, demand.Wants, z.now)
	if !z.canReach(n, target) {
		return
	}
	z.send(func() {
		if z.running(n) {
			n.holder.ApplyGrants(demand.Owner, serial, grants, sentAt)
		}
	})
}

// refreshView updates n's view of the other instances; the list lags by up to 2 s.
func (z *zone) refreshView(n *instance) {
	live := []string{n.id}
	for id, other := range z.instances {
		if other != n && z.running(other) && z.canReach(n, other) {
			live = append(live, id)
		}
	}
	n.members.Set(n.listed, live, z.now)
}

func (z *zone) totalInUse() int {
	total := 0
	for _, n := range z.instances {
		total += z.slotsInUse(n, z.now)
	}
	return total
}

func (z *zone) injectFault(lastID *int) {
	ids := sortedKeys(z.instances)
	n := z.instances[ids[z.random.IntN(len(ids))]]
	length := time.Duration(z.random.IntN(8000)) * time.Millisecond
	switch z.random.IntN(6) {
	case 0:
		n.pausedUntil = z.now.Add(length)
	case 1:
		n.partitionedUntil = z.now.Add(length)
	case 2:
		z.join(n.id)
	case 3:
		if len(z.instances) > 2 {
			delete(z.instances, n.id)
		}
	case 4:
		if len(z.instances) < 8 {
			*lastID++
			z.join(fmt.Sprintf("i%02d", *lastID))
		}
	default:
		n.need = z.random.IntN(12)
	}
}

func usable(n *instance, now time.Time) int { return n.holder.Usable("b1", now) }

// simulate runs one random history and returns the largest and the mean number of
// slots in use at the same time.
func simulate(seed uint64, instances int, withFaults bool, slotsInUse func(*instance, time.Time) int) (maxInUse int, meanInUse float64) {
	z := &zone{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), instances: map[string]*instance{},
		slotsInUse: slotsInUse,
	}
	lastID := instances
	for i := range instances {
		z.join(fmt.Sprintf("i%02d", i+1))
	}
	const step, steps = 10 * time.Millisecond, 3000
	sum := 0
	for tick := range steps {
		z.now = z.now.Add(step)
		if tick%200 == 0 {
			z.listed = existingInstances(z)
			for _, n := range z.instances {
				n.listed = append([]string(nil), z.listed...)
			}
		}
		z.deliver()
		for _, id := range sortedKeys(z.instances) {
			n := z.instances[id]
			if !z.running(n) {
				continue
			}
			z.refreshView(n)
			if tick%10 == z.random.IntN(10) {
				z.demand(n)
			}
			n.owner.Forget(z.now)
		}
		if withFaults && z.random.IntN(40) == 0 {
			z.injectFault(&lastID)
		}
		inUse := z.totalInUse()
		sum += inUse
		maxInUse = max(maxInUse, inUse)
	}
	return maxInUse, float64(sum) / steps
}

// existingInstances returns the listed instances that still exist.
func existingInstances(z *zone) []string {
	var kept []string
	for _, id := range z.listed {
		if _, ok := z.instances[id]; ok {
			kept = append(kept, id)
		}
	}
	return kept
}

func TestSlotsInUseNeverExceedServerSlots(t *testing.T) {
	for seed := range uint64(60) {
		instances := 2 + int(seed%7)
		maxInUse, _ := simulate(seed, instances, true, usable)
		assert.Assert(t, maxInUse <= serverSlots, "seed %d: %d slots in use with %d instances", seed, maxInUse, instances)
	}
}

func TestSimulationDetectsHolderThatIgnoresExpiry(t *testing.T) {
	ignoresExpiry := func(n *instance, now time.Time) int {
		server := n.holder.servers["b1"]
		return max(server.granted, usable(n, now))
	}
	caught := 0
	for seed := range uint64(20) {
		if maxInUse, _ := simulate(seed, 4, true, ignoresExpiry); maxInUse > serverSlots {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

func TestZoneWithoutFaultsUsesMostSlots(t *testing.T) {
	for _, instances := range []int{2, 3, 5, 8} {
		_, meanInUse := simulate(7, instances, false, usable)
		assert.Assert(t, meanInUse > 0.7*serverSlots, "%d instances: mean %v", instances, meanInUse)
	}
}

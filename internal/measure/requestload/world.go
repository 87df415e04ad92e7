package requestload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/routing"
	"github.com/corianderbank/corianderbank/internal/slots"
)

const (
	// warmUp lets the instances share the slots before the first request.
	warmUp = 5 * time.Second
	// drainTime lets the last requests end; it exceeds every deadline.
	drainTime = 7 * time.Second
	// The one-way times of the network.
	withinZone   = 250 * time.Microsecond
	betweenZones = 1400 * time.Microsecond
	tickInterval = 50 * time.Millisecond
	// stateInterval is the lag of what instances know of each other.
	stateInterval = 500 * time.Millisecond
	// claimTime is a commit in the platform's store.
	claimTime = 4 * time.Millisecond
)

// world is one run: a deployment under a pattern and a policy.
type world struct {
	clock
	deployment deployment
	pattern    pattern
	policy     policy
	random     *rand.Rand
	zones      []*zone
	requests   []*request
	keys       map[string]*keyed
	// overruns counts dispatches to a backend server without a free slot, and
	// ranTwice the second runs of work that must run at most once.
	overruns int
	ranTwice int
}

// zone is one availability zone.
type zone struct {
	name    string
	servers map[string]*server
	listing []model.BackendServer
	entries []*entry
	// load is the load level that other zones know.
	load float64
}

// server is a fake backend server.
type server struct {
	inFlight int
	slow     float64
	failing  bool
	joined   time.Duration
}

// keyed is the state of one idempotency key in the fake store.
type keyed struct {
	done    bool
	runs    int
	waiting []*request
}

// entry is one entry instance with the product's decisions.
type entry struct {
	id      string
	zone    *zone
	queue   *admission.Queue
	table   *routing.Table
	budget  *retry.Budget
	spill   routing.Spill
	members *slots.Members
	holder  *slots.Holder
	owner   *slots.Owner
	waiting map[string]*request
	sharing shareState
	delay   queueDelay
}

// request is one caller's request on its way.
type request struct {
	arrival
	id        string
	deadline  time.Duration
	tried     []string
	retries   int
	forwarded bool
	home      *entry
	running   bool
	ran       bool
	outcome   outcome
}

// outcome is the answer to the caller.
type outcome struct {
	kind string
	at   time.Duration
}

// The kinds of outcomes.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

func newWorld(d deployment, p pattern, chosen policy, seed uint64) *world {
	w := &world{
		deployment: d, pattern: p, policy: chosen, random: rand.New(rand.NewPCG(seed, 11)), keys: make(map[string]*keyed),
	}
	w.now = -warmUp
	for z := range d.instances {
		w.zones = append(w.zones, w.newZone(z))
	}
	return w
}

func (w *world) newZone(index int) *zone {
	z := &zone{name: "zone-" + strconv.Itoa(index), servers: make(map[string]*server)}
	for i := range w.deployment.servers[index] {
		s := w.addServer(z, i)
		s.joined = -time.Hour
		if i == 0 && w.pattern.fault.slow > 0 {
			s.slow = w.pattern.fault.slow
		}
	}
	ids := make([]string, w.deployment.instances[index])
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-entry-%d", z.name, i)
	}
	for i, id := range ids {
		z.entries = append(z.entries, w.newEntry(z, id, uint64(i)))
	}
	return z
}

func (w *world) addServer(z *zone, number int) *server {
	id := fmt.Sprintf("%s-server-%02d", z.name, number)
	s := &server{slow: 1, joined: w.now}
	z.servers[id] = s
	z.listing = append(z.listing, model.BackendServer{
		ID: id, Zone: z.name, Incarnation: 1, Slots: serverSlots, State: model.BackendReady,
	})
	return s
}

func (w *world) newEntry(z *zone, id string, number uint64) *entry {
	now := w.time()
	members := slots.NewMembers(now)
	e := &entry{
		id: id, zone: z, queue: admission.NewQueue(w.policy.queue, admission.NewServiceTimes()),
		table: routing.NewTable(w.routingPolicy(z)), budget: retry.NewBudget(), members: members,
		holder: slots.NewHolder(id, members), owner: slots.NewOwner(members, (number+1)<<32, now),
		waiting: make(map[string]*request),
	}
	if w.policy.noRetryBudget {
		e.budget = retry.NewUnlimited()
	}
	for _, a := range w.deployment.accounts {
		limits := admission.Limits{Weight: a.weight}
		if w.policy.unbounded {
			limits.MaxQueued = 1 << 30
		}
		e.queue.SetLimits(a.name, limits)
	}
	return e
}

// run plays the whole pattern.
func (w *world) run(arrivals []arrival) {
	for _, z := range w.zones {
		for i, e := range z.entries {
			w.after(time.Duration(i)*7*time.Millisecond, func() { w.tick(e) })
		}
		w.after(0, func() { w.publish(z) })
	}
	for _, a := range arrivals {
		w.after(a.at-w.now, func() { w.arrive(a) })
	}
	w.scheduleFaults()
	w.runUntil(loadTime + drainTime)
}

func (w *world) scheduleFaults() {
	for _, z := range w.zones {
		w.after(failAt-w.now, func() {
			for i := range w.pattern.fault.fresh {
				w.addServer(z, w.deployment.servers[0]+i)
			}
			w.setFailing(z, true)
		})
		w.after(failAt+failTime-w.now, func() { w.setFailing(z, false) })
	}
}

func (w *world) setFailing(z *zone, failing bool) {
	for i := range w.pattern.fault.failing {
		z.servers[z.listing[i].ID].failing = failing
	}
}

// publish makes the load of the zone known, late.
func (w *world) publish(z *zone) {
	sum := 0.0
	for _, e := range z.entries {
		sum += e.queue.Load()
	}
	z.load = sum / float64(len(z.entries))
	w.after(stateInterval, func() { w.publish(z) })
}

// tick is what an instance does at an interval.
func (w *world) tick(e *entry) {
	now := w.time()
	e.table.Sync(e.zone.listing, now)
	w.share(e)
	e.queue.SetCapacity(e.table.Capacity(w.usable(e)))
	if !w.policy.noSpill {
		e.spill.Update(e.queue.Load(), w.otherLoads(e.zone), now)
	}
	w.serve(e)
	w.after(tickInterval, func() { w.tick(e) })
}

func (w *world) otherLoads(own *zone) []routing.ZoneLoad {
	var loads []routing.ZoneLoad
	for _, z := range w.zones {
		if z != own {
			loads = append(loads, routing.ZoneLoad{Zone: z.name, Load: z.load})
		}
	}
	return loads
}

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
	// warmUpTime is the time before the first request, in which the instances share
	// the slots.
	warmUpTime = 5 * time.Second
	// drainTime is the time for the last requests to end. It exceeds every deadline.
	drainTime = 7 * time.Second
	// intraZoneLatency and interZoneLatency are the one-way network latencies.
	intraZoneLatency = 250 * time.Microsecond
	interZoneLatency = 1400 * time.Microsecond
	tickInterval     = 50 * time.Millisecond
	// loadPublishInterval is the time after which a zone's load is published again,
	// and so the greatest age of the load that other zones use.
	loadPublishInterval = 500 * time.Millisecond
	// claimLatency is the time of a commit in the platform's store, which claims a key.
	claimLatency = 4 * time.Millisecond
)

// simulation is one run of a deployment under a pattern and a policy.
type simulation struct {
	clock
	deployment deployment
	pattern    pattern
	policy     policy
	random     *rand.Rand
	zones      []*zone
	requests   []*request
	keys       map[string]*keyState
	// overruns counts dispatches to a backend server without a free slot, and
	// ranTwice counts repeated runs of work that must run at most once.
	overruns int
	ranTwice int
}

// zone is one availability zone.
type zone struct {
	name       string
	servers    map[string]*server
	serverList []model.BackendServer
	entries    []*entry
	// load is the last published load level, which the other zones use.
	load float64
}

// server is a fake backend server.
type server struct {
	inFlight   int
	slowFactor float64
	failing    bool
	joinedAt   time.Duration
}

// keyState is the state of one idempotency key in the fake store.
type keyState struct {
	done    bool
	runs    int
	waiting []*request
}

// entry is an entry instance, which uses the product's packages for its decisions.
type entry struct {
	id         string
	zone       *zone
	queue      *admission.Queue
	table      *routing.Table
	budget     *retry.Budget
	spill      routing.Spill
	members    *slots.Members
	holder     *slots.Holder
	owner      *slots.Owner
	waiting    map[string]*request
	sharing    sharingState
	queueDelay codelState
}

// request is the state of a caller's request.
type request struct {
	arrival
	id        string
	deadline  time.Duration
	tried     []string
	retries   int
	forwarded bool
	handledBy *entry
	running   bool
	ran       bool
	outcome   outcome
}

// outcome is the answer to the caller and its time. The kind is empty until then.
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

func newSimulation(d deployment, p pattern, pol policy, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, pattern: p, policy: pol, random: rand.New(rand.NewPCG(seed, 11)), keys: make(map[string]*keyState),
	}
	sim.now = -warmUpTime
	for z := range d.instances {
		sim.zones = append(sim.zones, sim.newZone(z))
	}
	return sim
}

func (sim *simulation) newZone(index int) *zone {
	z := &zone{name: "zone-" + strconv.Itoa(index), servers: make(map[string]*server)}
	for i := range sim.deployment.servers[index] {
		s := sim.addServer(z, i)
		s.joinedAt = -time.Hour
		if i == 0 && sim.pattern.fault.slowFactor > 0 {
			s.slowFactor = sim.pattern.fault.slowFactor
		}
	}
	ids := make([]string, sim.deployment.instances[index])
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-entry-%d", z.name, i)
	}
	for i, id := range ids {
		z.entries = append(z.entries, sim.newEntry(z, id, uint64(i)))
	}
	return z
}

func (sim *simulation) addServer(z *zone, number int) *server {
	id := fmt.Sprintf("%s-server-%02d", z.name, number)
	s := &server{slowFactor: 1, joinedAt: sim.now}
	z.servers[id] = s
	z.serverList = append(z.serverList, model.BackendServer{
		ID: id, Zone: z.name, Incarnation: 1, Slots: serverSlots, State: model.BackendReady,
	})
	return s
}

func (sim *simulation) newEntry(z *zone, id string, number uint64) *entry {
	now := sim.wallTime()
	members := slots.NewMembers(now)
	e := &entry{
		id: id, zone: z, queue: admission.NewQueue(sim.policy.queue, admission.NewServiceTimes()),
		table: routing.NewTable(sim.routingPolicy(z)), budget: retry.NewBudget(), members: members,
		holder: slots.NewHolder(id, members), owner: slots.NewOwner(members, (number+1)<<32, now),
		waiting: make(map[string]*request),
	}
	if sim.policy.noRetryBudget {
		e.budget = retry.NewUnlimited()
	}
	for _, a := range sim.deployment.accounts {
		limits := admission.Limits{Weight: a.weight}
		if sim.policy.unbounded {
			limits.MaxQueued = 1 << 30
		}
		e.queue.SetLimits(a.name, limits)
	}
	return e
}

// run simulates all arrivals and faults of the pattern.
func (sim *simulation) run(arrivals []arrival) {
	for _, z := range sim.zones {
		for i, e := range z.entries {
			sim.after(time.Duration(i)*7*time.Millisecond, func() { sim.tickEntry(e) })
		}
		sim.after(0, func() { sim.publishLoad(z) })
	}
	for _, a := range arrivals {
		sim.after(a.at-sim.now, func() { sim.arrive(a) })
	}
	sim.scheduleFaults()
	sim.runUntil(loadDuration + drainTime)
}

func (sim *simulation) scheduleFaults() {
	for _, z := range sim.zones {
		sim.after(faultStart-sim.now, func() {
			for i := range sim.pattern.fault.addedCount {
				sim.addServer(z, sim.deployment.servers[0]+i)
			}
			sim.setFailing(z, true)
		})
		sim.after(faultStart+faultDuration-sim.now, func() { sim.setFailing(z, false) })
	}
}

func (sim *simulation) setFailing(z *zone, failing bool) {
	for i := range sim.pattern.fault.failingCount {
		z.servers[z.serverList[i].ID].failing = failing
	}
}

// publishLoad publishes the load of the zone at every loadPublishInterval.
func (sim *simulation) publishLoad(z *zone) {
	sum := 0.0
	for _, e := range z.entries {
		sum += e.queue.Load()
	}
	z.load = sum / float64(len(z.entries))
	sim.after(loadPublishInterval, func() { sim.publishLoad(z) })
}

// tickEntry performs the periodic work of an instance.
func (sim *simulation) tickEntry(e *entry) {
	now := sim.wallTime()
	e.table.Sync(e.zone.serverList, now)
	sim.updateShares(e)
	e.queue.SetCapacity(e.table.Capacity(sim.usableSlots(e)))
	if !sim.policy.noSpill {
		e.spill.Update(e.queue.Load(), sim.otherLoads(e.zone), now)
	}
	sim.dispatchQueued(e)
	sim.after(tickInterval, func() { sim.tickEntry(e) })
}

func (sim *simulation) otherLoads(own *zone) []routing.ZoneLoad {
	var loads []routing.ZoneLoad
	for _, z := range sim.zones {
		if z != own {
			loads = append(loads, routing.ZoneLoad{Zone: z.name, Load: z.load})
		}
	}
	return loads
}

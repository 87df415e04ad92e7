package requestload

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// kind describes one kind of request of a deployment.
type kind struct {
	name string
	// share is the proportion of all requests that are of this kind.
	share       float64
	meanService time.Duration
	deadline    time.Duration
	priority    int
	// keyed requests are not idempotent and carry an idempotency key.
	keyed      bool
	idempotent bool
}

// account describes one client account of a deployment.
type account struct {
	name   string
	weight int
	// share is the proportion of all requests that are of this account.
	share float64
}

// deployment describes the size and the request mix of a user's deployment.
type deployment struct {
	name string
	// instances and servers are counts for each availability zone.
	instances []int
	servers   []int
	kinds     []kind
	accounts  []account
}

const serverSlots = 8

// deployments have the current sizes of the users' deployments. Their request mixes
// are assumptions.
var deployments = []deployment{
	{
		name: "klaverveld", instances: []int{3, 3, 2}, servers: []int{17, 17, 16},
		kinds: []kind{
			{name: "advisory-scan", share: 0.30, meanService: 120 * time.Millisecond, deadline: time.Second, priority: 2, idempotent: true},
			{name: "webhook", share: 0.40, meanService: 40 * time.Millisecond, deadline: 2 * time.Second},
			{name: "lockfile", share: 0.25, meanService: 200 * time.Millisecond, deadline: 4 * time.Second, idempotent: true},
			{name: "open-pull-request", share: 0.05, meanService: 100 * time.Millisecond, deadline: 2 * time.Second, keyed: true},
		},
		accounts: []account{{"retail", 4, 0.5}, {"bank", 2, 0.25}, {"museum", 1, 0.15}, {"school", 1, 0.1}},
	},
	{
		name: "lankapowder", instances: []int{2, 2, 2}, servers: []int{17, 17, 16},
		kinds: []kind{
			{name: "lot-certificate-check", share: 0.35, meanService: 100 * time.Millisecond, deadline: 600 * time.Millisecond, priority: 2, idempotent: true},
			{name: "blend-quote", share: 0.30, meanService: 150 * time.Millisecond, deadline: 3 * time.Second, idempotent: true},
			{name: "spec-match", share: 0.30, meanService: 30 * time.Millisecond, deadline: 4 * time.Second, idempotent: true},
			{name: "tonnage-award", share: 0.05, meanService: 60 * time.Millisecond, deadline: 2 * time.Second, keyed: true},
		},
		accounts: []account{{"north", 2, 0.3}, {"south", 2, 0.3}, {"east", 2, 0.25}, {"west", 1, 0.15}},
	},
}

func (d deployment) slots() int {
	total := 0
	for _, servers := range d.servers {
		total += servers * serverSlots
	}
	return total
}

// meanServiceSeconds returns the mean service time of the mix, in seconds.
func (d deployment) meanServiceSeconds() float64 {
	total := 0.0
	for _, k := range d.kinds {
		total += k.share * k.meanService.Seconds()
	}
	return total
}

// Requests arrive for loadDuration. Only those that arrive from measureFrom until
// measureTo are measured: the queues still fill before that, and requests that
// arrive later would be served when there is no more load.
const (
	loadDuration = 11 * time.Second
	measureFrom  = 4 * time.Second
	measureTo    = 7 * time.Second
)

// pattern is a load pattern. It determines the load, the differences from the
// deployment's mix and the faults.
type pattern struct {
	name string
	// load is the offered service time divided by the total time of all slots.
	load float64
	// modify returns the arrivals of the pattern, given those of the mix.
	modify func(d deployment, random *rand.Rand, arrivals []arrival) []arrival
	// fault is the fault of the backend servers.
	fault fault
	// hotZoneShare is the share of the arrivals that go to the first zone, in
	// addition to its share of the others.
	hotZoneShare float64
	// hotEntryShare is the share of a zone's arrivals that go to its first instance,
	// in addition to its share of the others.
	hotEntryShare float64
}

// fault describes the faults of the backend servers of each zone.
type fault struct {
	// slowFactor multiplies the service time of one server.
	slowFactor float64
	// failingCount servers fail each request after its service time, for
	// faultDuration from faultStart.
	failingCount int
	// failShare is the share of all runs that fail for faultDuration from
	// faultStart, because a dependency of all servers has a fault.
	failShare float64
	// failAccount makes all requests of the second-to-last account fail.
	failAccount bool
	// addedCount servers join at faultStart. They are slower by coldFactor for
	// coldDuration.
	addedCount int
}

const (
	faultStart    = 5 * time.Second
	faultDuration = 2 * time.Second
	coldFactor    = 6
	coldDuration  = 3 * time.Second
)

// arrival is one caller's request.
type arrival struct {
	at      time.Duration
	zone    int
	entry   int
	account string
	kind    kind
	service time.Duration
	// key is set for keyed requests. Requests with the same key must run only once.
	key string
}

// The names of the patterns that policies or tests refer to.
const (
	oneBigAccount  = "one account with most of the load"
	fewHotKeys     = "few hot keys"
	slowServer     = "slow backend server"
	failingServers = "failing backend servers"
	newServers     = "new backend servers"
	failingAccount = "requests of one account fail"
	sharedFault    = "fault shared by all servers"
	unevenEntries  = "uneven entry instances"
	oneHotZone     = "one zone overloaded"
	saturation1    = "saturation at 1"
	saturation15   = "saturation at 1.5"
	saturation3    = "saturation at 3"
)

var patterns = []pattern{
	{name: "burst of small", load: 0.5, modify: burstOfSmall},
	{name: oneBigAccount, load: 0.6, modify: addLargeAccountRequests},
	{name: fewHotKeys, load: 0.6, modify: addHotKeyRequests},
	{name: slowServer, load: 0.7, fault: fault{slowFactor: 10}},
	{name: failingServers, load: 0.85, fault: fault{failingCount: 6}},
	{name: newServers, load: 0.8, fault: fault{addedCount: 4}},
	{name: sharedFault, load: 0.9, fault: fault{failShare: 0.5}},
	{name: failingAccount, load: 0.85, fault: fault{failAccount: true}},
	{name: unevenEntries, load: 0.7, hotEntryShare: 0.7},
	{name: "long among short", load: 0.95, modify: longAmongShort},
	{name: oneHotZone, load: 0.7, hotZoneShare: 0.6},
	{name: saturation1, load: 1},
	{name: saturation15, load: 1.5},
	{name: saturation3, load: 3},
}

// drawArrivals draws the arrivals of a pattern.
func drawArrivals(d deployment, p pattern, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	rate := p.load * float64(d.slots()) / d.meanServiceSeconds()
	var arrivals []arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= loadDuration.Seconds() {
			break
		}
		arrivals = append(arrivals, drawArrival(d, p, random, time.Duration(at*float64(time.Second)), len(arrivals)))
	}
	if p.modify != nil {
		arrivals = p.modify(d, random, arrivals)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

func drawArrival(d deployment, p pattern, random *rand.Rand, at time.Duration, number int) arrival {
	k := d.kinds[drawIndex(random, len(d.kinds), func(i int) float64 { return d.kinds[i].share })]
	a := arrival{at: at, kind: k, service: serviceTime(random, k.meanService)}
	a.account = d.accounts[drawIndex(random, len(d.accounts), func(i int) float64 { return d.accounts[i].share })].name
	a.zone = random.IntN(len(d.instances))
	if random.Float64() < p.hotZoneShare {
		a.zone = 0
	}
	a.entry = random.IntN(d.instances[a.zone])
	if random.Float64() < p.hotEntryShare {
		a.entry = 0
	}
	if k.keyed {
		a.key = "k" + strconv.Itoa(number)
	}
	return a
}

func drawIndex(random *rand.Rand, n int, share func(i int) float64) int {
	remaining := random.Float64()
	for i := range n - 1 {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// serviceTime draws from a log-normal distribution around mean, whose 99th
// percentile is about three times the mean.
func serviceTime(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.6
	factor := math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(mean) * factor)
}

// burstOfSmall adds small requests of one account within 100 ms. Their total work
// occupies all slots for a second.
func burstOfSmall(d deployment, random *rand.Rand, arrivals []arrival) []arrival {
	small := kind{name: "small", meanService: 40 * time.Millisecond, deadline: 4 * time.Second, idempotent: true}
	count := int(float64(d.slots()) / small.meanService.Seconds())
	for range count {
		zone := random.IntN(len(d.instances))
		arrivals = append(arrivals, arrival{
			at: 5*time.Second + time.Duration(random.IntN(int(100*time.Millisecond))), zone: zone,
			entry: random.IntN(d.instances[zone]), account: d.accounts[1].name, kind: small,
			service: serviceTime(random, small.meanService),
		})
	}
	return arrivals
}

// addLargeAccountRequests adds two requests for each arrival. All of them are of the
// last account, which has weight 1, and of the kind with the highest priority.
func addLargeAccountRequests(d deployment, random *rand.Rand, arrivals []arrival) []arrival {
	last := d.accounts[len(d.accounts)-1].name
	for _, a := range slices.Clone(arrivals) {
		for range 2 {
			a.account, a.entry = last, random.IntN(d.instances[a.zone])
			a.kind, a.key = d.kinds[0], ""
			a.service = serviceTime(random, a.kind.meanService)
			arrivals = append(arrivals, a)
		}
	}
	return arrivals
}

// addHotKeyRequests adds a keyed request for each arrival. At any time the added
// requests share three keys, which change every 250 ms.
func addHotKeyRequests(d deployment, random *rand.Rand, arrivals []arrival) []arrival {
	hot := d.kinds[len(d.kinds)-1]
	hot.meanService = 150 * time.Millisecond
	const period = 250 * time.Millisecond
	for _, a := range slices.Clone(arrivals) {
		a.kind = hot
		a.key = "hot" + strconv.Itoa(int(a.at/period)) + "-" + strconv.Itoa(random.IntN(3))
		a.service = hot.meanService
		a.entry = random.IntN(d.instances[a.zone])
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// longAmongShort drops 40% of the requests, to keep the load, and turns one in forty
// of the others into a request that takes 25 times as long as the mean.
func longAmongShort(d deployment, random *rand.Rand, arrivals []arrival) []arrival {
	mean := time.Duration(25 * d.meanServiceSeconds() * float64(time.Second))
	long := kind{name: "long", meanService: mean, deadline: 6 * time.Second, idempotent: true}
	var kept []arrival
	for _, a := range arrivals {
		if random.Float64() < 0.4 {
			continue
		}
		if random.Float64() < 0.025 {
			a.kind, a.key = long, ""
			a.service = serviceTime(random, mean)
		}
		kept = append(kept, a)
	}
	return kept
}

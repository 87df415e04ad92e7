package requestload

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// kind is one sort of request of a deployment.
type kind struct {
	name string
	// share is the part of all requests.
	share    float64
	mean     time.Duration
	deadline time.Duration
	priority int
	// keyed requests are not idempotent and carry an idempotency key.
	keyed      bool
	idempotent bool
}

// account is one client account of a deployment.
type account struct {
	name   string
	weight int
	// share is the part of all requests.
	share float64
}

// deployment is the size and the mix of one of the users.
type deployment struct {
	name string
	// instances and servers are counts for each availability zone.
	instances []int
	servers   []int
	kinds     []kind
	accounts  []account
}

const serverSlots = 8

// deployments are the brief's sizes of today; the mixes are ours.
var deployments = []deployment{
	{
		name: "klaverveld", instances: []int{3, 3, 2}, servers: []int{17, 17, 16},
		kinds: []kind{
			{name: "advisory-scan", share: 0.30, mean: 120 * time.Millisecond, deadline: time.Second, priority: 2, idempotent: true},
			{name: "webhook", share: 0.40, mean: 40 * time.Millisecond, deadline: 2 * time.Second},
			{name: "lockfile", share: 0.25, mean: 200 * time.Millisecond, deadline: 4 * time.Second, idempotent: true},
			{name: "open-pull-request", share: 0.05, mean: 100 * time.Millisecond, deadline: 2 * time.Second, keyed: true},
		},
		accounts: []account{{"retail", 4, 0.5}, {"bank", 2, 0.25}, {"museum", 1, 0.15}, {"school", 1, 0.1}},
	},
	{
		name: "lankapowder", instances: []int{2, 2, 2}, servers: []int{17, 17, 16},
		kinds: []kind{
			{name: "lot-certificate-check", share: 0.35, mean: 100 * time.Millisecond, deadline: 600 * time.Millisecond, priority: 2, idempotent: true},
			{name: "blend-quote", share: 0.30, mean: 150 * time.Millisecond, deadline: 3 * time.Second, idempotent: true},
			{name: "spec-match", share: 0.30, mean: 30 * time.Millisecond, deadline: 4 * time.Second, idempotent: true},
			{name: "tonnage-award", share: 0.05, mean: 60 * time.Millisecond, deadline: 2 * time.Second, keyed: true},
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

// meanService is the mean run time of the mix, in seconds.
func (d deployment) meanService() float64 {
	total := 0.0
	for _, k := range d.kinds {
		total += k.share * k.mean.Seconds()
	}
	return total
}

// Requests arrive for loadTime. Figures are of those that arrive from
// measureFrom until measureTo: before, queues fill; after, they would empty
// into a time without load.
const (
	loadTime    = 11 * time.Second
	measureFrom = 4 * time.Second
	measureTo   = 7 * time.Second
)

// pattern is a load pattern: the load over what the slots can carry, and how it
// differs from the deployment's mix.
type pattern struct {
	name string
	// load is the offered service time over the slots' time.
	load float64
	// change edits the arrivals of the plain mix.
	change func(d deployment, random *rand.Rand, arrivals []arrival) []arrival
	// fault is what the backend servers play.
	fault fault
	// hotZone sends that part of the arrivals to the first zone.
	hotZone float64
	// hotEntry sends that part of a zone's arrivals to its first instance.
	hotEntry float64
}

// fault is what backend servers of each zone play.
type fault struct {
	// slow is the factor of one server.
	slow float64
	// failing servers fail each request after its run time, for failTime from
	// failAt.
	failing int
	// failShare is the part of all runs that fail, for failTime from failAt: what
	// the servers depend on has a fault.
	failShare float64
	// failAccount makes all requests of the last account but one fail.
	failAccount bool
	// fresh servers join at failAt, and are slow by coldFactor for coldTime.
	fresh int
}

const (
	failAt     = 5 * time.Second
	failTime   = 2 * time.Second
	coldFactor = 6
	coldTime   = 3 * time.Second
)

// arrival is one caller's request.
type arrival struct {
	at      time.Duration
	zone    int
	entry   int
	account string
	kind    kind
	service time.Duration
	// key is set for keyed requests; equal keys are one piece of work.
	key string
}

// The patterns that some policies are confined to.
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
	{name: "burst of small", load: 0.5, change: burstOfSmall},
	{name: oneBigAccount, load: 0.6, change: oneAccount},
	{name: fewHotKeys, load: 0.6, change: hotKeys},
	{name: slowServer, load: 0.7, fault: fault{slow: 10}},
	{name: failingServers, load: 0.85, fault: fault{failing: 6}},
	{name: newServers, load: 0.8, fault: fault{fresh: 4}},
	{name: sharedFault, load: 0.9, fault: fault{failShare: 0.5}},
	{name: failingAccount, load: 0.85, fault: fault{failAccount: true}},
	{name: unevenEntries, load: 0.7, hotEntry: 0.7},
	{name: "long among short", load: 0.95, change: longAmongShort},
	{name: oneHotZone, load: 0.7, hotZone: 0.6},
	{name: saturation1, load: 1},
	{name: saturation15, load: 1.5},
	{name: saturation3, load: 3},
}

// arrivalsOf draws the arrivals of a pattern.
func arrivalsOf(d deployment, p pattern, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	rate := p.load * float64(d.slots()) / d.meanService()
	var list []arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= loadTime.Seconds() {
			break
		}
		list = append(list, draw(d, p, random, time.Duration(at*float64(time.Second)), len(list)))
	}
	if p.change != nil {
		list = p.change(d, random, list)
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

func draw(d deployment, p pattern, random *rand.Rand, at time.Duration, number int) arrival {
	k := d.kinds[pickShare(random, len(d.kinds), func(i int) float64 { return d.kinds[i].share })]
	a := arrival{at: at, kind: k, service: serviceTime(random, k.mean)}
	a.account = d.accounts[pickShare(random, len(d.accounts), func(i int) float64 { return d.accounts[i].share })].name
	a.zone = random.IntN(len(d.instances))
	if random.Float64() < p.hotZone {
		a.zone = 0
	}
	a.entry = random.IntN(d.instances[a.zone])
	if random.Float64() < p.hotEntry {
		a.entry = 0
	}
	if k.keyed {
		a.key = "k" + strconv.Itoa(number)
	}
	return a
}

func pickShare(random *rand.Rand, n int, share func(i int) float64) int {
	value := random.Float64()
	for i := range n - 1 {
		if value -= share(i); value < 0 {
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

// burstOfSmall adds, within a moment, the work of a second of all slots in small
// requests of one account.
func burstOfSmall(d deployment, random *rand.Rand, list []arrival) []arrival {
	small := kind{name: "small", mean: 40 * time.Millisecond, deadline: 4 * time.Second, idempotent: true}
	count := int(float64(d.slots()) / small.mean.Seconds())
	for range count {
		zone := random.IntN(len(d.instances))
		list = append(list, arrival{
			at: 5*time.Second + time.Duration(random.IntN(int(100*time.Millisecond))), zone: zone,
			entry: random.IntN(d.instances[zone]), account: d.accounts[1].name, kind: small,
			service: serviceTime(random, small.mean),
		})
	}
	return list
}

// oneAccount makes the last account, of weight 1, send twice as many requests as
// there are in addition, all of the sort that goes first.
func oneAccount(d deployment, random *rand.Rand, list []arrival) []arrival {
	last := d.accounts[len(d.accounts)-1].name
	for _, a := range slices.Clone(list) {
		for range 2 {
			a.account, a.entry = last, random.IntN(d.instances[a.zone])
			a.kind, a.key = d.kinds[0], ""
			a.service = serviceTime(random, a.kind.mean)
			list = append(list, a)
		}
	}
	return list
}

// hotKeys adds as many keyed arrivals again as there are requests, on three
// keys at a time that change every 250 ms.
func hotKeys(d deployment, random *rand.Rand, list []arrival) []arrival {
	hot := d.kinds[len(d.kinds)-1]
	hot.mean = 150 * time.Millisecond
	const period = 250 * time.Millisecond
	for _, a := range slices.Clone(list) {
		a.kind = hot
		a.key = "hot" + strconv.Itoa(int(a.at/period)) + "-" + strconv.Itoa(random.IntN(3))
		a.service = hot.mean
		a.entry = random.IntN(d.instances[a.zone])
		list = append(list, a)
	}
	return list
}

// longAmongShort turns one in forty requests into one that takes 25 times as
// long as the mix, and keeps the load.
func longAmongShort(d deployment, random *rand.Rand, list []arrival) []arrival {
	mean := time.Duration(25 * d.meanService() * float64(time.Second))
	long := kind{name: "long", mean: mean, deadline: 6 * time.Second, idempotent: true}
	var kept []arrival
	for _, a := range list {
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

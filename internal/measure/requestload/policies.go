package requestload

import (
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// sharingMode selects how instances share the slots of a backend server.
type sharingMode int

const (
	// shareByOwner uses package slots, as the product does.
	shareByOwner sharingMode = iota
	// shareFixed gives each instance a fixed, equal share.
	shareFixed
	// shareByDemand has no owner. Each instance computes its share from the demand
	// that its peers last published.
	shareByDemand
)

// policy configures the decisions of a run. The zero value is the product's.
type policy struct {
	name    string
	queue   admission.Policy
	routing routing.Policy
	// choose replaces the product's choice among the backend servers of a zone.
	choose  func(z *zone) routing.Choose
	sharing sharingMode
	// codel sheds by queue delay (CoDel) instead of deadline slack.
	codel bool
	// unbounded removes the queue limits and ignores priorities.
	unbounded bool
	// noRetryBudget, noRetry, noSpill and noCoalescing each disable one mechanism.
	noRetryBudget bool
	noRetry       bool
	noSpill       bool
	noCoalescing  bool
	// patterns names the patterns that are simulated under the policy. If it is
	// empty, all are.
	patterns []string
}

// productPolicy is the name of the policy that the others are compared with.
const productPolicy = "corianderbank"

// fifoQueue is the queue policy of the baselines.
var fifoQueue = admission.Policy{NoFairness: true, NoDeadlineOrder: true, NoShedding: true}

// serverChoicePatterns are the patterns in which the choices among backend servers
// are compared.
var serverChoicePatterns = []string{slowServer, failingServers, newServers, saturation1}

var policies = []policy{
	{name: productPolicy, sharing: shareByOwner},
	{
		name: "round robin", queue: fifoQueue, unbounded: true, sharing: shareFixed, noSpill: true, noRetryBudget: true, noCoalescing: true,
		routing: routing.Policy{NoEjection: true, NoRamp: true},
	},
	{name: "first come first served", queue: fifoQueue, unbounded: true},
	{name: "without fair queue", queue: admission.Policy{NoFairness: true}},
	{name: "without deadline order", queue: admission.Policy{NoDeadlineOrder: true}},
	{name: "without shedding", queue: admission.Policy{NoShedding: true}},
	{name: "shedding by queue delay", queue: admission.Policy{NoShedding: true}, codel: true, patterns: []string{oneHotZone, saturation1, saturation15, saturation3}},
	{name: "without ejection", routing: routing.Policy{NoEjection: true}, patterns: []string{slowServer, failingServers, newServers}},
	{name: "without ramp", routing: routing.Policy{NoRamp: true}, patterns: []string{newServers, failingServers}},
	{name: "choice of two by in flight", choose: powerOfTwoByInFlight, patterns: serverChoicePatterns},
	{name: "choice of two by slowness", choose: powerOfTwoBySlowness, patterns: serverChoicePatterns},
	{name: "choice by probes", choose: leastLoadedByProbe, patterns: serverChoicePatterns},
	{name: "fixed slot shares", sharing: shareFixed, patterns: []string{unevenEntries, slowServer, saturation1, saturation3}},
	{name: "slot shares without owner", sharing: shareByDemand, patterns: []string{unevenEntries, slowServer, saturation1, saturation3}},
	{name: "without retry budget", noRetryBudget: true, patterns: []string{failingServers, sharedFault, failingAccount}},
	{name: "without retries", noRetry: true, patterns: []string{failingServers, sharedFault, failingAccount}},
	{name: "without spill", noSpill: true, patterns: []string{oneHotZone, saturation1, saturation3}},
	{name: "without coalescing", noCoalescing: true, patterns: []string{fewHotKeys}},
}

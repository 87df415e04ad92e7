package requestload

import (
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// sharingMode is how instances share the slots of a backend server.
type sharingMode int

const (
	// shareByOwner is package slots.
	shareByOwner sharingMode = iota
	// shareFixed gives each instance an equal part for good.
	shareFixed
	// shareByDemand moves the parts by what peers said lately, without an owner.
	shareByDemand
)

// policy is one way to decide.
type policy struct {
	name    string
	queue   admission.Policy
	routing routing.Policy
	// choose replaces the choice among the backend servers of a zone.
	choose  func(z *zone) routing.Choose
	sharing sharingMode
	// codel sheds by queue delay in place of deadline slack.
	codel bool
	// unbounded lifts the limits of the queues.
	unbounded bool
	// noRetryBudget, noRetry, noSpill and noCoalescing switch these off.
	noRetryBudget bool
	noRetry       bool
	noSpill       bool
	noCoalescing  bool
	// only names the patterns that the policy is played in; empty for all.
	only []string
}

// product is the name of the policy that the others are compared with.
const product = "corianderbank"

// byArrival is the queue of the baselines.
var byArrival = admission.Policy{NoFairness: true, NoDeadlineOrder: true, NoShedding: true}

// choicePatterns are those in which backend servers differ.
var choicePatterns = []string{slowServer, failingServers, newServers, saturation1}

var policies = []policy{
	{name: product, sharing: shareByOwner},
	{
		name: "round robin", queue: byArrival, unbounded: true, sharing: shareFixed, noSpill: true, noRetryBudget: true, noCoalescing: true,
		routing: routing.Policy{NoEjection: true, NoRamp: true},
	},
	{name: "first come first served", queue: byArrival, unbounded: true},
	{name: "without fair queue", queue: admission.Policy{NoFairness: true}},
	{name: "without deadline order", queue: admission.Policy{NoDeadlineOrder: true}},
	{name: "without shedding", queue: admission.Policy{NoShedding: true}},
	{name: "shedding by queue delay", queue: admission.Policy{NoShedding: true}, codel: true, only: []string{oneHotZone, saturation1, saturation15, saturation3}},
	{name: "without ejection", routing: routing.Policy{NoEjection: true}, only: []string{slowServer, failingServers, newServers}},
	{name: "without ramp", routing: routing.Policy{NoRamp: true}, only: []string{newServers, failingServers}},
	{name: "choice of two by in flight", choose: chooseOfTwo, only: choicePatterns},
	{name: "choice of two by slowness", choose: chooseWeighed, only: choicePatterns},
	{name: "choice by probes", choose: chooseProbed, only: choicePatterns},
	{name: "fixed slot shares", sharing: shareFixed, only: []string{unevenEntries, slowServer, saturation1, saturation3}},
	{name: "slot shares without owner", sharing: shareByDemand, only: []string{unevenEntries, slowServer, saturation1, saturation3}},
	{name: "without retry budget", noRetryBudget: true, only: []string{failingServers, sharedFault, failingAccount}},
	{name: "without retries", noRetry: true, only: []string{failingServers, sharedFault, failingAccount}},
	{name: "without spill", noSpill: true, only: []string{oneHotZone, saturation1, saturation3}},
	{name: "without coalescing", noCoalescing: true, only: []string{fewHotKeys}},
}

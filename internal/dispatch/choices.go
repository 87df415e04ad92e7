package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Choice names a decision that has several policies. A measurement selects the policy to use;
// otherwise defaultPolicies applies.
type Choice string

// The choices.
const (
	// ChoicePlace orders the workers that can run a task.
	ChoicePlace Choice = "place"
	// ChoiceSpread selects the workers of a gang that is not bound to one rack.
	ChoiceSpread Choice = "spread"
	// ChoiceOrder orders pending steps of the same rank.
	ChoiceOrder Choice = "order"
	// ChoiceVictims orders the runs that may be preempted on a worker.
	ChoiceVictims Choice = "victims"
	// ChoiceSpeed orders workers of unequal speed.
	ChoiceSpeed Choice = "speed"
	// ChoiceCrashSuspects orders the workers for a task whose earlier workers crashed.
	ChoiceCrashSuspects Choice = "crash_suspects"
	// ChoiceSoundness decides which workers get no new work after failed runs.
	ChoiceSoundness Choice = "soundness"
)

// placePolicy compares two workers for a task of a step; the better one sorts first.
type placePolicy func(c *Core, u *pendingStep, a, b *workerCapacity) int

var placePolicies = map[string]placePolicy{
	"fullest":   func(_ *Core, u *pendingStep, a, b *workerCapacity) int { return compareFullness(u, a, b) },
	"scarcest":  compareScarcest,
	"alignment": compareAlignment,
}

// spreadPolicy selects workers for all tasks of a gang, one entry per task. It returns nil if
// no selection satisfies the policy; the gang is then placed wherever it fits.
type spreadPolicy func(c *Core, u *pendingStep, workers []*workerCapacity, counts []int64) []*workerCapacity

var spreadPolicies = map[string]spreadPolicy{
	"anywhere":       func(*Core, *pendingStep, []*workerCapacity, []int64) []*workerCapacity { return nil },
	"one_zone":       (*Core).inOneZone,
	"fewest_workers": (*Core).onFewestWorkers,
	"fewest_racks":   (*Core).onFewestRacks,
}

// orderPolicy compares two pending steps of the same rank; the one to place first sorts first.
type orderPolicy func(c *Core, a, b *pendingStep) int

var orderPolicies = map[string]orderPolicy{
	"due":   func(_ *Core, a, b *pendingStep) int { return a.dueBy.Compare(b.dueBy) },
	"slack": func(_ *Core, a, b *pendingStep) int { return a.latestStart().Compare(b.latestStart()) },
	"worth": compareValue,
}

// victimPolicy compares two preemptible runs; the one to stop first sorts first.
type victimPolicy func(c *Core, a, b *run) int

var victimPolicies = map[string]victimPolicy{
	"least_work":  compareWorkLost,
	"most_room":   func(_ *Core, a, b *run) int { return cmp.Compare(b.need.Accelerators, a.need.Accelerators) },
	"not_twice":   compareInterruptions,
	"oldest_last": func(_ *Core, a, b *run) int { return b.since.Compare(a.since) },
}

// crashSuspectPolicy compares two workers for a step with tasks whose earlier workers crashed.
// It takes precedence over the other comparisons.
type crashSuspectPolicy func(c *Core, u *pendingStep, a, b *workerCapacity) int

var crashSuspectPolicies = map[string]crashSuspectPolicy{
	"anywhere": func(*Core, *pendingStep, *workerCapacity, *workerCapacity) int { return 0 },
	"apart":    compareApart,
	"alone":    compareAlone,
}

// soundnessPolicies holds the policies for workers with failed runs, and whether they weigh all
// evidence or count consecutive failures.
var soundnessPolicies = map[string]bool{"consecutive": false, "evidence": true}

// defaultPolicies are the policies used where a tuning selects none.
var defaultPolicies = map[Choice]string{
	ChoicePlace: "fullest", ChoiceSpread: "anywhere", ChoiceOrder: "due", ChoiceVictims: "least_work",
	ChoiceSpeed: "slack_bands", ChoiceCrashSuspects: "alone", ChoiceSoundness: "evidence",
}

// policiesOf returns the sorted policy names of a choice.
func policiesOf(choice Choice) []string {
	switch choice {
	case ChoicePlace:
		return slices.Sorted(maps.Keys(placePolicies))
	case ChoiceSpread:
		return slices.Sorted(maps.Keys(spreadPolicies))
	case ChoiceOrder:
		return slices.Sorted(maps.Keys(orderPolicies))
	case ChoiceVictims:
		return slices.Sorted(maps.Keys(victimPolicies))
	case ChoiceSpeed:
		return slices.Sorted(maps.Keys(speedPolicies))
	case ChoiceCrashSuspects:
		return slices.Sorted(maps.Keys(crashSuspectPolicies))
	case ChoiceSoundness:
		return slices.Sorted(maps.Keys(soundnessPolicies))
	}
	return nil
}

// policies holds the policies in use.
type policies struct {
	place         placePolicy
	spread        spreadPolicy
	order         orderPolicy
	victims       victimPolicy
	speed         speedPolicy
	crashSuspects crashSuspectPolicy
	// weighsEvidence is set if workers with failed runs are judged by all evidence.
	weighsEvidence bool
}

func newPolicies(chosen map[Choice]string) policies {
	policy := func(choice Choice) string { return cmp.Or(chosen[choice], defaultPolicies[choice]) }
	return policies{
		place:         placePolicies[policy(ChoicePlace)],
		spread:        spreadPolicies[policy(ChoiceSpread)],
		order:         orderPolicies[policy(ChoiceOrder)],
		victims:       victimPolicies[policy(ChoiceVictims)],
		speed:         speedPolicies[policy(ChoiceSpeed)],
		crashSuspects: crashSuspectPolicies[policy(ChoiceCrashSuspects)],

		weighsEvidence: soundnessPolicies[policy(ChoiceSoundness)],
	}
}

// checkChoices returns an error if a tuning names an unknown choice or policy.
func checkChoices(chosen map[Choice]string) error {
	for choice, policy := range chosen {
		if !slices.Contains(policiesOf(choice), policy) {
			return fmt.Errorf("unknown policy %q of choice %q, want one of %v", policy, choice, policiesOf(choice))
		}
	}
	return nil
}

// compareScarcest sorts the worker first that has the least left of the pool's scarcest
// resource, measured as the free share of the total.
func compareScarcest(c *Core, u *pendingStep, a, b *workerCapacity) int {
	if cpuFirst := c.scarcestIsCPU(u.queue.Pool); cpuFirst {
		return cmp.Or(cmp.Compare(a.free.MilliCPU, b.free.MilliCPU), cmp.Compare(a.free.Accelerators, b.free.Accelerators))
	}
	return compareFullness(u, a, b)
}

// scarcestIsCPU reports whether a smaller share of a pool's processors is free than of its
// accelerators.
func (c *Core) scarcestIsCPU(pool string) bool {
	var all, free workload.Resources
	for _, r := range c.pools[pool] {
		all, free = all.Add(r.Capacity), free.Add(r.free)
	}
	return all.MilliCPU > 0 && all.Accelerators > 0 &&
		float64(free.MilliCPU)/float64(all.MilliCPU) < float64(free.Accelerators)/float64(all.Accelerators)
}

// compareAlignment sorts the worker first whose free capacity best matches the proportions of a
// task's needs, so that neither resource is stranded.
func compareAlignment(_ *Core, u *pendingStep, a, b *workerCapacity) int {
	return cmp.Or(cmp.Compare(imbalance(u, a), imbalance(u, b)), compareFullness(u, a, b))
}

// imbalance returns the difference, in thousandths, between the shares of processors and of
// accelerators that a worker has left after a task.
func imbalance(u *pendingStep, r *workerCapacity) int64 {
	left := r.free.Sub(u.step.spec.CountedResources())
	cpu := 1000 * left.MilliCPU / max(r.Capacity.MilliCPU, 1)
	accelerators := 1000 * left.Accelerators / max(r.Capacity.Accelerators, 1)
	return max(cpu-accelerators, accelerators-cpu)
}

// inOneZone places a gang in the availability zone that can hold it and has the least capacity
// left.
func (c *Core) inOneZone(u *pendingStep, workers []*workerCapacity, counts []int64) []*workerCapacity {
	return c.inOneGroup(u, workers, counts, func(r *workerCapacity) string { return r.Zone })
}

// onFewestRacks places a gang in one rack if one can hold it, otherwise in one zone.
func (c *Core) onFewestRacks(u *pendingStep, workers []*workerCapacity, counts []int64) []*workerCapacity {
	if places := c.inOneGroup(u, workers, counts, func(r *workerCapacity) string { return r.Rack }); places != nil {
		return places
	}
	return c.inOneZone(u, workers, counts)
}

func (c *Core) inOneGroup(u *pendingStep, workers []*workerCapacity, counts []int64, group func(*workerCapacity) string) []*workerCapacity {
	sums := make(map[string]int64)
	for i, r := range workers {
		sums[group(r)] += counts[i]
	}
	best := ""
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if sums[name] >= int64(len(u.tasks)) && (best == "" || sums[name] < sums[best]) {
			best = name
		}
	}
	if best == "" {
		return nil
	}
	return c.pick(u, workers, counts, len(u.tasks), func(r *workerCapacity) bool { return group(r) == best })
}

// onFewestWorkers places a gang on the workers that hold most of it, so that fewer worker
// failures interrupt it.
func (c *Core) onFewestWorkers(u *pendingStep, workers []*workerCapacity, counts []int64) []*workerCapacity {
	order := make([]int, 0, len(workers))
	total := int64(0)
	for i := range workers {
		if counts[i] > 0 {
			order = append(order, i)
			total += counts[i]
		}
	}
	if total < int64(len(u.tasks)) {
		return nil
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), compareFullness(u, workers[a], workers[b]), cmp.Compare(a, b))
	})
	return takeSlots(workers, counts, order, len(u.tasks))
}

// latestStart returns the latest time at which the step can start and still be on time.
func (u *pendingStep) latestStart() time.Time { return u.dueBy.Add(-u.duration) }

// compareValue sorts the step first that uses the fewest core-seconds.
func compareValue(_ *Core, a, b *pendingStep) int {
	return cmp.Or(cmp.Compare(a.coreSeconds(), b.coreSeconds()), a.dueBy.Compare(b.dueBy))
}

// coreSeconds returns the resources that a step uses over its run time, in core-seconds.
func (u *pendingStep) coreSeconds() float64 {
	need := u.step.spec.Need
	cores := float64(need.MilliCPU)/1000 + acceleratorCores*float64(need.Accelerators)
	return cores * float64(len(u.tasks)) * u.duration.Seconds()
}

// compareWorkLost sorts the run first that loses the least work per accelerator it frees.
func compareWorkLost(c *Core, a, b *run) int {
	return cmp.Compare(c.workLost(a)/float64(max(a.need.Accelerators, 1)), c.workLost(b)/float64(max(b.need.Accelerators, 1)))
}

// compareInterruptions sorts runs of jobs that have already been preempted or interrupted after
// all others.
func compareInterruptions(c *Core, a, b *run) int {
	return cmp.Or(cmp.Compare(min(a.task.step.job.interruptions, 1), min(b.task.step.job.interruptions, 1)), compareWorkLost(c, a, b))
}

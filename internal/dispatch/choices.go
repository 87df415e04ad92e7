package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Choice names a decision that can be taken in several ways. Each way is a small function;
// a measurement names the one to play, and defaultWays has those in force otherwise.
type Choice string

// The choices, and their ways.
const (
	// ChoicePlace orders the workers that can take a task.
	ChoicePlace Choice = "place"
	// ChoiceSpread says over which workers a gang may lie that belongs on no rack.
	ChoiceSpread Choice = "spread"
	// ChoiceOrder orders pending steps of one rank.
	ChoiceOrder Choice = "order"
	// ChoiceVictims orders the runs that may be stopped on a worker.
	ChoiceVictims Choice = "victims"
	// ChoiceCrashSuspects orders the workers that can take a task under which others went down.
	ChoiceCrashSuspects Choice = "crash_suspects"
)

// A placeWay orders two workers for a task of a step: the better one first.
type placeWay func(c *Core, u *pendingStep, a, b *room) int

var placeWays = map[string]placeWay{
	"fullest":   func(_ *Core, u *pendingStep, a, b *room) int { return compareFullness(u, a, b) },
	"scarcest":  compareScarcest,
	"alignment": compareAlignment,
}

// A spreadWay finds rooms for all tasks of a gang, one entry a task; nil if its workers
// lie in no such way, and the gang goes wherever it fits.
type spreadWay func(c *Core, u *pendingStep, rooms []*room, counts []int64) []*room

var spreadWays = map[string]spreadWay{
	"anywhere":       func(*Core, *pendingStep, []*room, []int64) []*room { return nil },
	"one_zone":       (*Core).inOneZone,
	"fewest_workers": (*Core).onFewestWorkers,
	"fewest_racks":   (*Core).onFewestRacks,
}

// An orderWay orders two pending steps of one rank: the one to place first first.
type orderWay func(c *Core, a, b *pendingStep) int

var orderWays = map[string]orderWay{
	"due":   func(_ *Core, a, b *pendingStep) int { return a.dueBy.Compare(b.dueBy) },
	"slack": func(_ *Core, a, b *pendingStep) int { return a.latestStart().Compare(b.latestStart()) },
	"worth": compareWorth,
}

// A victimWay orders two runs that may be stopped: the one to stop first first.
type victimWay func(c *Core, a, b *run) int

var victimWays = map[string]victimWay{
	"least_work":  compareWorkLost,
	"most_room":   func(_ *Core, a, b *run) int { return cmp.Compare(b.need.Accelerators, a.need.Accelerators) },
	"not_twice":   compareBroken,
	"oldest_last": func(_ *Core, a, b *run) int { return b.since.Compare(a.since) },
}

// A crashSuspectWay orders two workers for a step with tasks under which workers went down,
// before anything else does.
type crashSuspectWay func(c *Core, u *pendingStep, a, b *room) int

var crashSuspectWays = map[string]crashSuspectWay{
	"anywhere": func(*Core, *pendingStep, *room, *room) int { return 0 },
	"apart":    compareApart,
	"alone":    compareAlone,
}

// defaultWays are the ways in force where a tuning names none.
var defaultWays = map[Choice]string{
	ChoicePlace: "fullest", ChoiceSpread: "anywhere", ChoiceOrder: "due", ChoiceVictims: "least_work",
	ChoiceCrashSuspects: "alone",
}

// waysOf lists the ways of a choice, in order.
func waysOf(choice Choice) []string {
	switch choice {
	case ChoicePlace:
		return slices.Sorted(maps.Keys(placeWays))
	case ChoiceSpread:
		return slices.Sorted(maps.Keys(spreadWays))
	case ChoiceOrder:
		return slices.Sorted(maps.Keys(orderWays))
	case ChoiceVictims:
		return slices.Sorted(maps.Keys(victimWays))
	case ChoiceCrashSuspects:
		return slices.Sorted(maps.Keys(crashSuspectWays))
	}
	return nil
}

// ways are the ways in force.
type ways struct {
	place         placeWay
	spread        spreadWay
	order         orderWay
	victims       victimWay
	crashSuspects crashSuspectWay
}

func newWays(chosen map[Choice]string) ways {
	way := func(choice Choice) string { return cmp.Or(chosen[choice], defaultWays[choice]) }
	return ways{
		place:         placeWays[way(ChoicePlace)],
		spread:        spreadWays[way(ChoiceSpread)],
		order:         orderWays[way(ChoiceOrder)],
		victims:       victimWays[way(ChoiceVictims)],
		crashSuspects: crashSuspectWays[way(ChoiceCrashSuspects)],
	}
}

// checkChoices says which choice or way of a tuning there is not.
func checkChoices(chosen map[Choice]string) error {
	for choice, way := range chosen {
		if !slices.Contains(waysOf(choice), way) {
			return fmt.Errorf("no way %q of %q: %v", way, choice, waysOf(choice))
		}
	}
	return nil
}

// compareScarcest puts the worker first that is left with the least of the resource that
// is scarcest in the pool, as a share of what there is.
func compareScarcest(c *Core, u *pendingStep, a, b *room) int {
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
		all, free = all.Add(r.Room), free.Add(r.free)
	}
	return all.MilliCPU > 0 && all.Accelerators > 0 &&
		float64(free.MilliCPU)/float64(all.MilliCPU) < float64(free.Accelerators)/float64(all.Accelerators)
}

// compareAlignment puts the worker first whose free room has the proportions of what a
// task needs, so that neither resource is left without the other.
func compareAlignment(_ *Core, u *pendingStep, a, b *room) int {
	return cmp.Or(cmp.Compare(leftover(u, a), leftover(u, b)), compareFullness(u, a, b))
}

// leftover is how far the shares of processors and of accelerators differ that a worker
// has left after a task.
func leftover(u *pendingStep, r *room) int64 {
	left := r.free.Sub(u.step.spec.Counted())
	cpu := 1000 * left.MilliCPU / max(r.Room.MilliCPU, 1)
	accelerators := 1000 * left.Accelerators / max(r.Room.Accelerators, 1)
	return max(cpu-accelerators, accelerators-cpu)
}

// inOneZone keeps a gang in the availability zone that can take it and is left with the
// least room.
func (c *Core) inOneZone(u *pendingStep, rooms []*room, counts []int64) []*room {
	return c.inOneGroup(u, rooms, counts, func(r *room) string { return r.Zone })
}

// onFewestRacks keeps a gang in one rack if one can take it, else in one zone.
func (c *Core) onFewestRacks(u *pendingStep, rooms []*room, counts []int64) []*room {
	if places := c.inOneGroup(u, rooms, counts, func(r *room) string { return r.Rack }); places != nil {
		return places
	}
	return c.inOneZone(u, rooms, counts)
}

func (c *Core) inOneGroup(u *pendingStep, rooms []*room, counts []int64, group func(*room) string) []*room {
	sums := make(map[string]int64)
	for i, r := range rooms {
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
	return c.pick(u, rooms, counts, len(u.tasks), func(r *room) bool { return group(r) == best })
}

// onFewestWorkers puts a gang on the workers that take most of it: fewer workers whose
// loss breaks it.
func (c *Core) onFewestWorkers(u *pendingStep, rooms []*room, counts []int64) []*room {
	order := make([]int, 0, len(rooms))
	total := int64(0)
	for i := range rooms {
		if counts[i] > 0 {
			order = append(order, i)
			total += counts[i]
		}
	}
	if total < int64(len(u.tasks)) {
		return nil
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), compareFullness(u, rooms[a], rooms[b]), cmp.Compare(a, b))
	})
	return takeSlots(rooms, counts, order, len(u.tasks))
}

// latestStart is when a step has to start to be on time.
func (u *pendingStep) latestStart() time.Time { return u.dueBy.Add(-u.length) }

// compareWorth puts the step first that needs the least of the deployment.
func compareWorth(_ *Core, a, b *pendingStep) int {
	return cmp.Or(cmp.Compare(a.occupies(), b.occupies()), a.dueBy.Compare(b.dueBy))
}

// occupies is what a step takes of a deployment, in core-seconds.
func (u *pendingStep) occupies() float64 {
	need := u.step.spec.Need
	cores := float64(need.MilliCPU)/1000 + acceleratorCores*float64(need.Accelerators)
	return cores * float64(len(u.tasks)) * u.length.Seconds()
}

// compareWorkLost puts the run first that loses the least work for the accelerators it
// gives back.
func compareWorkLost(c *Core, a, b *run) int {
	return cmp.Compare(c.workLost(a)/float64(max(a.need.Accelerators, 1)), c.workLost(b)/float64(max(b.need.Accelerators, 1)))
}

// compareBroken leaves runs of jobs that were stopped or broken before for last.
func compareBroken(c *Core, a, b *run) int {
	return cmp.Or(cmp.Compare(min(a.task.step.job.broken, 1), min(b.task.step.job.broken, 1)), compareWorkLost(c, a, b))
}

package invariants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// gangCase is a set of faults. The plain numbers count the faults of one kind in
// a history.
type gangCase struct {
	lossPercent       int
	workerKills       int
	placerKills       int
	placerFreezes     int
	workerPartitions  int
	storeOutages      int
	storeLosesAnswers bool
	cancels           int
}

var gangCases = map[string]gangCase{
	"nothing fails":                                 {},
	"answers of workers are lost":                   {lossPercent: 10},
	"a worker dies":                                 {workerKills: 1},
	"workers die repeatedly":                        {workerKills: 6},
	"a placer dies":                                 {placerKills: 1},
	"placers die twice":                             {placerKills: 2},
	"a placer freezes past its lease":               {placerFreezes: 1},
	"placers freeze twice and a worker dies":        {placerFreezes: 2, workerKills: 1},
	"a worker is cut off from a placer":             {workerPartitions: 2},
	"the store is unavailable":                      {storeOutages: 2},
	"the store loses answers":                       {storeLosesAnswers: true},
	"many cancellations":                            {cancels: 8},
	"a placer dies while the store loses answers":   {placerKills: 2, storeLosesAnswers: true},
	"everything at once":                            {lossPercent: 5, workerKills: 2, placerKills: 2, placerFreezes: 1, workerPartitions: 2, storeOutages: 1, storeLosesAnswers: true, cancels: 3},
	"everything at once, at higher rates":           {lossPercent: 10, workerKills: 5, placerKills: 4, placerFreezes: 3, workerPartitions: 4, storeOutages: 2, storeLosesAnswers: true, cancels: 6},
	"cancellations, dying workers and lost answers": {lossPercent: 8, workerKills: 3, cancels: 8},
}

// The lengths of the phases of a history, its sampling interval and its number
// of jobs.
const (
	gangFaultTime      = 3 * time.Minute
	gangFaultFreeTime  = 4 * time.Minute
	gangSampleInterval = 100 * time.Millisecond
	gangJobs           = 14
)

// TestGangRunsWholeOrNotAtAll injects faults at random times. It checks that no
// gang runs with a part missing, that work that is not idempotent runs once,
// that jobs that ended as not_run did not run, and that every accepted job
// ends.
func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	for name, faults := range gangCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range soakSeeds(2) {
				violations := simulateGangs(t, seed, faults, plantedNone)
				assert.Assert(t, len(violations) == 0, "seed %d: %s\nrun it again: SOAK_FIRST=%d SOAK_SEEDS=1 go test ./test/invariants -run '%s'", seed, strings.Join(violations, "\n"), seed, t.Name())
			}
		})
	}
}

// gangPinnedSeeds are seeds that once showed a violation, by their case.
var gangPinnedSeeds = map[string][]uint64{
	"a placer freezes past its lease":               {2},
	"a placer dies while the store loses answers":   {1, 2},
	"placers die twice":                             {17},
	"everything at once":                            {2, 90},
	"everything at once, at higher rates":           {0, 126, 443},
	"nothing fails":                                 {185},
	"cancellations, dying workers and lost answers": {363},
}

// TestGangPinnedSeeds runs the histories of gangPinnedSeeds.
func TestGangPinnedSeeds(t *testing.T) {
	for name, seeds := range gangPinnedSeeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds {
				violations := simulateGangs(t, seed, gangCases[name], plantedNone)
				assert.Assert(t, len(violations) == 0, "seed %d: %s", seed, strings.Join(violations, "\n"))
			}
		})
	}
}

// TestGangChecksCatchPlantedFaults verifies that the checks above detect a
// placer that does not detect lost parts, and one that treats a lost answer as
// a refusal.
func TestGangChecksCatchPlantedFaults(t *testing.T) {
	cases := map[string]struct {
		planted plantedFault
		faults  gangCase
	}{
		"a placer that does not detect lost parts":        {plantedHiddenLoss, gangCase{workerKills: 6}},
		"a placer that treats a lost answer as a refusal": {plantedFalseRefusal, gangCase{lossPercent: 30}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := 0
			for seed := range uint64(10) {
				if len(simulateGangs(t, seed, test.faults, test.planted)) > 0 {
					caught++
				}
			}
			assert.Assert(t, caught > 0)
			t.Logf("caught in %d of 10 histories", caught)
		})
	}
}

func simulateGangs(t *testing.T, seed uint64, faults gangCase, planted plantedFault) []string {
	t.Helper()
	var violations []string
	playGangs(t, seed, faults, planted, func(t *testing.T, h *gangHistory) { violations = h.check(t) })
	return violations
}

// playGangs plays one history and passes it to inspect at its end.
func playGangs(t *testing.T, seed uint64, faults gangCase, planted plantedFault, inspect func(*testing.T, *gangHistory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(seed, 2, 4)
		w.lossPercent, w.planted = faults.lossPercent, planted
		history := &gangHistory{world: w, monitor: newGangMonitor(w), random: rand.New(rand.NewPCG(seed, 2)), draws: newKeyedDraws(seed)}
		w.startPlacer("i-1")
		w.startPlacer("i-2")
		time.Sleep(time.Second)
		history.scheduleFaults(faults)
		history.run(gangFaultTime)
		history.heal()
		history.run(gangFaultFreeTime)
		w.stopAll()
		inspect(t, history)
	})
}

// traceGangs plays one history and describes every start of a task and the outcome
// of every job.
func traceGangs(t *testing.T, seed uint64, faults gangCase) string {
	t.Helper()
	var lines []string
	playGangs(t, seed, faults, plantedNone, func(t *testing.T, h *gangHistory) {
		records, err := gangRecords(h.world, h.ids)
		assert.NilError(t, err)
		for _, start := range h.world.starts() {
			lines = append(lines, fmt.Sprintf("%+v", start))
		}
		for _, record := range records {
			lines = append(lines, fmt.Sprintf("%s %s attempt %d, started %s", record.ID, record.Phase, record.Attempt, record.StartedAt))
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// gangHistory is one history, determined by its seed.
type gangHistory struct {
	world   *gangWorld
	monitor *gangMonitor
	// random is drawn from while the faults are scheduled, draws while they happen.
	random  *rand.Rand
	draws   *keyedDraws
	ids     []string
	pending []gangEvent
}

// gangEvent is an action at a time since the start of the phase with faults.
type gangEvent struct {
	at     time.Duration
	action func()
}

func (h *gangHistory) scheduleFaults(faults gangCase) {
	for i := range gangJobs {
		h.scheduleOnce(fmt.Sprintf("submit %d", i), func(random *rand.Rand) { h.submit(i, random) })
	}
	h.scheduleTimes("worker kill", faults.workerKills, func(random *rand.Rand) { h.world.replaceWorker(h.anyWorker(random)) })
	h.scheduleTimes("placer kill", faults.placerKills, h.restartPlacer)
	h.scheduleTimes("placer freeze", faults.placerFreezes, h.freeze)
	h.scheduleTimes("worker partition", faults.workerPartitions, h.partitionWorker)
	h.scheduleTimes("store outage", faults.storeOutages, func(*rand.Rand) { h.stopStore() })
	h.scheduleTimes("cancel", faults.cancels, h.cancelJob)
	if faults.storeLosesAnswers {
		h.world.platform.SetFault(h.drawStoreFault)
	}
}

func (h *gangHistory) scheduleOnce(name string, action func(*rand.Rand)) {
	random := h.draws.next(name)
	h.pending = append(h.pending, gangEvent{time.Duration(h.random.IntN(int(gangFaultTime))), func() { action(random) }})
}

func (h *gangHistory) scheduleTimes(name string, times int, action func(*rand.Rand)) {
	for range times {
		h.scheduleOnce(name, action)
	}
}

func (h *gangHistory) anyWorker(random *rand.Rand) string {
	return h.world.workerIDs[random.IntN(len(h.world.workerIDs))]
}

func (h *gangHistory) anyInstance(random *rand.Rand) string {
	return fmt.Sprintf("i-%d", 1+random.IntN(2))
}

// run advances the virtual time, starts each event at its own time and samples
// the workers.
func (h *gangHistory) run(length time.Duration) {
	start := time.Now()
	for time.Since(start) < length {
		elapsed := time.Since(start)
		var later []gangEvent
		for _, event := range h.pending {
			if wait := event.at - elapsed; wait < gangSampleInterval {
				time.AfterFunc(wait, event.action)
			} else {
				later = append(later, event)
			}
		}
		h.pending = later
		time.Sleep(gangSampleInterval)
		synctest.Wait()
		h.monitor.sample(time.Now())
	}
}

// submit draws a job and submits it until it is accepted, at most 40 times.
func (h *gangHistory) submit(i int, random *rand.Rand) {
	shape := api.Shape{Tasks: 1 + random.IntN(4), AcceleratorsPerTask: 1 << random.IntN(4), SameRack: random.IntN(2) == 0}
	job := api.JobSubmission{
		Account: []string{"acme", "orbit"}[random.IntN(2)], Kind: "train", Shape: shape,
		Idempotent: random.IntN(2) == 0, Checkpointable: random.IntN(3) == 0, DeclaredRunS: 20,
		IdempotencyKey: fmt.Sprintf("job-%d", i),
		Payload:        gangPayload(time.Duration(1+random.IntN(40))*time.Second, random.IntN(8) == 0),
	}
	for range 40 {
		if id := h.world.submit(job); id != "" {
			h.world.mu.Lock()
			h.ids = append(h.ids, id)
			h.monitor.shapes[id] = shape
			h.world.mu.Unlock()
			return
		}
		time.Sleep(3 * time.Second)
	}
}

func (h *gangHistory) restartPlacer(random *rand.Rand) {
	instance := h.anyInstance(random)
	h.world.killPlacer(instance)
	time.Sleep(3 * time.Second)
	h.world.startPlacer(instance)
}

func (h *gangHistory) freeze(random *rand.Rand) {
	instance := h.anyInstance(random)
	h.world.freezePlacer(instance)
	time.Sleep(5*time.Second + time.Duration(random.IntN(20))*time.Second)
	h.world.thawPlacer(instance)
}

func (h *gangHistory) partitionWorker(random *rand.Rand) {
	link := [2]string{h.anyInstance(random), h.anyWorker(random)}
	h.world.mu.Lock()
	h.world.partitioned[link] = true
	h.world.mu.Unlock()
	time.Sleep(20 * time.Second)
	h.world.mu.Lock()
	delete(h.world.partitioned, link)
	h.world.mu.Unlock()
}

func (h *gangHistory) stopStore() {
	h.world.platform.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	time.Sleep(20 * time.Second)
	h.world.platform.SetFault(nil)
}

// drawStoreFault loses one answer in ten after the write, and one call in ten
// before it.
func (h *gangHistory) drawStoreFault(call fake.Call) fake.Fault {
	switch h.draws.next(call.Caller + " " + describeCall(call)).IntN(10) {
	case 0:
		return fake.Fault{LoseAnswer: true}
	case 1:
		return fake.Fault{LoseRequest: true}
	}
	return fake.Fault{}
}

func (h *gangHistory) cancelJob(random *rand.Rand) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if len(h.ids) == 0 {
		return
	}
	id := h.ids[random.IntN(len(h.ids))]
	for _, running := range h.world.placers {
		if running.placer.Epoch() > 0 && running.thaw == nil {
			go func() { _, _ = running.placer.Cancel(context.Background(), id) }()
		}
	}
}

// describeCall names a call to the platform by what it does.
func describeCall(call fake.Call) string {
	text := fmt.Sprint(call.Op, " ", call.Purpose)
	for _, op := range call.Tx.Ops {
		text += fmt.Sprint(" ", op.Ref)
	}
	return text
}

// heal ends all faults. Events that are still pending start now.
func (h *gangHistory) heal() {
	for _, event := range h.pending {
		go event.action()
	}
	h.pending = nil
	h.world.platform.SetFault(nil)
	h.world.mu.Lock()
	h.world.lossPercent = 0
	clear(h.world.partitioned)
	h.world.mu.Unlock()
	for _, instance := range []string{"i-1", "i-2"} {
		h.world.thawPlacer(instance)
	}
}

// check returns every violation in the history.
func (h *gangHistory) check(t *testing.T) []string {
	t.Helper()
	records, err := gangRecords(h.world, h.ids)
	assert.NilError(t, err)
	violations := append(h.monitor.violations, h.world.checkStarts(h.world.starts(), records)...)
	for id, record := range records {
		if record.Phase != jobstore.PhaseEnded {
			violations = append(violations, fmt.Sprintf("job %s has not ended: phase %s, attempt %d\n%s", id, record.Phase, record.Attempt, h.world.trace(id)))
		}
	}
	return violations
}

// TestGangHistoryDependsOnSeedAlone verifies that a seed reproduces its history:
// every start of a task, with its time, and the outcome of every job.
func TestGangHistoryDependsOnSeedAlone(t *testing.T) {
	for name, faults := range map[string]gangCase{
		"a planted fault":    {lossPercent: 30},
		"everything at once": gangCases["everything at once, at higher rates"],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				first, second := traceGangs(t, seed, faults), traceGangs(t, seed, faults)
				assert.Equal(t, first, second, "seed %d", seed)
			}
		})
	}
}

package invariants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
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
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(seed, 2, 4)
		w.lossPercent, w.planted = faults.lossPercent, planted
		history := &gangHistory{world: w, monitor: newGangMonitor(w), random: rand.New(rand.NewPCG(seed, 2))}
		w.startPlacer("i-1")
		w.startPlacer("i-2")
		time.Sleep(time.Second)
		history.scheduleFaults(faults)
		history.run(gangFaultTime)
		history.heal()
		history.run(gangFaultFreeTime)
		w.stopAll()
		violations = history.check(t)
	})
	return violations
}

// gangHistory is one history, determined by its seed.
type gangHistory struct {
	world    *gangWorld
	monitor  *gangMonitor
	randomMu sync.Mutex // guards random
	random   *rand.Rand
	ids      []string
	pending  []gangEvent
}

// gangEvent is an action at a time since the start of the phase with faults.
type gangEvent struct {
	at     time.Duration
	action func()
}

// intN draws a number. It takes randomMu because events run concurrently.
func (h *gangHistory) intN(n int) int {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return h.random.IntN(n)
}

func (h *gangHistory) scheduleFaults(faults gangCase) {
	for i := range gangJobs {
		h.scheduleOnce(func() { h.submit(i) })
	}
	h.scheduleTimes(faults.workerKills, func() { h.world.replaceWorker(h.anyWorker()) })
	h.scheduleTimes(faults.placerKills, h.restartPlacer)
	h.scheduleTimes(faults.placerFreezes, func() { h.freeze(5*time.Second + time.Duration(h.intN(20))*time.Second) })
	h.scheduleTimes(faults.workerPartitions, h.partitionWorker)
	h.scheduleTimes(faults.storeOutages, h.stopStore)
	h.scheduleTimes(faults.cancels, h.cancelJob)
	if faults.storeLosesAnswers {
		h.world.platform.SetFault(h.drawStoreFault)
	}
}

func (h *gangHistory) scheduleOnce(action func()) {
	h.pending = append(h.pending, gangEvent{time.Duration(h.intN(int(gangFaultTime))), action})
}

func (h *gangHistory) scheduleTimes(times int, action func()) {
	for range times {
		h.scheduleOnce(action)
	}
}

func (h *gangHistory) anyWorker() string { return h.world.workerIDs[h.intN(len(h.world.workerIDs))] }

func (h *gangHistory) anyInstance() string { return fmt.Sprintf("i-%d", 1+h.intN(2)) }

// run advances the virtual time, starts the events that are due and samples the
// workers.
func (h *gangHistory) run(length time.Duration) {
	start := time.Now()
	for time.Since(start) < length {
		elapsed := time.Since(start)
		var later []gangEvent
		for _, event := range h.pending {
			if event.at <= elapsed {
				go event.action()
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
func (h *gangHistory) submit(i int) {
	h.world.mu.Lock()
	shape := api.Shape{Tasks: 1 + h.intN(4), AcceleratorsPerTask: 1 << h.intN(4), SameRack: h.intN(2) == 0}
	job := api.JobSubmission{
		Account: []string{"acme", "orbit"}[h.intN(2)], Kind: "train", Shape: shape,
		Idempotent: h.intN(2) == 0, Checkpointable: h.intN(3) == 0, DeclaredRunS: 20,
		IdempotencyKey: fmt.Sprintf("job-%d", i),
		Payload:        gangPayload(time.Duration(1+h.intN(40))*time.Second, h.intN(8) == 0),
	}
	h.world.mu.Unlock()
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

func (h *gangHistory) restartPlacer() {
	instance := h.anyInstance()
	h.world.killPlacer(instance)
	time.Sleep(3 * time.Second)
	h.world.startPlacer(instance)
}

func (h *gangHistory) freeze(length time.Duration) {
	instance := h.anyInstance()
	h.world.freezePlacer(instance)
	time.Sleep(length)
	h.world.thawPlacer(instance)
}

func (h *gangHistory) partitionWorker() {
	link := [2]string{h.anyInstance(), h.anyWorker()}
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
func (h *gangHistory) drawStoreFault(fake.Call) fake.Fault {
	switch h.intN(10) {
	case 0:
		return fake.Fault{LoseAnswer: true}
	case 1:
		return fake.Fault{LoseRequest: true}
	}
	return fake.Fault{}
}

func (h *gangHistory) cancelJob() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if len(h.ids) == 0 {
		return
	}
	id := h.ids[h.intN(len(h.ids))]
	for _, running := range h.world.placers {
		if running.placer.Epoch() > 0 && running.thaw == nil {
			go func() { _, _ = running.placer.Cancel(context.Background(), id) }()
		}
	}
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

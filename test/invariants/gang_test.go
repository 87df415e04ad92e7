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

// gangCase is one row of the fault table.
type gangCase struct {
	lossPercent  int
	workerDies   int
	placerDies   int
	placerFreeze int
	workerCut    int
	storeOut     int
	storeLoses   bool
	cancels      int
}

var gangCases = map[string]gangCase{
	"nothing fails":                                {},
	"answers of workers are lost":                  {lossPercent: 10},
	"a worker dies":                                {workerDies: 1},
	"workers die again and again":                  {workerDies: 6},
	"a placer dies":                                {placerDies: 1},
	"placers die twice":                            {placerDies: 2},
	"a placer freezes past its lease":              {placerFreeze: 1},
	"placers freeze twice and a worker dies":       {placerFreeze: 2, workerDies: 1},
	"a worker is cut off from a placer":            {workerCut: 2},
	"the store is out":                             {storeOut: 2},
	"the store loses answers":                      {storeLoses: true},
	"a wave of cancellations":                      {cancels: 8},
	"a placer dies while the store loses answers":  {placerDies: 2, storeLoses: true},
	"everything at once":                           {lossPercent: 5, workerDies: 2, placerDies: 2, placerFreeze: 1, workerCut: 2, storeOut: 1, storeLoses: true, cancels: 3},
	"everything at once, and twice":                {lossPercent: 10, workerDies: 5, placerDies: 4, placerFreeze: 3, workerCut: 4, storeOut: 2, storeLoses: true, cancels: 6},
	"cancellations while workers die and are lost": {lossPercent: 8, workerDies: 3, cancels: 8},
}

// Lengths of one history.
const (
	gangFaultTime = 3 * time.Minute
	gangQuietTime = 4 * time.Minute
	gangSampling  = 100 * time.Millisecond
	gangJobs      = 14
)

// TestGangRunsWholeOrNotAtAll plays faults at random times and checks that no
// gang runs with a part missing, that work which is not idempotent runs once,
// that not_run did not run, and that every accepted job ends.
func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	for name, faults := range gangCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range soakSeeds(2) {
				broken := playGangs(t, seed, faults, plantedNone)
				assert.Assert(t, len(broken) == 0, "seed %d: %s\nagain: SOAK_FIRST=%d SOAK_SEEDS=1 go test ./test/invariants -run '%s'", seed, strings.Join(broken, "\n"), seed, t.Name())
			}
		})
	}
}

// gangSeeds are seeds that broke a promise once, by their row of the table.
var gangSeeds = map[string][]uint64{
	"a placer freezes past its lease":              {2},
	"a placer dies while the store loses answers":  {1, 2},
	"placers die twice":                            {17},
	"everything at once":                           {2, 90},
	"everything at once, and twice":                {0, 126, 443},
	"nothing fails":                                {185},
	"cancellations while workers die and are lost": {363},
}

// TestGangSeedsThatFailedOnce plays them again.
func TestGangSeedsThatFailedOnce(t *testing.T) {
	for name, seeds := range gangSeeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds {
				broken := playGangs(t, seed, gangCases[name], plantedNone)
				assert.Assert(t, len(broken) == 0, "seed %d: %s", seed, strings.Join(broken, "\n"))
			}
		})
	}
}

// TestGangChecksCatchPlantedFaults shows that the checks above see a product
// that is blind to lost parts, and one that takes a lost answer for a refusal.
func TestGangChecksCatchPlantedFaults(t *testing.T) {
	cases := map[string]struct {
		planted plantedFault
		faults  gangCase
	}{
		"a placer that does not see lost parts":           {plantedBlind, gangCase{workerDies: 6}},
		"a placer that takes a lost answer for a refusal": {plantedForgetful, gangCase{lossPercent: 30}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := 0
			for seed := range uint64(10) {
				if len(playGangs(t, seed, test.faults, test.planted)) > 0 {
					caught++
				}
			}
			assert.Assert(t, caught > 0)
			t.Logf("caught in %d of 10 histories", caught)
		})
	}
}

func playGangs(t *testing.T, seed uint64, faults gangCase, planted plantedFault) []string {
	t.Helper()
	var broken []string
	synctest.Test(t, func(t *testing.T) {
		w := newGangWorld(seed, 2, 4)
		w.lossPercent, w.planted = faults.lossPercent, planted
		history := &gangHistory{world: w, monitor: newGangMonitor(w), random: rand.New(rand.NewPCG(seed, 2))}
		w.startPlacer("i-1")
		w.startPlacer("i-2")
		time.Sleep(time.Second)
		history.schedule(faults)
		history.run(gangFaultTime)
		history.heal()
		history.run(gangQuietTime)
		w.stopAll()
		broken = history.judge(t)
	})
	return broken
}

// gangHistory is one seeded run.
type gangHistory struct {
	world   *gangWorld
	monitor *gangMonitor
	draws   sync.Mutex // guards random
	random  *rand.Rand
	ids     []string
	plan    []gangEvent
}

type gangEvent struct {
	at time.Duration
	do func()
}

// intN draws a number; events run side by side.
func (h *gangHistory) intN(n int) int {
	h.draws.Lock()
	defer h.draws.Unlock()
	return h.random.IntN(n)
}

func (h *gangHistory) schedule(faults gangCase) {
	for i := range gangJobs {
		h.at(func() { h.submit(i) })
	}
	h.repeat(faults.workerDies, func() { h.world.replaceWorker(h.anyWorker()) })
	h.repeat(faults.placerDies, h.restartPlacer)
	h.repeat(faults.placerFreeze, func() { h.freeze(5*time.Second + time.Duration(h.intN(20))*time.Second) })
	h.repeat(faults.workerCut, h.cutWorker)
	h.repeat(faults.storeOut, h.storeOut)
	h.repeat(faults.cancels, h.cancel)
	if faults.storeLoses {
		h.world.platform.SetFault(h.losing)
	}
}

func (h *gangHistory) at(do func()) {
	h.plan = append(h.plan, gangEvent{time.Duration(h.intN(int(gangFaultTime))), do})
}

func (h *gangHistory) repeat(times int, do func()) {
	for range times {
		h.at(do)
	}
}

func (h *gangHistory) anyWorker() string { return h.world.order[h.intN(len(h.world.order))] }

func (h *gangHistory) anyInstance() string { return fmt.Sprintf("i-%d", 1+h.intN(2)) }

// run lets the virtual time pass, plays what is due and samples the workers.
func (h *gangHistory) run(length time.Duration) {
	start := time.Now()
	for time.Since(start) < length {
		elapsed := time.Since(start)
		var later []gangEvent
		for _, event := range h.plan {
			if event.at <= elapsed {
				go event.do()
			} else {
				later = append(later, event)
			}
		}
		h.plan = later
		time.Sleep(gangSampling)
		synctest.Wait()
		h.monitor.sample(time.Now())
	}
}

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

func (h *gangHistory) cutWorker() {
	way := [2]string{h.anyInstance(), h.anyWorker()}
	h.world.mu.Lock()
	h.world.cut[way] = true
	h.world.mu.Unlock()
	time.Sleep(20 * time.Second)
	h.world.mu.Lock()
	delete(h.world.cut, way)
	h.world.mu.Unlock()
}

func (h *gangHistory) storeOut() {
	h.world.platform.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
	time.Sleep(20 * time.Second)
	h.world.platform.SetFault(nil)
}

// losing loses one answer in ten after the write, and one in ten before it.
func (h *gangHistory) losing(fake.Call) fake.Fault {
	switch h.intN(10) {
	case 0:
		return fake.Fault{LostAfter: true}
	case 1:
		return fake.Fault{LostBefore: true}
	}
	return fake.Fault{}
}

func (h *gangHistory) cancel() {
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

// heal ends the faults. What was due in the last moment is done now.
func (h *gangHistory) heal() {
	for _, event := range h.plan {
		go event.do()
	}
	h.plan = nil
	h.world.platform.SetFault(nil)
	h.world.mu.Lock()
	h.world.lossPercent = 0
	clear(h.world.cut)
	h.world.mu.Unlock()
	for _, instance := range []string{"i-1", "i-2"} {
		h.world.thawPlacer(instance)
	}
}

// judge returns every broken promise of the history.
func (h *gangHistory) judge(t *testing.T) []string {
	t.Helper()
	records, err := gangRecords(h.world, h.ids)
	assert.NilError(t, err)
	broken := append(h.monitor.broken, h.world.checkStarts(h.world.starts(), records)...)
	for id, record := range records {
		if record.Phase != jobstore.PhaseEnded {
			broken = append(broken, fmt.Sprintf("job %s has not ended: phase %s, attempt %d\n%s", id, record.Phase, record.Attempt, h.world.trace(id)))
		}
	}
	return broken
}

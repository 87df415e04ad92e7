package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// setPolicy selects the policy of a choice.
func (b *bench) setPolicy(choice Choice, policy string) {
	b.core.Tune(Tuning{Choices: map[Choice]string{choice: policy}})
}

// zonesUsed counts the zones and the workers that a job runs on.
func (b *bench) zonesUsed(job string) (zones, workers int) {
	seen := make(map[string]bool)
	for id, w := range b.workers {
		used := false
		for key := range w.running {
			used = used || key.task.Job == job
		}
		if used {
			workers++
			seen[b.zones["r"+id[1:len(id)-1]]] = true
		}
	}
	return len(seen), workers
}

func TestEveryPolicyOfEveryChoiceServesAFullDeployment(t *testing.T) {
	for _, choice := range []Choice{ChoicePlace, ChoiceSpread, ChoiceOrder, ChoiceVictims} {
		for _, policy := range policiesOf(choice) {
			t.Run(fmt.Sprint(choice, " ", policy), func(t *testing.T) {
				b := newZonedBench(t)
				assert.NilError(t, checkChoices(map[Choice]string{choice: policy}))
				b.setPolicy(choice, policy)
				b.add(singleJob("filler", "batch", "other", 240, 1))
				b.advance(time.Second)
				for n := range 4 {
					b.add(gangJob(fmt.Sprint("urgent-", n), "urgent", "acme", 3, 4))
					b.add(gangJob(fmt.Sprint("batch-", n), "batch", "other", 7, 8))
				}
				b.advance(time.Second)
				for n := range 4 {
					assert.Equal(t, b.runningOf(fmt.Sprint("urgent-", n)), 3)
				}
				for range 12 {
					b.endAll(workload.CompletionDone)
					b.advance(time.Second)
				}
				for n := range 4 {
					assert.Equal(t, b.finalState(fmt.Sprint("batch-", n)), FinalCompleted)
				}
				assert.Equal(t, b.finalState("filler"), FinalCompleted)
			})
		}
	}
}

func TestUnknownPolicyIsRejected(t *testing.T) {
	assert.ErrorContains(t, checkChoices(map[Choice]string{ChoicePlace: "emptiest"}), "emptiest")
	assert.ErrorContains(t, checkChoices(map[Choice]string{"colour": "red"}), "colour")
}

// fillUnevenly leaves two accelerators free on each worker of two zones, and zone-2 empty.
func (b *bench) fillUnevenly() {
	for n, rack := range []string{"r0", "r1"} {
		filler := singleJob(fmt.Sprint("filler-", n), "batch", "other", 10, 6)
		filler.Steps[0].DataRack = rack
		b.add(filler)
	}
	b.advance(200 * time.Millisecond)
}

func TestSpreadPoliciesPlaceGangs(t *testing.T) {
	for name, c := range map[string]struct {
		policy         string
		tasks          int
		zones, workers int
	}{
		"anywhere: the fullest workers first, across two zones": {"anywhere", 16, 2, 16},
		"in one zone, even if this leaves gaps elsewhere":       {"one_zone", 16, 1, 4},
		"in the zone with the least capacity left":              {"one_zone", 8, 1, 8},
		"across zones if none can hold it":                      {"one_zone", 45, 2, 0},
		"on as few workers as possible":                         {"fewest_workers", 8, 1, 2},
		"in one rack":                                           {"fewest_racks", 8, 1, 8},
		"across racks if none can hold it":                      {"fewest_racks", 45, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newZonedBench(t)
			b.setPolicy(ChoiceSpread, c.policy)
			b.fillUnevenly()
			b.add(gangJob("gang", "urgent", "other", c.tasks, 2))
			b.advance(200 * time.Millisecond)
			assert.Equal(t, b.runningOf("gang"), c.tasks)
			zones, workers := b.zonesUsed("gang")
			if c.workers == 0 {
				assert.Assert(t, zones >= c.zones)
				return
			}
			assert.Equal(t, zones, c.zones)
			assert.Equal(t, workers, c.workers)
		})
	}
}

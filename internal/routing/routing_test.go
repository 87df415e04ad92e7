package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/model"
)

var start = time.Unix(1000, 0)

func servers(n int) []model.BackendServer {
	list := make([]model.BackendServer, n)
	for i := range list {
		list[i] = model.BackendServer{ID: fmt.Sprintf("b%02d", i), Addr: "127.0.0.1:1", Incarnation: 1, Slots: 8, State: model.BackendReady}
	}
	return list
}

func table(policy Policy, n int) (*Table, []model.BackendServer) {
	t := NewTable(policy)
	list := servers(n)
	t.Sync(list, start)
	return t, list
}

func all(string) int { return 8 }

// serve runs requests one after the other, each of which takes as long as run
// says, and returns how many each server got.
func serve(t *Table, requests int, from time.Time, run func(id string) (time.Duration, bool)) (map[string]int, time.Time) {
	random := rand.New(rand.NewPCG(1, 2))
	got := make(map[string]int)
	now := from
	for range requests {
		now = now.Add(10 * time.Millisecond)
		choice, ok := t.Pick(now, random, all, nil)
		if !ok {
			continue
		}
		got[choice.ID]++
		t.Started(choice.ID)
		took, failed := run(choice.ID)
		t.Finished(choice.ID, Result{Took: took, Failed: failed, Expected: 50 * time.Millisecond, Incarnation: choice.Incarnation})
	}
	return got, now
}

func TestSlowOrFailingServerIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		policy  Policy
		run     func(id string) (time.Duration, bool)
		ejected int
	}{
		"slow one": {Policy{}, func(id string) (time.Duration, bool) {
			if id == "b03" {
				return 500 * time.Millisecond, false
			}
			return 50 * time.Millisecond, false
		}, 1},
		"failing one": {Policy{}, func(id string) (time.Duration, bool) { return time.Millisecond, id == "b03" }, 1},
		"all slow alike": {Policy{}, func(string) (time.Duration, bool) {
			return 500 * time.Millisecond, false
		}, 0},
		"requests that fail everywhere": {Policy{}, func(string) (time.Duration, bool) { return time.Millisecond, true }, 0},
		"four of ten fail: the bound holds": {Policy{}, func(id string) (time.Duration, bool) {
			return time.Millisecond, id < "b04"
		}, 3},
		"planted fault: no ejection": {Policy{NoEjection: true}, func(id string) (time.Duration, bool) {
			return time.Millisecond, id == "b03"
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tab, _ := table(c.policy, 10)
			serve(tab, 400, start, c.run)
			ejected := 0
			for _, s := range tab.Servers() {
				if s.State == model.BackendEjected {
					ejected++
				}
			}
			assert.Equal(t, ejected, c.ejected)
		})
	}
}

func TestEjectedServerComesBackInARamp(t *testing.T) {
	tab, _ := table(Policy{}, 10)
	bad := func(id string) (time.Duration, bool) { return 50 * time.Millisecond, id == "b03" }
	good := func(string) (time.Duration, bool) { return 50 * time.Millisecond, false }
	_, now := serve(tab, 400, start, bad)
	assert.Equal(t, tab.byID["b03"].State, model.BackendEjected)
	got, now := serve(tab, 100, now, good)
	assert.Equal(t, got["b03"], 0)
	now = now.Add(maxEjection)
	got, now = serve(tab, 100, now, good)
	assert.Assert(t, got["b03"] < 10, "%d of 100 during the ramp", got["b03"])
	got, _ = serve(tab, 1000, now.Add(RampTime), good)
	assert.Assert(t, got["b03"] > 70, "%d of 1000 after the ramp", got["b03"])
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	leavingListing := func(list []model.BackendServer) []model.BackendServer {
		list[3].State = model.BackendLeaving
		return list
	}
	for name, c := range map[string]struct {
		change func(tab *Table, list []model.BackendServer)
		takes  bool
	}{
		"said so itself": {func(tab *Table, _ []model.BackendServer) { tab.Leave("b03", 1, start) }, false},
		"the list says so": {func(tab *Table, list []model.BackendServer) {
			tab.Sync(leavingListing(list), start)
		}, false},
		"a lagging list does not bring it back": {func(tab *Table, list []model.BackendServer) {
			tab.Leave("b03", 1, start)
			tab.Sync(list, start)
		}, false},
		"an older incarnation does not either": {func(tab *Table, list []model.BackendServer) {
			tab.Leave("b03", 1, start)
			list[3].Incarnation = 0
			tab.Sync(list, start)
		}, false},
		"a newer incarnation does": {func(tab *Table, list []model.BackendServer) {
			tab.Leave("b03", 1, start)
			list[3].Incarnation = 2
			tab.Sync(list, start)
		}, true},
		"no longer listed": {func(tab *Table, list []model.BackendServer) {
			tab.Sync(append(list[:3:3], list[4:]...), start)
		}, false},
		"a late sign of an older incarnation changes nothing": {func(tab *Table, list []model.BackendServer) {
			list[3].Incarnation = 2
			tab.Sync(list, start)
			tab.Leave("b03", 1, start)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tab, list := table(Policy{}, 5)
			c.change(tab, list)
			got, _ := serve(tab, 2000, start, func(string) (time.Duration, bool) { return 50 * time.Millisecond, false })
			assert.Equal(t, got["b03"] > 0, c.takes, "got %d", got["b03"])
		})
	}
}

func TestPickStaysWithinUsableSlots(t *testing.T) {
	tab, _ := table(Policy{}, 4)
	random := rand.New(rand.NewPCG(3, 4))
	usable := func(id string) int { return map[string]int{"b00": 1, "b01": 2}[id] }
	got := map[string]int{}
	for {
		choice, ok := tab.Pick(start, random, usable, nil)
		if !ok {
			break
		}
		tab.Started(choice.ID)
		got[choice.ID]++
	}
	assert.DeepEqual(t, got, map[string]int{"b00": 1, "b01": 2})
	assert.Equal(t, tab.Capacity(usable), 3)
}

func TestRetryGoesToAnotherServer(t *testing.T) {
	tab, _ := table(Policy{}, 3)
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		choice, ok := tab.Pick(start, random, all, []string{"b00", "b02"})
		assert.Assert(t, ok)
		assert.Equal(t, choice.ID, "b01")
	}
	assert.Equal(t, tab.Takers([]string{"b00"}), 2)
	_, ok := tab.Pick(start, random, all, []string{"b00", "b01", "b02"})
	assert.Assert(t, !ok)
}

func TestSpill(t *testing.T) {
	type step struct {
		local, remote float64
		updates       int
	}
	for name, c := range map[string]struct {
		steps  []step
		zone   string
		atMost float64
	}{
		"a short burst stays":                        {[]step{{3, 0.2, 2}, {0.8, 0.2, 5}}, "", 0},
		"lasting overload moves step by step":        {[]step{{3, 0.2, 6}}, "z2", 0.3},
		"never more than the bound":                  {[]step{{3, 0.2, 100}}, "z2", maxSpill},
		"a full remote takes nothing":                {[]step{{3, 0.9, 50}}, "", 0},
		"between the thresholds the share is kept":   {[]step{{3, 0.2, 6}, {1.2, 0.8, 50}}, "z2", 0.3},
		"all of it at once without a backend server": {[]step{{math.Inf(1), 0.2, 1}}, "z2", 1},
		"back when the backend servers are":          {[]step{{math.Inf(1), 0.2, 9}, {0.1, 0.2, 9}}, "", 0},
		"back when the load is gone":                 {[]step{{3, 0.2, 50}, {0.5, 0.2, 20}}, "", 0},
		"back when the remote is full":               {[]step{{3, 0.2, 50}, {3, 1.2, 8}}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var spill Spill
			now := start
			for _, s := range c.steps {
				for range s.updates {
					now = now.Add(100 * time.Millisecond)
					spill.Update(s.local, []ZoneLoad{{"z2", s.remote}, {"z3", 2}}, now)
				}
			}
			zone, share := spill.Active()
			assert.Equal(t, zone, c.zone)
			assert.Assert(t, share <= c.atMost+1e-9, "share %v", share)
			spilled := 0
			for range 1000 {
				if spill.Next() != "" {
					spilled++
				}
			}
			assert.Assert(t, spilled >= int(1000*share)-1 && spilled <= int(1000*share)+1, "%d for %v", spilled, share)
		})
	}
}

func BenchmarkPickOfFifty(b *testing.B) {
	tab, _ := table(Policy{}, 50)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := tab.Pick(start, random, all, nil)
		tab.Started(choice.ID)
		tab.Finished(choice.ID, Result{Took: 50 * time.Millisecond, Expected: 50 * time.Millisecond, Incarnation: choice.Incarnation})
	}
}

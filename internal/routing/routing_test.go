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

func newServers(n int) []model.BackendServer {
	list := make([]model.BackendServer, n)
	for i := range list {
		list[i] = model.BackendServer{ID: fmt.Sprintf("b%02d", i), Addr: "127.0.0.1:1", Incarnation: 1, Slots: 8, State: model.BackendReady}
	}
	return list
}

func newTestTable(policy Policy, n int) (*Table, []model.BackendServer) {
	t := NewTable(policy)
	list := newServers(n)
	t.Sync(list, start)
	return t, list
}

func allSlots(string) int { return 8 }

// serveRequests runs requests one after the other, each with the run time and
// result that run returns. It returns the number of requests per server and the
// time after the last one.
func serveRequests(t *Table, requests int, from time.Time, run func(id string) (time.Duration, bool)) (map[string]int, time.Time) {
	random := rand.New(rand.NewPCG(1, 2))
	got := make(map[string]int)
	now := from
	for range requests {
		now = now.Add(10 * time.Millisecond)
		choice, ok := t.Pick(now, random, allSlots, nil)
		if !ok {
			continue
		}
		got[choice.ID]++
		t.RecordStart(choice.ID)
		took, failed := run(choice.ID)
		t.RecordResult(choice.ID, Result{Took: took, Failed: failed, Expected: 50 * time.Millisecond, Incarnation: choice.Incarnation})
	}
	return got, now
}

func TestSlowOrFailingServerIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		policy  Policy
		run     func(id string) (time.Duration, bool)
		ejected int
	}{
		"one slow server": {Policy{}, func(id string) (time.Duration, bool) {
			if id == "b03" {
				return 500 * time.Millisecond, false
			}
			return 50 * time.Millisecond, false
		}, 1},
		"one failing server": {Policy{}, func(id string) (time.Duration, bool) { return time.Millisecond, id == "b03" }, 1},
		"all servers equally slow": {Policy{}, func(string) (time.Duration, bool) {
			return 500 * time.Millisecond, false
		}, 0},
		"requests that fail everywhere": {Policy{}, func(string) (time.Duration, bool) { return time.Millisecond, true }, 0},
		"four of ten fail: the bound applies": {Policy{}, func(id string) (time.Duration, bool) {
			return time.Millisecond, id < "b04"
		}, 3},
		"planted fault: no ejection": {Policy{NoEjection: true}, func(id string) (time.Duration, bool) {
			return time.Millisecond, id == "b03"
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, _ := newTestTable(c.policy, 10)
			serveRequests(table, 400, start, c.run)
			ejected := 0
			for _, s := range table.Servers() {
				if s.State == model.BackendEjected {
					ejected++
				}
			}
			assert.Equal(t, ejected, c.ejected)
		})
	}
}

func TestEjectedServerReturnsInRamp(t *testing.T) {
	table, _ := newTestTable(Policy{}, 10)
	bad := func(id string) (time.Duration, bool) { return 50 * time.Millisecond, id == "b03" }
	good := func(string) (time.Duration, bool) { return 50 * time.Millisecond, false }
	_, now := serveRequests(table, 400, start, bad)
	assert.Equal(t, table.byID["b03"].State, model.BackendEjected)
	got, now := serveRequests(table, 100, now, good)
	assert.Equal(t, got["b03"], 0)
	now = now.Add(maxEjection)
	got, now = serveRequests(table, 100, now, good)
	assert.Assert(t, got["b03"] < 10, "%d of 100 during the ramp", got["b03"])
	got, _ = serveRequests(table, 1000, now.Add(RampTime), good)
	assert.Assert(t, got["b03"] > 70, "%d of 1000 after the ramp", got["b03"])
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	leavingListing := func(list []model.BackendServer) []model.BackendServer {
		list[3].State = model.BackendLeaving
		return list
	}
	for name, c := range map[string]struct {
		change  func(table *Table, list []model.BackendServer)
		accepts bool
	}{
		"reported by the server itself": {func(table *Table, _ []model.BackendServer) { table.Leave("b03", 1, start) }, false},
		"listed as leaving": {func(table *Table, list []model.BackendServer) {
			table.Sync(leavingListing(list), start)
		}, false},
		"an outdated list does not make it ready again": {func(table *Table, list []model.BackendServer) {
			table.Leave("b03", 1, start)
			table.Sync(list, start)
		}, false},
		"an older incarnation does not make it ready again": {func(table *Table, list []model.BackendServer) {
			table.Leave("b03", 1, start)
			list[3].Incarnation = 0
			table.Sync(list, start)
		}, false},
		"a newer incarnation makes it ready again": {func(table *Table, list []model.BackendServer) {
			table.Leave("b03", 1, start)
			list[3].Incarnation = 2
			table.Sync(list, start)
		}, true},
		"no longer listed": {func(table *Table, list []model.BackendServer) {
			table.Sync(append(list[:3:3], list[4:]...), start)
		}, false},
		"a late report of an older incarnation is ignored": {func(table *Table, list []model.BackendServer) {
			list[3].Incarnation = 2
			table.Sync(list, start)
			table.Leave("b03", 1, start)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table, list := newTestTable(Policy{}, 5)
			c.change(table, list)
			got, _ := serveRequests(table, 2000, start, func(string) (time.Duration, bool) { return 50 * time.Millisecond, false })
			assert.Equal(t, got["b03"] > 0, c.accepts, "got %d", got["b03"])
		})
	}
}

func TestPickStaysWithinUsableSlots(t *testing.T) {
	table, _ := newTestTable(Policy{}, 4)
	random := rand.New(rand.NewPCG(3, 4))
	usable := func(id string) int { return map[string]int{"b00": 1, "b01": 2}[id] }
	got := map[string]int{}
	for {
		choice, ok := table.Pick(start, random, usable, nil)
		if !ok {
			break
		}
		table.RecordStart(choice.ID)
		got[choice.ID]++
	}
	assert.DeepEqual(t, got, map[string]int{"b00": 1, "b01": 2})
	assert.Equal(t, table.Capacity(usable), 3)
}

func TestRetryGoesToAnotherServer(t *testing.T) {
	table, _ := newTestTable(Policy{}, 3)
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		choice, ok := table.Pick(start, random, allSlots, []string{"b00", "b02"})
		assert.Assert(t, ok)
		assert.Equal(t, choice.ID, "b01")
	}
	assert.Equal(t, table.AcceptingServers([]string{"b00"}), 2)
	_, ok := table.Pick(start, random, allSlots, []string{"b00", "b01", "b02"})
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
		"a short burst is not spilled":                {[]step{{3, 0.2, 2}, {0.8, 0.2, 5}}, "", 0},
		"lasting overload is spilled in steps":        {[]step{{3, 0.2, 6}}, "z2", 0.3},
		"never more than the maximum share":           {[]step{{3, 0.2, 100}}, "z2", maxSpillShare},
		"a full remote zone gets nothing":             {[]step{{3, 0.9, 50}}, "", 0},
		"between the thresholds the share is kept":    {[]step{{3, 0.2, 6}, {1.2, 0.8, 50}}, "z2", 0.3},
		"everything at once without a backend server": {[]step{{math.Inf(1), 0.2, 1}}, "z2", 1},
		"ends when the backend servers are back":      {[]step{{math.Inf(1), 0.2, 9}, {0.1, 0.2, 9}}, "", 0},
		"ends when the load has dropped":              {[]step{{3, 0.2, 50}, {0.5, 0.2, 20}}, "", 0},
		"ends when the remote zone is full":           {[]step{{3, 0.2, 50}, {3, 1.2, 8}}, "", 0},
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

func BenchmarkPickFrom50Servers(b *testing.B) {
	table, _ := newTestTable(Policy{}, 50)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := table.Pick(start, random, allSlots, nil)
		table.RecordStart(choice.ID)
		table.RecordResult(choice.ID, Result{Took: 50 * time.Millisecond, Expected: 50 * time.Millisecond, Incarnation: choice.Incarnation})
	}
}

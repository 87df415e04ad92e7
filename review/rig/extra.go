package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// playRefusals: the only runners where an accepted job can run are unhealthy and refuse its starts.
// MIXED: the count of waiting jobs leaves it out.
func playRefusals(f *fleet, trouble bool) (verdict, error) {
	const filler, id = "00000000000000e1", "00000000000000e2"
	const unhealthy, margin = 6500 * time.Millisecond, 500 * time.Millisecond
	const rack, filled = "r1-0", 4
	// One task on each of four runners of a rack takes all of its GPUs, so that four are left.
	full := step(filled, 2000, 1024, 8, 30000)
	full["requires"] = rack
	if err := f.submit("quote", filler, taskPlan{time: 30 * time.Second, cpu: 2000}, full); err != nil {
		return verdict{}, err
	}
	if !await(finishTime, func() bool { _, runs := f.running(filler); return runs == filled }) {
		return verdict{}, fmt.Errorf("the first job did not start")
	}
	for _, r := range f.runners {
		if trouble && slices.Contains(r.labels, rack) && r.count(func(string) bool { return true }) == 0 {
			r.setRefusing(true)
			time.AfterFunc(unhealthy, func() { r.setRefusing(false) })
		}
	}
	s := step(1, 2000, 1024, 1, 20000)
	s["requires"] = rack
	if err := f.submit("match", id, taskPlan{time: 20 * time.Second, cpu: 2000}, s); err != nil {
		return verdict{}, err
	}
	time.Sleep(pendingAge + margin)
	_, begun := f.running(id)
	a := f.call(f.instances[1], http.MethodGet, prefixOf("match"), nil, callWait)
	pending, ok := a.body["pending"].(float64)
	if !ok {
		return verdict{}, fmt.Errorf("no count: %v", a)
	}
	f.get("match", id, 1)
	return verdict{begun == 0 && pending == 0, fmt.Sprintf("%v after the queue's only job was accepted, %d tasks of it have begun, and the queue is said to have %v waiting jobs", pendingAge+margin, begun, pending)}, nil
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Bounds of the site.
const (
	cancelTime  = 3000 * time.Millisecond
	stopTimeout = 900 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	visibleTime = 3000 * time.Millisecond
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
	// lossTime is the longest time for which the site's store loses answers.
	lossTime = 4500 * time.Millisecond
	// pendingAge is the age of a job from which the count of waiting jobs has to contain it.
	pendingAge = visibleTime + 2*time.Second
)

func step(count, cpu, memMB, gpu, estimateMS int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "memMb": memMB, "gpu": gpu, "estimateMs": estimateMS}
}

// playCrashes: the runner of one task of a job that lasts crashes behind a cut, three times. LOST: the job is shown
// as failed without cause, and its other tasks are stopped as well.
func playCrashes(f *fleet, trouble bool) (verdict, error) {
	const id, crashes, tasks = "00000000000000a1", 3, 3
	const first = id + ".0.0.0"
	const crashAfter, cutTime, resultWait = 900 * time.Millisecond, 2 * time.Second, 15 * time.Second
	lasting := step(tasks, 2000, 1024, 1, 1000)
	lasting["longRunning"], lasting["antiAffinity"], lasting["image"] = true, 1, "desk"
	if err := f.submit("quote", id, taskPlan{lasts: true, cpu: 2000}, lasting); err != nil {
		return verdict{}, err
	}
	for n := 0; trouble && n < crashes; n++ {
		var at *runner
		if !await(resultWait, func() bool { at = f.runnerOf(first); return at != nil }) {
			return verdict{}, fmt.Errorf("the task did not start after %d crashes", n)
		}
		time.Sleep(crashAfter)
		at.crashBehindCut(cutTime)
	}
	state := ""
	await(resultWait, func() bool {
		time.Sleep(time.Second)
		state = f.get("quote", id, 1).state()
		return state == "failed"
	})
	failed := f.ends("failed")
	_, runs := f.running(id)
	return verdict{state == "failed" && failed == 0, fmt.Sprintf("the job is shown as %q; runners have listed %d ends failed; %d of %d tasks are at work", state, failed, runs, tasks)}, nil
}

// playRoute: the route of an accepted job is removed while its first step runs. LOST: the second step
// never starts.
func playRoute(f *fleet, trouble bool) (verdict, error) {
	const id = "00000000000000b1"
	const runTime = 3 * time.Second
	second := step(2, 2000, 1024, 1, 3000)
	second["after"] = []int{0}
	if err := f.submit("match", id, taskPlan{time: runTime, cpu: 2000}, step(2, 2000, 1024, 1, 3000), second); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if trouble {
		f.configure(f.routes[:2])
	} else {
		f.configure(f.routes)
	}
	if !await(finishTime, func() bool { return f.ends("done") == 2 }) {
		return verdict{}, fmt.Errorf("the first step did not end")
	}
	f.rec.add("judge", "both tasks of the first step have ended done: the turn of the second has come")
	time.Sleep(finishTime)
	started := false
	await(idleTime, func() bool {
		_, runs := f.running(id)
		started = started || runs > 0 || f.ends("done") > 2
		return started
	})
	f.get("match", id, 1)
	return verdict{!started, fmt.Sprintf("%v after its turn had come the second step has started: %t; ends done: %d of 4", finishTime+idleTime, started, f.ends("done"))}, nil
}

// playAbandon: the insert of a job gets no answer and is done seconds later; the client has left and
// cancels the job meanwhile. UNASKED: it starts and runs on.
func playAbandon(f *fleet, trouble bool) (verdict, error) {
	const id = "00000000000000c1"
	const late, leaves, cancels, runTime = 5500 * time.Millisecond, 125 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second
	// Three other clients hand jobs in and stay.
	for n := range 3 {
		if err := f.submit("cert", fmt.Sprintf("00000000000000f%d", n), taskPlan{time: time.Second, cpu: 2000}, step(1, 2000, 1024, 1, 1000)); err != nil {
			return verdict{}, err
		}
	}
	var lost atomic.Bool
	writes := f.store.writeCount()
	f.store.setLose(func(tx *transaction) time.Duration {
		if trouble && !lost.Load() && slices.ContainsFunc(tx.Puts, func(p storeRow) bool { return strings.HasSuffix(p.Key, "/"+id) }) {
			lost.Store(true)
			return late
		}
		return 0
	})
	f.expect(id, taskPlan{time: runTime, cpu: 2000})
	body := map[string]any{"spec": "case of the review", "steps": []map[string]any{step(1, 2000, 1024, 1, 30000)}}
	f.call(f.instances[0], http.MethodPost, prefixOf("cert")+id, body, leaves)
	time.Sleep(cancels)
	cancelled := f.call(f.instances[2], http.MethodDelete, prefixOf("cert")+id, nil, callWait)
	at := time.Now()
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancel was not acknowledged: %v", cancelled)
	}
	// The last disturbance is the late write. A stretch of contactTime makes the core stable; after
	// cancelTime and stopTimeout more a task of a cancelled job has to be gone.
	time.Sleep(lossTime - leaves - cancels)
	f.rec.add("judge", "%d writes of the system in the %v from the hand-in on; one was lost: %t", f.store.writeCount()-writes, lossTime, lost.Load())
	time.Sleep(late - lossTime + contactTime + cancelTime + stopTimeout + 2*time.Second)
	_, runs := f.running(id)
	f.get("cert", id, 1)
	return verdict{runs > 0, fmt.Sprintf("%.1f s after the cancel was acknowledged with %d, %d tasks of the job are at work", time.Since(at).Seconds(), cancelled.status, runs)}, nil
}

// playServing: tasks that serve lie on all runners but two, and these two leave. LOST: a job accepted
// afterwards never starts, beside runners that are nearly empty.
func playServing(f *fleet, trouble bool) (verdict, error) {
	const serving, before, after = "00000000000000d1", "00000000000000d2", "00000000000000d3"
	const leaving = 2
	lasting := step(len(f.runners)-leaving, 2000, 2048, 0, 1000)
	lasting["longRunning"], lasting["antiAffinity"], lasting["targetMs"], lasting["image"] = true, 1, 200, "desk"
	if err := f.submit("match", serving, taskPlan{lasts: true, cpu: 50}, lasting); err != nil {
		return verdict{}, err
	}
	if !await(finishTime, func() bool { _, runs := f.running(serving); return runs == len(f.runners)-leaving }) {
		return verdict{}, fmt.Errorf("the tasks that serve did not start")
	}
	if err := f.submit("quote", before, taskPlan{time: time.Second, cpu: 2000}, step(2, 2000, 1024, 1, 1000)); err != nil {
		return verdict{}, err
	}
	if !await(finishTime, func() bool { return f.ends("done") == 2 }) {
		return verdict{}, fmt.Errorf("the first job did not end")
	}
	if trouble {
		for _, r := range f.runners {
			if r.count(func(string) bool { return true }) == 0 {
				go r.leave()
			}
		}
	}
	time.Sleep(3 * drainTime)
	if err := f.submit("quote", after, taskPlan{time: time.Second, cpu: 2000}, step(2, 2000, 1024, 1, 1000)); err != nil {
		return verdict{}, err
	}
	time.Sleep(finishTime)
	started := false
	await(idleTime, func() bool {
		_, runs := f.running(after)
		started = started || runs > 0 || f.ends("done") > 2
		return started
	})
	f.get("quote", after, 1)
	return verdict{!started, fmt.Sprintf("%v after the job was accepted it has started: %t; each of the runners that are left has 30 of 32 cores and 8 of 8 GPUs free", finishTime+idleTime, started)}, nil
}

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

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

// playCrashes: the runner of one task of a job that lasts crashes three times. LOST: the job is shown
// as failed without cause, and its other tasks are stopped as well.
func playCrashes(f *fleet, trouble bool) (verdict, error) {
	const id, crashes, tasks = "00000000000000a1", 3, 3
	const first = id + ".0.0.0"
	const crashAfter, downTime, resultWait = 900 * time.Millisecond, 2 * time.Second, 15 * time.Second
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
		at.crash()
		time.AfterFunc(downTime, func() { _ = at.begin() }) // a runner that does not come back is gone for good
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
	if err := f.submit("quote", serving, taskPlan{lasts: true, cpu: 50}, lasting); err != nil {
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

// playSchedules: clients hand in jobs that are due each ten seconds for a day, as many as jobs come at
// other times. LOST: a job whose time has come never starts, since each instance that leads is killed
// for its memory.
func playSchedules(f *fleet, trouble bool) (verdict, error) {
	const witness, jobs, few, day = "00000000000000a0", 80, 8, 8640
	const gap, interval, due, later = 250 * time.Millisecond, 10 * time.Second, 45 * time.Second, time.Hour
	begin := time.Now()
	// The witness has one time, 45 s from now.
	if err := f.submitScheduled("cert", witness, 1, begin.Add(due), interval); err != nil {
		return verdict{}, err
	}
	times := few
	if trouble {
		times = day
	}
	accepted := 0
	for n := range jobs {
		next := time.Now().Add(gap)
		if f.submitScheduled("match", fmt.Sprintf("%016x", 0xab000+n), times, begin.Add(later), interval) == nil {
			accepted++
		}
		time.Sleep(time.Until(next))
	}
	f.rec.add("judge", "%d of %d jobs with %d times were accepted", accepted, jobs, times)
	time.Sleep(time.Until(begin.Add(due + finishTime)))
	started := f.ends("done") > 0
	await(idleTime, func() bool {
		_, runs := f.running(witness)
		started = started || runs > 0 || f.ends("done") > 0
		return started
	})
	kills, often := f.memoryKills()
	return verdict{!started, fmt.Sprintf("%v after its time had come the job has started: %t; %d jobs with %d times were accepted; processes were killed for their memory %d times, %d of them three times or more", finishTime+idleTime, started, accepted, times, kills, often)}, nil
}

// submitScheduled hands in a job of two steps with a number of times, once.
func (f *fleet) submitScheduled(queue, id string, times int, first time.Time, interval time.Duration) error {
	f.expect(id, taskPlan{time: time.Second, cpu: 2000})
	second := step(1, 2000, 1024, 0, 1000)
	second["after"] = []int{0}
	body := map[string]any{
		"spec": "case of the review", "steps": []map[string]any{step(1, 2000, 1024, 0, 1000), second},
		"repeats": times, "startAtMs": first.UnixMilli(), "intervalMs": interval.Milliseconds(),
	}
	var last answer
	for n := range 3 {
		last = f.call(f.instances[(n+f.turn())%len(f.instances)], http.MethodPost, prefixOf(queue)+id, body, callWait)
		if last.status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted: %v", id, last)
}

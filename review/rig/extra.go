package main

import (
	"fmt"
	"net/http"
	"time"
)

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

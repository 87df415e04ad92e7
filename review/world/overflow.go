package main

import (
	"fmt"
	"time"
)

const (
	// The sweep is one step of small tasks that save checkpoints; every other one fails in its first
	// run, by its own fault. Without the disruption it is a tenth as wide.
	largeSweep    = 4000
	ordinarySweep = 400
	sweepTakes    = 2 * time.Second
	sweepWait     = 20 * time.Second
	// Small jobs of two steps follow.
	laterJobs  = 4
	laterPause = 500 * time.Millisecond
)

// The needs of the later jobs are those of the kind of request spec-match.
var (
	sweepNeed  = need{cpu: 500, memMB: 1000}
	urgentNeed = need{cpu: 3700, memMB: 9800, gpu: 1}
	laterNeed  = need{cpu: 2800, memMB: 4100, gpu: 1}
)

// playOverflow runs a sweep at the lowest priority, and small jobs after it. All have to go on.
func playOverflow(d *deployment, trouble bool) error {
	count := ordinarySweep
	if trouble {
		count = largeSweep
	}
	sweep := &job{id: "77d1b34e90c2a815", tenant: tenants[0], queue: sweepQueue, spec: jobSpec{steps: []stepSpec{{count: count, need: sweepNeed}}}}
	d.quiet[sweep.id] = true
	failsFirst := func(task string) bool { return task[len(task)-1]%2 == 0 }
	if err := d.submit(sweep, work{need: sweepNeed, takes: sweepTakes, failsFirst: failsFirst, checkpointing: true}, sweep.spec.body(true, sweepTakes)); err != nil {
		return err
	}
	time.Sleep(sweepWait)
	jobs := []*job{sweep}
	for n := range laterJobs {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b36%02x", n), tenant: tenants[n%len(tenants)], queue: sweepQueue}
		j.spec = jobSpec{steps: []stepSpec{{count: 3, need: laterNeed}, {count: 3, need: laterNeed, after: []int{0}}}}
		if err := d.submit(j, work{need: laterNeed, takes: 2 * time.Second}, j.spec.body(false, 2*time.Second)); err != nil {
			return err
		}
		jobs = append(jobs, j)
		time.Sleep(laterPause)
	}
	return d.checkLost(jobs, time.Now())
}

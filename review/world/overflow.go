package main

import (
	"fmt"
	"time"
)

const (
	// The sweep is one step of small tasks that save checkpoints. It fills all runners.
	sweepTasks = 5000
	sweepCPU   = 300
	sweepTakes = 20 * time.Second
	// The urgent jobs come within six seconds, as in a burst of the class lot-cert.
	urgentJobs  = 40
	urgentTasks = 3
	urgentCPU   = 13000
	urgentPause = 150 * time.Millisecond
	// Small jobs of two steps follow.
	laterJobs = 4
	laterWait = 15 * time.Second
)

// playOverflow runs a wide sweep at the lowest priority and small jobs after it. With the
// disruption a burst of urgent jobs comes between them, for which tasks of the sweep are stopped
// with a checkpoint. All jobs have to go on.
func playOverflow(d *deployment, trouble bool) error {
	sweep := &job{id: "77d1b34e90c2a815", tenant: tenants[0], queue: sweepQueue, spec: jobSpec{steps: []stepSpec{{count: sweepTasks, cpu: sweepCPU}}}}
	d.quiet[sweep.id] = true
	if err := d.submit(sweep, work{cpu: sweepCPU, takes: sweepTakes, checkpointing: true}, sweep.spec.body(true, sweepTakes)); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	jobs := []*job{sweep}
	if trouble {
		for n := range urgentJobs {
			j := &job{id: fmt.Sprintf("a1b2c3d4e5f607%02x", n), tenant: tenants[n%len(tenants)], queue: urgentQueue}
			j.spec = jobSpec{steps: []stepSpec{{count: urgentTasks, cpu: urgentCPU}}}
			if err := d.submit(j, work{cpu: urgentCPU, takes: 2500 * time.Millisecond}, j.spec.body(false, 2500*time.Millisecond)); err != nil {
				return err
			}
			jobs = append(jobs, j)
			time.Sleep(urgentPause)
		}
	}
	time.Sleep(laterWait)
	for n := range laterJobs {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b36%02x", n), tenant: tenants[n%len(tenants)], queue: sweepQueue}
		j.spec = jobSpec{steps: []stepSpec{{count: 3, cpu: 2800}, {count: 3, cpu: 2800, after: []int{0}}}}
		if err := d.submit(j, work{cpu: 2800, takes: 2 * time.Second}, j.spec.body(false, 2*time.Second)); err != nil {
			return err
		}
		jobs = append(jobs, j)
		time.Sleep(500 * time.Millisecond)
	}
	return d.checkLost(jobs, time.Now())
}

package main

import (
	"fmt"
	"time"
)

const (
	reclaimTime = 3400 * time.Millisecond // reclaimMs
	// The services last, with one accelerator a task: six of them, in four seconds, fill all runners.
	services        = 6
	serviceTasks    = 64
	servicePause    = 660 * time.Millisecond
	ordinaryShare   = 2 // without the disruption, one in so many services comes
	claimTasks      = 3
	watchClaim      = 40 * time.Second
	servicesStarted = 10 * time.Second
)

// playReclaim fills the accelerators with services that last, and then claims a small part of
// what is guaranteed to a tenant.
func playReclaim(d *deployment, trouble bool) error {
	count := services / ordinaryShare
	if trouble {
		count = services
	}
	for n := range count {
		j := &job{id: fmt.Sprintf("a1b2c3d4e5f607%02x", n), tenant: tenants[0], queue: sweepQueue}
		s := step(serviceTasks, 2800, 4100, 1, 2000)
		s["longRunning"], s["maxUnavailable"], s["image"] = true, 1, "order-desk-model"
		if err := d.submit(j, work{takes: time.Hour}, jobBody(s)); err != nil {
			return err
		}
		time.Sleep(servicePause)
	}
	time.Sleep(servicesStarted)
	claim := &job{id: "5c0e7a21d94b36f8", tenant: tenants[1], queue: urgentQueue}
	if err := d.submit(claim, work{takes: 2500 * time.Millisecond}, jobBody(step(claimTasks, 3700, 9800, 1, 2500))); err != nil {
		return err
	}
	acked := time.Now()
	for time.Since(acked) < watchClaim {
		begun := d.begunTasks(claim.id)
		if begun >= claimTasks && time.Since(acked) <= reclaimTime {
			d.record.printf("all %d tasks of the claim have begun %.2f s after its ack", begun, time.Since(acked).Seconds())
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.record.say("RECLAIM: %d of %d tasks begun %.0f s after the ack; %d accelerators of %d guaranteed to the tenant are claimed",
		d.begunTasks(claim.id), claimTasks, time.Since(acked).Seconds(), claimTasks, guaranteedGPU)
	return errBroken
}

// begunTasks returns how many tasks of a job have begun.
func (d *deployment) begunTasks(id string) int {
	tasks := make(map[string]bool)
	for _, s := range d.startsOf(id, time.Time{}) {
		tasks[s.run.task] = true
	}
	return len(tasks)
}

package main

import (
	"net/http"
	"time"
)

const (
	crashAfter    = time.Second
	crashDowntime = 2 * time.Second
	watchCrashes  = 90 * time.Second
	rackOfCrashes = "r1-1"
	rackCrashes   = 2
	rackDowntime  = 1500 * time.Millisecond
	rackUptime    = 3500 * time.Millisecond
)

// playCrashing crashes the runner under a task a second after each of its starts. No run of the
// task ends as failed, so its job must not be shown as failed.
func playCrashing(d *deployment, trouble bool) error {
	j := &job{id: "5c0e7a21d94b36f8", tenant: tenants[1], queue: sweepQueue}
	if err := d.submit(j, work{takes: 20 * time.Second}, jobBody(step(1, 2800, 4100, 8, 20000))); err != nil {
		return err
	}
	crashed := 0
	for start := time.Now(); time.Since(start) < watchCrashes; time.Sleep(50 * time.Millisecond) {
		starts := d.startsOf(j.id, time.Time{})
		if trouble && len(starts) > crashed && time.Since(starts[len(starts)-1].at) > crashAfter {
			crashed = len(starts)
			d.crashRunners(d.runnersOf(j.id))
		}
		switch state := d.state(d.instances[0], j); state {
		case "failed":
			ends, _ := d.endCounts()
			d.record.say("LOST: job %s is shown as failed after %d starts; ends of its runs: %v", j.id, len(starts), ends)
			return errBroken
		case "completed":
			return nil
		}
	}
	return nil
}

// crashRunners crashes the runners that are up, and starts them again later.
func (d *deployment) crashRunners(list []*runner) {
	for _, r := range list {
		if r.isGone() {
			continue
		}
		r.crash()
		time.AfterFunc(crashDowntime, func() {
			if err := r.restart(); err != nil {
				d.record.printf("%v", err)
			}
		})
	}
}

// playRack crashes the runners of a rack twice while a job fills them. A job that requires the rack
// has to start once they are back.
func playRack(d *deployment, trouble bool) error {
	filler := &job{id: "a1b2c3d4e5f60700", tenant: tenants[0], queue: sweepQueue}
	filling := step(8, 2800, 4100, 8, 60000)
	filling["requires"] = rackOfCrashes
	if err := d.submit(filler, work{need: need{2800, 4100, 8}, takes: time.Minute}, jobBody(filling)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for range rackCrashes {
			for _, r := range d.allRunners() {
				if r.rack == rackOfCrashes {
					r.crash()
				}
			}
			time.Sleep(rackDowntime)
			if err := d.restartRunners(); err != nil {
				return err
			}
			time.Sleep(rackUptime)
		}
	}
	status, _ := d.call(d.instances[0], http.MethodDelete, filler.queue.prefix+filler.id, filler.tenant, nil)
	d.record.printf("DELETE %s%s: %d", filler.queue.prefix, filler.id, status)
	time.Sleep(rackDowntime)
	j := &job{id: "5c0e7a21d94b36f8", tenant: tenants[1], queue: urgentQueue, spec: jobSpec{steps: []stepSpec{{count: 3, need: urgentNeed, requires: rackOfCrashes}}}}
	if err := d.submit(j, work{need: urgentNeed, takes: 2500 * time.Millisecond}, j.spec.body(false, 2500*time.Millisecond)); err != nil {
		return err
	}
	sent := time.Now()
	err := d.checkLost([]*job{j}, sent)
	for _, s := range d.startsOf(j.id, time.Time{}) {
		d.record.printf("%s starts %.1f s after it was sent", s.run.task, s.at.Sub(sent).Seconds())
	}
	return err
}

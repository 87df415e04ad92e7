package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// outageTime is how long the store answers nobody; the site has 4.5 s (platform_down).
	outageTime = 4500 * time.Millisecond
	// lostRunners is the most runners that crash: a share of 0.17 of 48 (node_cut, servers reborn).
	lostRunners  = 8
	outageJobs   = 4
	watchOutage  = 30 * time.Second
	runnerReborn = 5500 * time.Millisecond
)

// playOutage ends jobs while the store answers nobody, and then loses the processes of the system
// and some runners. A job that was shown as completed must not start again.
func playOutage(d *deployment, trouble bool) error {
	var jobs []*job
	for n := range outageJobs {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b36%02x", n), tenant: tenants[n%len(tenants)], queue: urgentQueue}
		jobs = append(jobs, j)
		gang := step(2, 3700, 9800, 8, 2500)
		gang["gang"] = true
		if err := d.submit(j, work{takes: 2500 * time.Millisecond}, jobBody(gang)); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	silentFrom := time.Now()
	if trouble {
		d.record.printf("the store answers nobody for %s", outageTime)
		d.store.silence(outageTime)
	}
	var clients sync.WaitGroup
	for _, j := range jobs {
		clients.Go(func() { d.awaitCompleted(j, 3200*time.Millisecond) })
	}
	clients.Wait()
	calmSince := time.Now()
	if trouble {
		if err := d.loseAll(jobs); err != nil {
			return err
		}
		calmSince = time.Now()
		if back := silentFrom.Add(outageTime); back.After(calmSince) {
			calmSince = back
		}
	}
	time.Sleep(runnerReborn)
	if trouble {
		if err := d.restartRunners(); err != nil {
			return err
		}
	}
	time.Sleep(watchOutage - runnerReborn)
	for _, j := range jobs {
		d.record.printf("job %s is shown as %s at the end", j.id, d.state(d.instances[0], j))
	}
	return d.checkTwice(jobs, calmSince)
}

// loseAll kills all processes of the system at the same moment, starts them again, and crashes
// runners of the jobs.
func (d *deployment) loseAll(jobs []*job) error {
	lost := 0
	for _, j := range jobs {
		for _, r := range d.runnersOf(j.id) {
			if lost < lostRunners && !r.isGone() {
				r.crash()
				lost++
			}
		}
	}
	var kills sync.WaitGroup
	for _, i := range d.instances {
		kills.Go(i.kill)
	}
	kills.Wait()
	time.Sleep(restartDelay)
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// restartRunners starts the next lives of the runners that have crashed.
func (d *deployment) restartRunners() error {
	for _, r := range d.allRunners() {
		if r.isGone() {
			if err := r.restart(); err != nil {
				return err
			}
		}
	}
	return nil
}

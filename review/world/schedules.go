package main

import (
	"fmt"
	"time"
)

const (
	// The scheduled jobs come at the usual rate of all traffic. Each runs every quarter of an hour for
	// ten days, from an hour on; without the disruption eight times.
	schedules     = 280
	longRepeats   = 1000
	shortRepeats  = 8
	interval      = 15 * time.Minute
	schedulePause = 195 * time.Millisecond
)

// playSchedules hands in scheduled jobs whose first time is an hour away, and then small ones,
// which have to run.
func playSchedules(d *deployment, trouble bool) error {
	repeats := shortRepeats
	if trouble {
		repeats = longRepeats
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		d.limitMemory(stop)
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for n := range schedules {
		j := &job{id: fmt.Sprintf("a1b2c3d4e5f6%04x", n), tenant: tenants[n%len(tenants)], queue: sweepQueue}
		j.spec = jobSpec{
			steps:   []stepSpec{{count: 1, need: laterNeed}, {count: 1, need: laterNeed, after: []int{0}}, {count: 1, need: laterNeed, after: []int{1}}},
			repeats: repeats, startAt: time.Now().Add(time.Hour), interval: interval,
		}
		if err := d.submit(j, work{need: laterNeed, takes: 2 * time.Second}, j.spec.body(false, 2*time.Second)); err != nil {
			return err
		}
		time.Sleep(schedulePause)
	}
	var jobs []*job
	for n := range 4 {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b36%02x", n), tenant: tenants[n%len(tenants)], queue: urgentQueue}
		j.spec = jobSpec{steps: []stepSpec{{count: 3, need: urgentNeed}}}
		if err := d.submit(j, work{need: urgentNeed, takes: 2500 * time.Millisecond}, j.spec.body(false, 2500*time.Millisecond)); err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	err := d.checkLost(jobs, time.Now())
	for _, i := range d.instances {
		kills, peak := i.memoryUse()
		d.record.printf("%s: %d ends for memory over %d MB, %d MB at most", i.name, kills, memoryMB, peak)
	}
	return err
}

// limitMemory kills processes over the memory of their machine and starts them again, as the
// platform does.
func (d *deployment) limitMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, i := range d.instances {
			if used := i.memory(); used > memoryMB {
				d.record.printf("process %s uses %d MB", i.name, used)
				i.kill()
				time.Sleep(restartDelay)
				if err := i.start(); err != nil {
					d.record.printf("%v", err)
				}
			}
		}
	}
}

package main

import (
	"fmt"
	"time"
)

// The bounds of rule LOST.
const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second
	watchTime  = 25 * time.Second
)

// stepSpec is a step of a job as the check needs it.
type stepSpec struct {
	count int
	cpu   int64
	after []int
}

// jobSpec is what a client has handed in.
type jobSpec struct {
	steps    []stepSpec
	repeats  int
	startAt  time.Time
	interval time.Duration
}

// body returns the body of the job on the wire.
func (s *jobSpec) body(checkpointing bool, estimate time.Duration) map[string]any {
	var steps []map[string]any
	for _, step := range s.steps {
		wire := map[string]any{"count": step.count, "cpu": step.cpu, "memMb": 200, "estimateMs": estimate.Milliseconds()}
		if checkpointing {
			wire["checkpointing"] = true
		}
		if len(step.after) > 0 {
			wire["after"] = step.after
		}
		steps = append(steps, wire)
	}
	body := map[string]any{"spec": "particle size match of a powder lot", "steps": steps}
	if s.repeats > 0 {
		body["repeats"], body["startAtMs"], body["intervalMs"] = s.repeats, s.startAt.UnixMilli(), s.interval.Milliseconds()
	}
	return body
}

// turnCome returns the name of a task that may run now and has not ended as done, or "".
func (s *jobSpec) turnCome(id string, done map[string]bool, now time.Time) string {
	for k := range max(s.repeats, 1) {
		if s.repeats > 0 && now.Before(s.startAt.Add(time.Duration(k)*s.interval)) {
			break
		}
		open := make([]string, len(s.steps))
		for n, step := range s.steps {
			for index := range step.count {
				if task := fmt.Sprintf("%s.%d.%d.%d", id, k, n, index); !done[task] {
					open[n] = task
					break
				}
			}
			blocked := false
			for _, before := range step.after {
				blocked = blocked || open[before] != ""
			}
			if open[n] != "" && !blocked {
				return open[n]
			}
		}
	}
	return ""
}

// lostCheck watches one job for rule LOST.
type lostCheck struct {
	job       *job
	idleSince time.Time
}

// observe returns the task that has waited for idleTime with nothing of its job running while less
// than half of the capacity was in use and the task's need was free twice over, or "", and the cores in
// use.
func (c *lostCheck) observe(d *deployment, now time.Time) (task string, coresInUse int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	coresInUse = d.cpuInUse / 1000
	task = c.job.spec.turnCome(c.job.id, d.done, now)
	if task == "" || d.running[c.job.id] > 0 || d.cpuInUse*2 >= runnerCount*runnerCPU {
		c.idleSince = time.Time{}
		return "", coresInUse
	}
	if c.idleSince.IsZero() {
		c.idleSince = now
	}
	if now.Sub(c.idleSince) <= idleTime {
		return "", coresInUse
	}
	return task, coresInUse
}

// checkLost watches the jobs from finishTime after the end of the traffic on.
func (d *deployment) checkLost(jobs []*job, trafficEnd time.Time) error {
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	var checks []*lostCheck
	for _, j := range jobs {
		checks = append(checks, &lostCheck{job: j})
	}
	found := make(map[string]bool)
	for start := time.Now(); time.Since(start) < watchTime; time.Sleep(50 * time.Millisecond) {
		for _, c := range checks {
			if task, coresInUse := c.observe(d, time.Now()); task != "" && !found[c.job.id] {
				found[c.job.id] = true
				d.record.say("LOST: job %s has had nothing running for %s, the turn of %s has come, %d of %d cores are in use",
					c.job.id, idleTime, task, coresInUse, runnerCount*runnerCPU/1000)
			}
		}
	}
	ends, noted := d.endCounts()
	d.record.printf("ends that runners have listed: %v; taken note of: %d", ends, noted)
	for _, j := range jobs {
		d.record.printf("job %s is shown as %s at the end", j.id, d.state(d.instances[0], j))
	}
	if len(found) > 0 {
		return errBroken
	}
	return nil
}

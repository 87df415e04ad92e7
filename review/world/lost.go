package main

import (
	"fmt"
	"math"
	"time"
)

// The bounds of rule LOST.
const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second
	watchTime  = 25 * time.Second
)

// need is what a task occupies on a runner, or what a runner has.
type need struct{ cpu, memMB, gpu int64 }

// runnerCapacity is what each runner has.
var runnerCapacity = need{32000, 65536, 8}

func (n need) plus(other need, times int64) need {
	return need{n.cpu + times*other.cpu, n.memMB + times*other.memMB, n.gpu + times*other.gpu}
}

// holds returns how many times another need fits into n.
func (n need) holds(other need) int64 {
	times := int64(math.MaxInt64)
	for _, pair := range [][2]int64{{n.cpu, other.cpu}, {n.memMB, other.memMB}, {n.gpu, other.gpu}} {
		if pair[1] > 0 {
			times = min(times, max(pair[0], 0)/pair[1])
		}
	}
	return times
}

// halfOf reports whether n is half of a capacity or more, in any part.
func (n need) halfOf(capacity need) bool {
	return 2*n.cpu >= capacity.cpu || 2*n.memMB >= capacity.memMB || 2*n.gpu >= capacity.gpu
}

// stepSpec is a step of a job.
type stepSpec struct {
	count    int
	need     need
	after    []int
	requires string
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
		wire := map[string]any{"count": step.count, "cpu": step.need.cpu, "memMb": step.need.memMB, "estimateMs": estimate.Milliseconds()}
		if step.need.gpu > 0 {
			wire["gpu"] = step.need.gpu
		}
		if step.requires != "" {
			wire["requires"] = step.requires
		}
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

// turnCome returns the name and the step of a task that may run now and has not ended as done, or "".
func (s *jobSpec) turnCome(id string, done map[string]bool, now time.Time) (string, *stepSpec) {
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
				return open[n], &s.steps[n]
			}
		}
	}
	return "", nil
}

// lostCheck watches one job for rule LOST.
type lostCheck struct {
	job       *job
	idleSince time.Time
}

// observe returns the task that has waited for idleTime with nothing of its job running while less
// than half of the capacity was in use and there was capacity for it twice over, or "", and the
// cores in use.
func (c *lostCheck) observe(d *deployment, now time.Time) (task string, coresInUse int64) {
	up := d.allRunners()
	d.mu.Lock()
	defer d.mu.Unlock()
	task, step := c.job.spec.turnCome(c.job.id, d.done, now)
	var used, capacity need
	var fits int64
	for _, r := range up {
		if r.isGone() {
			continue
		}
		used, capacity = used.plus(d.used[r.id], 1), capacity.plus(runnerCapacity, 1)
		if task != "" && (step.requires == "" || step.requires == r.rack) {
			fits += runnerCapacity.plus(d.used[r.id], -1).holds(step.need)
		}
	}
	coresInUse = used.cpu / 1000
	if task == "" || d.running[c.job.id] > 0 || used.halfOf(capacity) || fits < 2 {
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
					c.job.id, idleTime, task, coresInUse, runnerCount*runnerCapacity.cpu/1000)
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

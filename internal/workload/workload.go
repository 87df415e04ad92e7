// Package workload defines the data model of deployment-wide scheduling: jobs with
// steps and tasks, workers, and the configuration that applies to both. It also
// defines the interfaces to the store, the workers and the placement advisor. It
// contains no scheduling decisions and no network code.
package workload

import (
	"slices"
	"time"
)

// Resources is the amount that a task occupies on a worker or that a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other. Fields may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Contains reports whether need fits into r.
func (r Resources) Contains(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// CountFitting returns how many times need fits into r, limited to limit.
func (r Resources) CountFitting(need Resources, limit int64) int64 {
	n := limit
	for _, pair := range [][2]int64{{r.MilliCPU, need.MilliCPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			n = min(n, max(pair[0], 0)/pair[1])
		}
	}
	return n
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is the resources that each task occupies.
	Need Resources `json:"need"`
	// EstimateMS is the declared run time of a task. It is often inaccurate.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists the indexes of the steps that must be completed successfully before
	// this one starts.
	After []int `json:"after,omitempty"`
	// Checkpoints reports whether a stopped task can resume from its checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang reports whether the tasks must run at the same time and end together.
	Gang bool `json:"gang,omitempty"`
	// RackSensitive reports whether tasks spread over several racks are slower by the
	// remote factor.
	RackSensitive bool `json:"one_rack,omitempty"`
	// Label is a label that the worker must have, if set.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data. Tasks on other racks are slower by the
	// remote factor.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker. Zero means no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative allows speculative copies: several concurrent runs of one task, of which
	// the first to complete counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the name of the program that the tasks run. Tasks of one image behave
	// alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail response time objective of a long-running task.
	TargetMS int64 `json:"target_ms,omitempty"`
	// BestEffort marks best-effort tasks, whose processor time is not counted against
	// the worker's capacity: they use what other tasks leave.
	BestEffort bool `json:"scavenges,omitempty"`
	// MaxUnavailable limits the long-running tasks that the scheduler itself may make
	// unavailable at the same time.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// CountedResources returns the resources that a task of the step takes from a worker's
// capacity.
func (s *Step) CountedResources() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID string `json:"id"`
	// Queue is the name of the queue that the job was submitted to.
	Queue string `json:"queue"`
	// Account is the client account that submitted the job.
	Account string `json:"account,omitempty"`
	// AcceptedMS is the time of acceptance on the accepting instance's clock, in
	// milliseconds since 1970. Clocks differ between instances, so that it is used only
	// to order jobs and to estimate the age of a job, within a plausible range.
	AcceptedMS int64  `json:"accepted_ms"`
	Spec       string `json:"spec,omitempty"`
	Steps      []Step `json:"steps"`
	// OccurrenceCount is the number of occurrences. Zero means one, due immediately.
	OccurrenceCount int `json:"times,omitempty"`
	// FirstDueMS is the due time of the first occurrence, in milliseconds since 1970.
	FirstDueMS int64 `json:"first_ms,omitempty"`
	// IntervalMS is the interval between occurrences.
	IntervalMS int64 `json:"every_ms,omitempty"`
	// Terms are those of the queue at acceptance. Rows written by instances that do not know them have
	// none.
	Terms *QueueTerms `json:"terms,omitempty"`
}

// QueueTerms are the terms of a queue under which its jobs run. A job keeps them when a later
// configuration lacks its queue.
type QueueTerms struct {
	Pool          string         `json:"pool"`
	Priority      int            `json:"priority,omitempty"`
	Attempts      int            `json:"attempts,omitempty"`
	LatencyFactor float64        `json:"latency_factor,omitempty"`
	GracePeriodMS int64          `json:"grace_ms,omitempty"`
	Advice        *AdvisorTiming `json:"advice,omitempty"`
}

// Terms returns the terms of the queue.
func (q *Queue) Terms() *QueueTerms {
	return &QueueTerms{q.Pool, q.Priority, q.Attempts, q.LatencyFactor, q.GracePeriodMS, q.Advice}
}

// queue returns a queue with the terms, which takes no jobs.
func (t *QueueTerms) queue(name string) *Queue {
	return &Queue{
		Name: name, Pool: t.Pool, Priority: t.Priority, Attempts: t.Attempts, LatencyFactor: t.LatencyFactor,
		GracePeriodMS: t.GracePeriodMS, Advice: t.Advice,
	}
}

// AcceptedQueue returns the queue of the job as it was at acceptance, or nil if that is not known.
func (j *Job) AcceptedQueue() *Queue {
	if j.Terms == nil {
		return nil
	}
	return j.Terms.queue(j.Queue)
}

// Occurrences returns the number of times that the steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.OccurrenceCount, 1) }

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Queue is a queue that jobs are submitted to, with the settings of its jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue by the host and the start of the path of a
	// request.
	Host, Prefix string
	// Public queues require no key.
	Public bool
	// Pool is the name of the worker pool that runs the queue's tasks.
	Pool string
	// Priority orders queues. 0 is the most urgent and may preempt others.
	Priority int
	// Attempts is the number of failed attempts of a task or a gang after which its job
	// fails. Values below 1 count as 1. Failures of long-running tasks are not counted.
	Attempts int
	// LatencyFactor and GracePeriodMS define the latency objective of a job:
	// LatencyFactor times the duration of its critical path, plus GracePeriodMS.
	LatencyFactor float64
	GracePeriodMS int64
	// TimeoutMS limits the duration of a call.
	TimeoutMS int64
	// Advice is set if the placement advisor must allow each worker, and nil
	// otherwise.
	Advice *AdvisorTiming
}

// AdvisorTiming contains the decision time of the placement advisor, per request and per
// worker in the request, and the validity of its tickets.
type AdvisorTiming struct {
	DecisionMS, PerItemMS, ValidityMS int64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed is the capacity that the account's most urgent jobs are entitled to
	// at all times.
	Guaranteed Resources
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	// Pools lists the worker pools. Workers of other pools are not used.
	Pools []string
	// MaxBodyBytes limits a request body. Zero means that the configuration sets no
	// limit.
	MaxBodyBytes int64
	accountByKey map[string]string
	queueByName  map[string]*Queue
}

// Index builds the lookup tables. Call it once, before the configuration is shared.
func (c *Configuration) Index() {
	c.accountByKey = make(map[string]string)
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			c.accountByKey[key] = account.Name
		}
	}
	c.queueByName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.queueByName[c.Queues[i].Name] = &c.Queues[i]
	}
}

// AccountOf returns the name of the client account that a key belongs to.
func (c *Configuration) AccountOf(key string) (string, bool) {
	name, ok := c.accountByKey[key]
	return name, ok
}

// HasPool reports whether a pool is listed in Pools or used by a queue.
func (c *Configuration) HasPool(name string) bool {
	return slices.Contains(c.Pools, name) || slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Pool == name })
}

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(name string) *Queue { return c.queueByName[name] }

// Guaranteed returns the capacity guaranteed to an account.
func (c *Configuration) Guaranteed(account string) Resources {
	for i := range c.Accounts {
		if c.Accounts[i].Name == account {
			return c.Accounts[i].Guaranteed
		}
	}
	return Resources{}
}

// Worker is one incarnation of a machine that runs tasks, as listed by the platform.
type Worker struct {
	// ID identifies the worker. A restarted worker has a different ID, or the same ID
	// with a higher Incarnation.
	ID string `json:"id"`
	// Incarnation is the start time of this incarnation, or 0 if the platform does not
	// report it.
	Incarnation int64 `json:"incarnation,omitempty"`

	Addr string `json:"addr"`
	Pool string `json:"pool"`
	Zone string `json:"zone,omitempty"`
	// Rack is one of the labels, or empty if the worker has none.
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"room"`
	// Leaving workers get no new tasks.
	Leaving bool `json:"leaving,omitempty"`
	// LeavesInMS is the minimum time until the worker leaves, if the worker reports it.
	LeavesInMS int64 `json:"leaves_in_ms,omitempty"`
}

// HasLabel reports whether the worker has a label. It returns true for the empty label.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Bounds contains the deployment's fixed times and factors.
type Bounds struct {
	// MaxLease is the maximum duration of a lease that a worker grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a task.
	MaxStopTime time.Duration
	// MaxReclaimTime is the maximum time until guaranteed capacity is available.
	MaxReclaimTime time.Duration
	// StatusRetention is how long the state of an ended job can be queried.
	StatusRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer outside its rack.
	RemoteFactor float64
}

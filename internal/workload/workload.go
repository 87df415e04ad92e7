// Package workload holds the nouns of deployment-wide scheduling: jobs of steps
// of tasks, the workers that run them, and the configuration that governs both.
// Nothing here decides or speaks to a network.
package workload

import (
	"slices"
	"time"
)

// Resources are what one task occupies on a worker, or what a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r less other; fields may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Holds reports whether need fits into r.
func (r Resources) Holds(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Fits returns how many times need fits into r, at most limit.
func (r Resources) Fits(need Resources, limit int64) int64 {
	n := limit
	for _, pair := range [][2]int64{{r.MilliCPU, need.MilliCPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			n = min(n, max(pair[0], 0)/pair[1])
		}
	}
	return n
}

// Step is a group of like tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is what each task occupies.
	Need Resources `json:"need"`
	// EstimateMS is the declared run time of a task; it is often far off.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists the steps of which every task must have ended done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a stopped task can go on where it was saved.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks work only together and end together.
	Gang bool `json:"gang,omitempty"`
	// OneRack says that tasks on several racks are slower by the remote factor.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is one that the worker must carry, if set.
	Label string `json:"label,omitempty"`
	// DataRack is where the data lies; elsewhere tasks are slower by the
	// remote factor.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero is no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Copies allows several runs of one task at once; the first done counts.
	Copies bool `json:"copies,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks run: tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail response time that a lasting task should keep.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Scavenges says that the step's processor time is not counted on the
	// worker: it gets what other tasks leave.
	Scavenges bool `json:"scavenges,omitempty"`
	// MaxAway bounds the lasting tasks that may be away by our own doing.
	MaxAway int `json:"max_away,omitempty"`
}

// Counted is what a task of the step takes from a worker's room.
func (s *Step) Counted() Resources {
	need := s.Need
	if s.Scavenges {
		need.MilliCPU = 0
	}
	return need
}

// Job is an accepted job. It does not change after it was accepted.
type Job struct {
	ID string `json:"id"`
	// Queue is the name of the queue that took it.
	Queue string `json:"queue"`
	// Account is the client account that sent it.
	Account string `json:"account,omitempty"`
	// AcceptedMS is when it was accepted, by the accepting instance's clock, in
	// milliseconds since 1970. It orders jobs and is no truth about time.
	AcceptedMS int64  `json:"accepted_ms"`
	Spec       string `json:"spec,omitempty"`
	Steps      []Step `json:"steps"`
	// Times is how often the steps run; zero is once, at once.
	Times int `json:"times,omitempty"`
	// FirstMS is when the first occurrence is due, in milliseconds since 1970.
	FirstMS int64 `json:"first_ms,omitempty"`
	// EveryMS is the time between occurrences.
	EveryMS int64 `json:"every_ms,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// TaskID names one task of one occurrence.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name string
	// Host and Prefix select the queue: the host and the start of the path.
	Host, Prefix string
	// Public queues need no key.
	Public bool
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the most urgent and may preempt others.
	Priority int
	// Attempts is how often a task, or a gang, may fail.
	Attempts int
	// Stretch and GraceMS make the latency objective of a job: Stretch times
	// its longest chain of work, and GraceMS more.
	Stretch float64
	GraceMS int64
	// TimeoutMS bounds a call.
	TimeoutMS int64
	// Advice says that a placement advisor allows each worker, or nil.
	Advice *Advice
}

// Advice is how long the placement advisor takes and how long its word holds.
type Advice struct {
	DecisionMS, PerItemMS, ValidityMS int64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed is what belongs to the account's most urgent jobs at all times.
	Guaranteed Resources
}

// Configuration is one version of what operators decide.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	// Pools are the pools of workers that there are. Workers of others are not used.
	Pools []string
	// MaxBodyBytes bounds a request body; zero is no bound of its own.
	MaxBodyBytes int64
	accountByKey map[string]string
	queueByName  map[string]*Queue
}

// Index prepares look-ups. Call it once, before the configuration is shared.
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

// AccountOf returns the client account that a key belongs to.
func (c *Configuration) AccountOf(key string) (string, bool) {
	name, ok := c.accountByKey[key]
	return name, ok
}

// HasPool reports whether there is a pool of a name: one of its own, or a queue's.
func (c *Configuration) HasPool(name string) bool {
	return slices.Contains(c.Pools, name) || slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Pool == name })
}

// Queue returns the queue of a name, or nil.
func (c *Configuration) Queue(name string) *Queue { return c.queueByName[name] }

// Guaranteed returns what is guaranteed to an account.
func (c *Configuration) Guaranteed(account string) Resources {
	for i := range c.Accounts {
		if c.Accounts[i].Name == account {
			return c.Accounts[i].Guaranteed
		}
	}
	return Resources{}
}

// Worker is one life of a machine that runs tasks, as the platform lists it.
type Worker struct {
	// ID names this life; a restarted worker has another.
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Pool string `json:"pool"`
	Zone string `json:"zone,omitempty"`
	// Rack is one of the labels; empty if the worker names none.
	Rack   string    `json:"rack,omitempty"`
	Labels []string  `json:"labels,omitempty"`
	Room   Resources `json:"room"`
	// Leaving workers get nothing new.
	Leaving bool `json:"leaving,omitempty"`
	// LeavesInMS is the least time that is left, where the worker says so.
	LeavesInMS int64 `json:"leaves_in_ms,omitempty"`
}

// Has reports whether the worker carries a label; the empty one always.
func (w *Worker) Has(label string) bool {
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

// Bounds are the deployment's fixed times and factors.
type Bounds struct {
	// LongestLease is the longest lease that a worker grants.
	LongestLease time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// Reclaim is the bound within which guaranteed capacity is there.
	Reclaim time.Duration
	// StatusKept is how long the state of an ended job can be asked for.
	StatusKept time.Duration
	// RemoteFactor is how much longer a task takes away from its rack.
	RemoteFactor float64
}

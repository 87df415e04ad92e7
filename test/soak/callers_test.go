package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// queue is a queue of the configuration.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
	stretch      float64
	target       int
}

const queueHost = "queues.example"

var (
	queues   = []queue{{"urgent", "/urgent/", 0, 3, 1.5, 250}, {"sweep", "/sweep/", 2, 4, 3, 3000}}
	accounts = []string{"north", "south", "east", "west"}
)

// configuration returns a version of the operators' configuration.
func configuration(version int) []byte {
	var routes, tenants []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "prefix": q.prefix, "service": pool, "priority": q.priority, "attempts": q.attempts,
			"stretch": q.stretch, "targetDurationMs": q.target + 50*(version%3), "timeoutMs": 3000,
		})
	}
	if version%2 == 1 {
		routes = append(routes, map[string]any{"name": "extra", "host": queueHost, "prefix": "/extra/", "service": pool, "priority": 1, "attempts": 2, "stretch": 2})
	}
	for _, name := range accounts {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{"key-" + name}, "guaranteed": map[string]int{"gpu": 32}})
	}
	data, _ := json.Marshal(map[string]any{ // plain values
		"version": 3 + 2*version, "routes": routes, "services": []map[string]any{{"name": pool}}, "tenants": tenants, "limits": map[string]int{"maxBodyBytes": 262144},
	})
	return data
}

// job is a job, and what its caller has seen. The mutex of the play's record guards what changes.
type job struct {
	ID             string
	At             time.Duration
	Steps          []stepPlan
	account, queue int
	cancelAfter    time.Duration // zero: never
	againAfter     time.Duration // zero: not handed in again
	draw           uint64

	accepted time.Time // zero: no 2xx
	// refusedOnly is set while all answers said that it was not accepted.
	refusedOnly bool
	cancelSent  time.Time
	cancelled   time.Time // when the cancellation was acknowledged
	final       string
	finalAt     time.Time
	last        string // the state that was seen last
}

func (j *job) spec() string { return "work of " + j.ID }

func (j *job) body() []byte {
	var steps []map[string]any
	for n, s := range j.Steps {
		step := map[string]any{"count": s.Count, "cpu": s.need.cpu, "memMb": s.need.memMB, "gpu": s.need.gpu, "estimateMs": s.Takes.Milliseconds()}
		if s.Gang {
			step["gang"] = true
		}
		if s.Checkpoints {
			step["checkpointing"] = true
		}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	data, _ := json.Marshal(map[string]any{"spec": j.spec(), "steps": steps}) // plain values
	return data
}

const (
	callTimeout  = 3 * time.Second
	retryPause   = 300 * time.Millisecond
	askPause     = 250 * time.Millisecond
	asksWhenDone = 4
)

// caller hands in jobs and asks for their states. It keeps its connections.
type caller struct {
	play   *play
	client *http.Client
	jobs   sync.WaitGroup
}

func newCaller(p *play) *caller {
	return &caller{play: p, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call returns the status, zero without an answer, and the state in the answer.
func (c *caller) call(i *instance, method string, j *job, body []byte) (status int, state string) {
	q := queues[j.queue]
	request, err := http.NewRequest(method, "http://"+i.addr(callersPort)+q.prefix+j.ID, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Bearer key-"+accounts[j.account])
	request.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct{ State string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil && method == http.MethodGet {
		return 0, ""
	}
	return response.StatusCode, answer.State
}

// follow plays the caller of one job until its end, or until the play ends.
func (c *caller) follow(j *job) {
	d := drawer{rand.New(rand.NewPCG(j.draw, 1))}
	anywhere := func() *instance {
		if favored := c.play.favored.Load(); favored != nil && d.chance(60) {
			return favored
		}
		return c.play.instances[d.IntN(len(c.play.instances))]
	}
	if !c.submit(j, anywhere) {
		return
	}
	if j.againAfter > 0 {
		c.jobs.Go(func() {
			if c.play.sleep(j.againAfter) {
				c.call(c.play.instances[(j.draw>>8)%uint64(len(c.play.instances))], http.MethodPost, j, j.body())
			}
		})
	}
	if j.cancelAfter > 0 {
		c.jobs.Go(func() { c.cancel(j) })
	}
	for more := asksWhenDone; more > 0 && c.play.sleep(askPause); {
		i, asked := anywhere(), time.Now()
		status, state := c.call(i, http.MethodGet, j, nil)
		if c.play.record.seen(j, i, asked, status, state) {
			more--
		}
	}
}

// submit hands a job in until it is accepted, or until no answer is left that may still come.
func (c *caller) submit(j *job, anywhere func() *instance) bool {
	retriesRefused := j.draw%3 > 0
	refused := true
	for try := 0; try < 15; try++ {
		status, _ := c.call(anywhere(), http.MethodPost, j, j.body())
		c.play.record.mu.Lock()
		c.play.record.count(fmt.Sprintf("hand-ins answered %d", status), 1)
		refused = refused && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		j.refusedOnly = refused
		if status/100 == 2 {
			j.accepted, j.refusedOnly = time.Now(), false
		}
		c.play.record.mu.Unlock()
		switch {
		case status/100 == 2:
			return true
		case refused && !retriesRefused, !c.play.sleep(retryPause):
			return false
		}
	}
	return false
}

func (c *caller) cancel(j *job) {
	if !c.play.sleep(j.cancelAfter) {
		return
	}
	c.play.record.mu.Lock()
	j.cancelSent = time.Now()
	c.play.record.mu.Unlock()
	for {
		i := c.play.instances[rand.IntN(len(c.play.instances))]
		status, _ := c.call(i, http.MethodDelete, j, nil)
		if status/100 == 2 {
			c.play.record.mu.Lock()
			j.cancelled = time.Now()
			c.play.record.count("cancellations", 1)
			c.play.record.mu.Unlock()
		}
		if status/100 == 2 || status == http.StatusGone || !c.play.sleep(retryPause) {
			return
		}
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

const (
	// contact is the time without disturbance after which instances are in touch.
	contact = 3 * time.Second
	// visibleWithin is when each instance knows a job.
	visibleWithin = 3 * time.Second
)

// seen notes a state that a caller was shown, and returns whether the job has ended.
func (c *record) seen(j *job, i *instance, asked time.Time, status int, state string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("states asked", 1)
	calm := c.calm(asked.Add(-contact), time.Now())
	switch {
	case status == http.StatusGone && calm && asked.Sub(j.accepted) > visibleWithin:
		c.findAbout(j.ID, "LOST", "%s says that job %s, accepted %s, doesn't exist", i.name, j.ID, c.at(j.accepted))
	case status != http.StatusOK:
	case j.final != "" && asked.After(j.finalAt) && state != j.final && (isFinal(state) || calm):
		c.findAbout(j.ID, "FINAL", "%s shows job %s as %s, asked %s; it was shown as %s %s", i.name, j.ID, state, c.at(asked), j.final, c.at(j.finalAt))
	case j.final == "" && isFinal(state):
		j.final, j.finalAt = state, time.Now()
	}
	if status == http.StatusOK {
		j.last = state
	}
	return j.final != ""
}

func (c *record) at(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("at %.3f", t.Sub(c.start).Seconds())
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The queues and tenants of the deployment.
const (
	pool      = "order-desk"
	queueHost = "orders.example"
	// guaranteedGPU are the accelerators that are guaranteed to each tenant: a third of all together.
	guaranteedGPU = 32
)

// queue is a queue of the config.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
	stretch      float64
	target       int
}

var (
	urgentQueue = queue{"lot-cert", "/certs/", 0, 3, 1.5, 250}
	sweepQueue  = queue{"spec-match", "/specs/", 2, 4, 3, 3000}
)

var tenants = []string{"serendib", "ruhuna", "kelani", "mahaweli"}

func keyOf(tenant string) string { return "key-of-" + tenant }

// configuration returns the operator's config.
func configuration() map[string]any {
	var routes, accounts []map[string]any
	for _, q := range []queue{urgentQueue, sweepQueue} {
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "prefix": q.prefix, "service": pool, "priority": q.priority, "attempts": q.attempts,
			"stretch": q.stretch, "targetDurationMs": q.target, "timeoutMs": 3000,
		})
	}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{"name": t, "apiKeys": []string{keyOf(t)}, "guaranteed": map[string]int{"gpu": guaranteedGPU}})
	}
	return map[string]any{
		"version": 3, "routes": routes, "services": []map[string]any{{"name": pool}}, "tenants": accounts,
		"limits": map[string]int{"maxBodyBytes": 262144},
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a client's request to an instance and returns the status and the body.
func (d *deployment) call(i *instance, method, path, tenant string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // the bodies are maps of plain values
	}
	request, err := http.NewRequest(method, "http://"+i.addr(callersPort)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Bearer "+keyOf(tenant))
	request.Header.Set("Deadline-Ms", "3000")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer) // not all answers have a body
	return response.StatusCode, answer
}

// job is a job of a client.
type job struct {
	id, tenant string
	queue      queue
	spec       jobSpec
	// shownAt is the time at which the job was first shown as completed.
	shownAt time.Time
}

// submit hands a job in, at one instance after the other until one accepts it.
func (d *deployment) submit(j *job, w work, body map[string]any) error {
	d.setWork(j.id, w)
	for try := range 40 {
		i := d.instances[try%len(d.instances)]
		status, _ := d.call(i, http.MethodPost, j.queue.prefix+j.id, j.tenant, body)
		d.record.printf("POST %s%s at %s: %d", j.queue.prefix, j.id, i.name, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", j.id)
}

// state asks an instance for the state of a job. It returns the status if that isn't 200.
func (d *deployment) state(i *instance, j *job) string {
	status, answer := d.call(i, http.MethodGet, j.queue.prefix+j.id, j.tenant, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	state, _ := answer["state"].(string)
	return state
}

// awaitCompleted asks for a job at all instances until one shows it as completed.
func (d *deployment) awaitCompleted(j *job, limit time.Duration) bool {
	var shown sync.Once
	end := time.Now().Add(limit)
	done := make(chan struct{})
	for _, i := range d.instances {
		go func() {
			last := ""
			for time.Now().Before(end) {
				state := d.state(i, j)
				if state != last {
					d.record.printf("GET %s%s at %s: %s", j.queue.prefix, j.id, i.name, state)
					last = state
				}
				if state == "completed" {
					shown.Do(func() {
						j.shownAt = time.Now()
						close(done)
					})
				}
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

// step returns a step of a job on the wire.
func step(count int, cpu, memMB, gpu, estimateMS int64) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "memMb": memMB, "estimateMs": estimateMS}
	if gpu > 0 {
		s["gpu"] = gpu
	}
	return s
}

func jobBody(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "certificate of a powder lot", "steps": steps}
}

package clients

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/standin"
	platform "github.com/corianderbank/corianderbank/platform/standin"
)

// The settings of the instances under test, which are smaller than those of a machine.
const (
	deploymentMemoryMB    = 96
	deploymentDescriptors = 500
	deploymentBodyBytes   = 262_144
)

var deploymentBounds = bounds{deploymentMemoryMB, deploymentDescriptors}

// deployment is an instance under test beside a second one.
type deployment struct {
	*process
	callers, ready, peers, metrics string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	store := platform.NewStore()
	store.SetTransactionTime(3 * time.Millisecond)
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "limits": map[string]int{"maxBodyBytes": deploymentBodyBytes}, "services": []map[string]any{{"name": "pool"}},
		"routes":  []map[string]any{{"name": "queue", "host": host, "prefix": "/q/", "service": "pool", "priority": 1, "attempts": 3, "stretch": 3, "timeoutMs": 3000}},
		"tenants": []map[string]any{{"name": "account", "apiKeys": []string{"key"}}},
	})
	assert.NilError(t, err)
	store.Put("op", "config", configuration)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	ports, err := standin.FreePorts(8)
	assert.NilError(t, err)
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	var first *deployment
	for n := range 2 {
		d := &deployment{callers: addr(4 * n), ready: addr(4*n + 1), peers: addr(4*n + 2), metrics: addr(4*n + 3)}
		d.process = startWith(t, "deployment", map[string]any{
			"instance": fmt.Sprintf("instance-%d", n), "availability_zone": "zone-1", "seeds": []string{addr(2), addr(6)},
			"store": strings.TrimPrefix(server.URL, "http://"), "memory_mb": deploymentMemoryMB, "descriptors": deploymentDescriptors,
			"listen": map[string]string{"callers": d.callers, "ready": d.ready, "peers": d.peers, "metrics": d.metrics},
		}).listens(d.callers, d.ready, d.peers, d.metrics)
		waitFor(t, "readiness", d.isReady)
		if first == nil {
			first = d
		}
	}
	return first
}

func (d *deployment) isReady() bool {
	return succeeds(http.NewRequest(http.MethodGet, "http://"+d.ready+"/api/ready", http.NoBody))
}

var lastJob atomic.Int64

// newJobPath returns the path of a job that no other client has used.
func newJobPath(int) string { return fmt.Sprintf("/q/%016x", lastJob.Add(1)) }

const step = `{"count":1,"cpu":100,"estimateMs":1000,"memMb":1}`

// steps returns a job of the largest size with a number of steps.
func steps(count int) string {
	list := strings.Repeat(step+",", count-1) + step
	head, tail := `{"spec":"work","steps":[`, `]}`
	return head + list + strings.Repeat(" ", deploymentBodyBytes-len(head)-len(list)-len(tail)) + tail
}

func (d *deployment) acceptsAJob() bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+newJobPath(0), strings.NewReader(`{"spec":"work","steps":[`+step+`]}`))
	if err == nil {
		request.Host = host
		request.Header.Set("Authorization", "Bearer key")
	}
	return succeeds(request, err)
}

// The sizes of the crowds.
const (
	fewConnections  = 150
	someConnections = 400
	manyConnections = 600
)

func TestDeploymentWithstandsLargeBodies(t *testing.T) {
	body := steps(250)
	kinds := bodyKinds(newJobPath, body)
	kinds["jobs of the largest size"] = sends(newJobPath, contentLength(len(body)), body)
	kinds["jobs of too many steps"] = sends(newJobPath, contentLength(len(body)), steps(5000))
	for name, play := range kinds {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			withstands(t, d.process, &crowd{addr: d.callers, play: play}, someConnections, deploymentBounds, d.acceptsAJob)
		})
	}
}

func TestDeploymentWithstandsManyConnections(t *testing.T) {
	callers := func(d *deployment) string { return d.callers }
	ready := func(d *deployment) string { return d.ready }
	peers := func(d *deployment) string { return d.peers }
	metrics := func(d *deployment) string { return d.metrics }
	for name, c := range map[string]struct {
		addr func(*deployment) string
		play client
		size int
	}{
		"headers without an end from callers":  {callers, endlessHeaders, manyConnections},
		"silent callers":                       {callers, silent, manyConnections},
		"counts of jobs that are not read":     {callers, pipelined("/q/"), manyConnections},
		"states of jobs that are not read":     {callers, pipelined("/q/0000000000000001"), manyConnections},
		"headers without an end for readiness": {ready, endlessHeaders, manyConnections},
		"silent connections for readiness":     {ready, silent, manyConnections},
		"headers without an end for metrics":   {metrics, endlessHeaders, manyConnections},
		"metrics that are not read":            {metrics, pipelined("/metrics"), manyConnections},
		"silent connections of peers":          {peers, silent, manyConnections},
		"messages of peers one byte short":     {peers, shortMessages, fewConnections},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			withstands(t, d.process, &crowd{addr: c.addr(d), play: c.play}, c.size, deploymentBounds, func() bool { return d.isReady() && d.acceptsAJob() })
		})
	}
}

func TestDeploymentStopsBesideClientsThatStall(t *testing.T) {
	body := steps(250)
	for name, play := range map[string]client{
		"silent connections":          silent,
		"headers without an end":      endlessHeaders,
		"bodies one byte short":       sends(newJobPath, contentLength(len(body)), body[:len(body)-1]),
		"responses that are not read": pipelined("/q/"),
	} {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			stopsBeside(t, d.process, &crowd{addr: d.callers, play: play}, fewConnections)
		})
	}
}

func TestDeploymentServesABodyOverASlowLine(t *testing.T) {
	d := startDeployment(t)
	assert.Assert(t, servedSlowly(t, d.callers, newJobPath(0), steps(250)))
}

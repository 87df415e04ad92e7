package clients

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// The settings of the entry instances under test, which are smaller than the defaults.
const (
	entryMemoryMB    = 128
	entryConnections = 200
	entryBodyBytes   = 1 << 20
	// entryDescriptors leaves as many descriptors for all else as for callers.
	entryDescriptors = 2 * entryConnections
)

var entryBounds = bounds{entryMemoryMB, entryDescriptors}

// entry is an entry instance under test beside a second one.
type entry struct {
	*process
	addr, peers string
}

func startEntry(t *testing.T) *entry {
	t.Helper()
	ports, err := standin.FreePorts(6)
	assert.NilError(t, err)
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	const zone = "zone-1"
	start(t, "standin", "platform", "--listen", addr(0))
	start(t, "standin", "backend", "--listen", addr(1), "--advertise", addr(1), "--id", "backend-0", "--zone", zone, "--platform", addr(0))
	peers := []settings.Peer{
		{Instance: "entry-0", AvailabilityZone: zone, Addr: addr(2), PeerAddr: addr(3)},
		{Instance: "entry-1", AvailabilityZone: zone, Addr: addr(4), PeerAddr: addr(5)},
	}
	var first *entry
	for n, self := range peers {
		s := settings.Default()
		s.Instance, s.AvailabilityZone, s.Listen, s.PeerListen, s.Platform = self.Instance, zone, self.Addr, self.PeerAddr, addr(0)
		s.Peers = []settings.Peer{peers[1-n]}
		s.Limits.MemoryMB, s.Limits.MaxConnections, s.Limits.MaxBodyBytes = entryMemoryMB, entryConnections, entryBodyBytes
		e := &entry{addr: self.Addr, peers: self.PeerAddr}
		e.process = startWith(t, "serve", s).listens(e.addr, e.peers)
		waitFor(t, "health", func() bool {
			return succeeds(http.NewRequest(http.MethodGet, "http://"+e.addr+"/healthz", http.NoBody))
		})
		if first == nil {
			first = e
		}
	}
	const document = `{"client_accounts": [{"name": "acme"}, {"name": "crowd"}], "rules": [{"name": "all", "when": {}, "then": {"retries": 2}}]}`
	body, err := json.Marshal(api.ConfigApply{Document: json.RawMessage(document)})
	assert.NilError(t, err)
	assert.Assert(t, succeeds(http.NewRequest(http.MethodPost, "http://"+first.addr+"/v1/config", strings.NewReader(string(body)))))
	return first
}

func (e *entry) answersARequest() bool {
	body := `{"account": "acme", "kind": "check", "idempotent": true, "payload": {"work_ms": 1}}`
	return succeeds(http.NewRequest(http.MethodPost, "http://"+e.addr+"/v1/requests", strings.NewReader(body)))
}

// largeRequest is a request of the largest size that a backend server works on for long.
func largeRequest() string {
	const head, tail = `{"account": "crowd", "kind": "check", "idempotent": true, "deadline_ms": 20000, "payload": {"work_ms": 2000, "pad": "`, `"}}`
	return head + strings.Repeat("x", entryBodyBytes-len(head)-len(tail)) + tail
}

// largeJob is a job of the largest size.
func largeJob() string {
	const head = `{"account": "crowd", "kind": "suite", "idempotent": true, "declared_run_s": 60, "shape": {"tasks": 1, "accelerators_per_task": 1}, "payload": {"pad": "`
	const tail = `"}}`
	return head + strings.Repeat("x", entryBodyBytes-len(head)-len(tail)) + tail
}

// largeConfiguration is a configuration of nearly the largest size with as many client accounts as
// fit. It expects a version that is no longer in force, so that it is checked and not applied.
func largeConfiguration(account string) string {
	const tail = `{"name": "last"}], "rules": [{"name": "all", "when": {}, "then": {}}]}}`
	var b strings.Builder
	b.WriteString(`{"expect": 0, "document": {"client_accounts": [`)
	for n := 0; b.Len() < entryBodyBytes-len(tail)-len(account)-10; n++ {
		fmt.Fprintf(&b, account, n)
	}
	return b.String() + tail
}

func TestEntryInstanceWithstandsLargeBodies(t *testing.T) {
	const size = 300
	path := func(path string) func(int) string { return func(int) string { return path } }
	requests, body := path("/v1/requests"), largeRequest()
	kinds := bodyKinds(requests, body)
	kinds["requests of the largest size"] = sends(requests, contentLength(len(body)), body)
	kinds["jobs of the largest size"] = sends(path("/v1/jobs"), contentLength(len(body)), largeJob())
	kinds["jobs one byte short"] = sends(path("/v1/jobs"), contentLength(len(body)), body[:len(body)-1])
	kinds["configurations one byte short"] = sends(path("/v1/config"), contentLength(len(body)), body[:len(body)-1])
	for name, document := range map[string]string{
		"configurations of the largest size": largeConfiguration(`{"name": "account-%d"},`),
		"configurations of many errors":      largeConfiguration(`{"nonsense": %d},`),
	} {
		kinds[name] = sends(path("/v1/config"), contentLength(len(document)), document)
	}
	for name, play := range kinds {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			withstands(t, e.process, &crowd{addr: e.addr, play: play}, size, entryBounds, e.answersARequest)
		})
	}
}

func TestEntryInstanceWithstandsManyConnections(t *testing.T) {
	callers := func(e *entry) string { return e.addr }
	peers := func(e *entry) string { return e.peers }
	for name, c := range map[string]struct {
		addr func(*entry) string
		play client
		size int
	}{
		"headers without an end":           {callers, endlessHeaders, manyConnections},
		"silent connections":               {callers, silent, manyConnections},
		"statuses that are not read":       {callers, pipelined("/v1/status"), manyConnections},
		"metrics that are not read":        {callers, pipelined("/metrics"), manyConnections},
		"silent connections of peers":      {peers, silent, manyConnections},
		"messages of peers one byte short": {peers, shortMessages, fewConnections},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			withstands(t, e.process, &crowd{addr: c.addr(e), play: c.play}, c.size, entryBounds, e.answersARequest)
		})
	}
}

func TestEntryInstanceStopsBesideClientsThatStall(t *testing.T) {
	for name, play := range map[string]client{
		"silent connections":     silent,
		"headers without an end": endlessHeaders,
		"bodies one byte short":  sends(func(int) string { return "/v1/requests" }, contentLength(entryBodyBytes), largeRequest()[:entryBodyBytes-1]),
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			stopsBeside(t, e.process, &crowd{addr: e.addr, play: play}, fewConnections)
		})
	}
}

func TestEntryInstanceServesABodyOverASlowLine(t *testing.T) {
	e := startEntry(t)
	waitFor(t, "answer", e.answersARequest)
	assert.Assert(t, servedSlowly(t, e.addr, "/v1/requests", largeRequest()))
}

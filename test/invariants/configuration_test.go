package invariants

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// configCase is a set of faults for the test of configurations.
type configCase struct {
	// storeFaults is the share of store calls that fail.
	storeFaults float64
	// stale makes some reads of rows return the previous row.
	stale   bool
	kills   int
	freezes int
	// zonePartitions is the number of times a whole zone is cut off from the platform
	// and the other zones.
	zonePartitions int
	outages        int
	planted        protocolFault
}

var configCases = map[string]configCase{
	"concurrent operators":                       {},
	"answers of the store are lost":              {storeFaults: 0.3},
	"reads are stale":                            {stale: true},
	"an instance is replaced":                    {kills: 1},
	"instances are replaced repeatedly":          {kills: 8},
	"an instance freezes":                        {freezes: 1},
	"instances freeze repeatedly":                {freezes: 4},
	"a zone is cut off":                          {zonePartitions: 1},
	"zones are cut off repeatedly":               {zonePartitions: 3},
	"the platform is down":                       {outages: 1},
	"the platform is down twice":                 {outages: 2},
	"replaced while the platform is down":        {outages: 1, kills: 4},
	"lost answers while a zone is cut off":       {storeFaults: 0.3, zonePartitions: 1},
	"everything at once":                         {storeFaults: 0.2, stale: true, kills: 3, freezes: 2, zonePartitions: 1, outages: 1},
	"everything at once, at higher rates":        {storeFaults: 0.3, stale: true, kills: 6, freezes: 4, zonePartitions: 2, outages: 2},
	"stale reads, freezes, concurrent operators": {stale: true, freezes: 4},
}

// The size of a history and the lengths of its phases.
const (
	configZones         = 3
	configNodesPerZone  = 2
	configOperators     = 3
	configProposals     = 6 // per operator
	configFaultTime     = time.Minute
	configFaultFreeTime = 20 * time.Second
	configPollInterval  = 500 * time.Millisecond
)

// TestAcceptedConfigurationHolds runs concurrent operators under faults. It
// checks that an accepted version is never lost, reverted or duplicated, that a
// refused one is never in force, that no instance returns to a lower version,
// and that all instances have the highest version at the end.
func TestAcceptedConfigurationHolds(t *testing.T) {
	forEachCase(t, configCases, 3, func(t *testing.T, test configCase, seed uint64) []string {
		return simulateConfiguration(t, test, seed)
	})
}

func TestConfigurationCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []protocolFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return simulateConfiguration(t, configCase{storeFaults: 0.3, stale: true, planted: fault}, seed)
			})
		})
	}
}

// configWorld is the simulated state of one history.
type configWorld struct {
	test    configCase
	random  *rand.Rand
	service *fake.Platform
	started time.Time
	ctx     context.Context
	loops   sync.WaitGroup
	// operators is done when every operator has its answers.
	operators sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	nodes        []*configNode
	publications []publication
	digests      map[int64]string
	violations   []string
}

// configNode is one process of an instance.
type configNode struct {
	faultyNode
	zone           int
	manager        *config.Manager
	stack          *platform.Stack
	stop           context.CancelFunc
	highestVersion int64
	// partitionedUntil is the time at which the zone's partition from the other
	// zones ends.
	partitionedUntil time.Time
}

// publication is one call of an operator and its result. The times call and
// answer are in nanoseconds since the start of the history.
type publication struct {
	operator     int
	expect       int64
	digest       string
	call, answer int64
	version      int64
	err          error
}

func simulateConfiguration(t *testing.T, test configCase, seed uint64) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &configWorld{
			test: test, random: rand.New(rand.NewPCG(seed, 10)), service: fake.New(), started: time.Now(), ctx: ctx,
			digests: make(map[int64]string),
		}
		faults := rand.New(rand.NewPCG(seed, 11))
		if test.storeFaults > 0 {
			w.service.SetFault(func(fake.Call) fake.Fault { return fake.RandomFault(faults, test.storeFaults) })
		}
		for i := range configZones * configNodesPerZone {
			w.addNode(w.startNode(i/configNodesPerZone, seed+uint64(i)))
		}
		for i := range configOperators {
			operator := rand.New(rand.NewPCG(seed, 20+uint64(i)))
			w.operators.Go(func() { w.runOperator(i, operator) })
		}
		w.scheduleFaults()
		time.Sleep(time.Until(w.started.Add(configFaultTime)))
		w.operators.Wait()
		w.service.SetFault(nil)
		time.Sleep(configFaultFreeTime)
		w.checkFinalState()
		cancel()
		for _, node := range w.nodes {
			node.stop()
			node.stack.Close()
		}
		w.loops.Wait()
		time.Sleep(time.Minute)
		violations = w.violations
	})
	return violations
}

func (w *configWorld) addNode(node *configNode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes, node)
}

func (w *configWorld) startNode(zone int, seed uint64) *configNode {
	node := &configNode{zone: zone}
	link := &platformLink{Platform: w.service, node: &node.faultyNode, fault: w.test.planted, lastRead: make(map[api.Ref]api.Row)}
	if w.test.stale {
		stale := rand.New(rand.NewPCG(seed, 30))
		link.serveStale = func() bool { return stale.IntN(3) == 0 }
	}
	node.stack = platform.NewStack(link)
	node.manager = config.NewManager(config.Options{Tables: node.stack, Objects: link, Check: config.Check})
	ctx, cancel := context.WithCancel(w.ctx)
	node.stop = cancel
	w.loops.Go(func() { node.manager.Run(ctx, configPollInterval) })
	w.loops.Go(func() { w.gossip(ctx, node) })
	return node
}

// gossip offers the versions of the other nodes to the node and checks the
// node's own version.
func (w *configWorld) gossip(ctx context.Context, node *configNode) {
	for ctx.Err() == nil {
		for _, peer := range w.reachablePeers(node) {
			version, digest, document := peer.manager.CurrentDocument()
			if version > 0 && node.awaitAlive() {
				_, err := node.manager.Offer(version, digest, document)
				w.reportIf(err != nil, "offering version %d failed: %v", version, err)
			}
		}
		w.observe(node)
		time.Sleep(configPollInterval / 5)
	}
}

func (w *configWorld) reachablePeers(node *configNode) []*configNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []*configNode
	for _, peer := range w.nodes {
		partitioned := time.Now().Before(node.partitionedUntil) || time.Now().Before(peer.partitionedUntil)
		if peer != node && (peer.zone == node.zone || !partitioned) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// observe checks that the node's version never decreases and that a version is
// the same document everywhere.
func (w *configWorld) observe(node *configNode) {
	version, digest, _ := node.manager.CurrentDocument()
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < node.highestVersion {
		w.violations = append(w.violations, fmt.Sprintf("version went back from %d to %d", node.highestVersion, version))
	}
	node.highestVersion = version
	if recorded, ok := w.digests[version]; ok && recorded != digest {
		w.violations = append(w.violations, fmt.Sprintf("version %d has two different documents", version))
	}
	w.digests[version] = digest
}

func (w *configWorld) reportIf(failed bool, format string, args ...any) {
	if failed {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// runOperator publishes documents, each different from all others.
func (w *configWorld) runOperator(operator int, random *rand.Rand) {
	for n := range configProposals {
		time.Sleep(time.Duration(random.IntN(int(configFaultTime) / configProposals)))
		w.mu.Lock()
		node := w.nodes[random.IntN(len(w.nodes))]
		w.mu.Unlock()
		document := fmt.Sprintf(`{"client_accounts": [{"name": "o%d-%d"}], "rules": [{"name": "all", "when": {}, "then": {}}]}`, operator, n)
		sum := sha256.Sum256([]byte(document))
		p := publication{operator: operator, expect: node.manager.Version(), digest: hex.EncodeToString(sum[:]), call: w.elapsed()}
		ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
		accepted, err := node.manager.Publish(ctx, p.expect, "f", []byte(document))
		cancel()
		p.version, p.err, p.answer = accepted.Version, err, w.elapsed()
		if !node.awaitAlive() {
			// The answer of a process that died does not reach the operator.
			p.err, p.answer = api.NewError(api.KindResultUnknown, "the instance died"), w.elapsed()
		}
		w.mu.Lock()
		w.publications = append(w.publications, p)
		w.mu.Unlock()
	}
}

func (w *configWorld) elapsed() int64 { return int64(time.Since(w.started)) }

func (w *configWorld) scheduleFaults() {
	schedule := func(n int, inject func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range n {
			time.AfterFunc(time.Duration(w.random.IntN(int(configFaultTime)*9/10)), inject)
		}
	}
	pick := func() (int, *configNode) {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := w.random.IntN(len(w.nodes))
		return i, w.nodes[i]
	}
	schedule(w.test.kills, func() {
		i, node := pick()
		node.kill()
		node.stop()
		go node.stack.Close()
		replacement := w.startNode(node.zone, uint64(i))
		w.mu.Lock()
		w.nodes[i] = replacement
		w.mu.Unlock()
	})
	schedule(w.test.freezes, func() {
		_, node := pick()
		node.freeze(8 * time.Second)
	})
	schedule(w.test.zonePartitions, func() {
		_, chosen := pick()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, node := range w.nodes {
			if node.zone == chosen.zone {
				node.cutOff(15 * time.Second)
				node.partitionedUntil = time.Now().Add(15 * time.Second)
			}
		}
	})
	schedule(w.test.outages, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, node := range w.nodes {
			node.cutOff(10 * time.Second)
		}
	})
}

// checkFinalState compares the history kept by the store with the answers that
// operators got and the versions that the nodes have in force, and checks that
// the changes of the head are linearizable.
func (w *configWorld) checkFinalState() {
	reader := config.NewManager(config.Options{Tables: w.service, Objects: w.service})
	history, err := reader.History(w.ctx)
	w.reportIf(err != nil, "history: %v", err)
	stored := make(map[string]int64)
	for i, entry := range history {
		w.reportIf(entry.Version != int64(i+1), "version %d is at position %d", entry.Version, i+1)
		stored[entry.Digest] = entry.Version
	}
	for _, p := range w.publications {
		version, present := stored[p.digest]
		w.reportIf(p.err == nil && version != p.version, "operator %d had version %d accepted, but it is lost", p.operator, p.version)
		w.reportIf(p.err != nil && !api.IsKind(p.err, api.KindResultUnknown) && present, "operator %d was refused (%v), but version %d is in force", p.operator, p.err, version)
	}
	for i, node := range w.nodes {
		version := node.manager.Version()
		w.reportIf(version != int64(len(history)), "node %d has version %d in force, but the head is %d", i, version, len(history))
	}
	result := porcupine.CheckOperationsTimeout(headModel.ToModel(), w.operations(int64(len(history))), time.Minute)
	w.reportIf(result != porcupine.Ok, "the head's history is not linearizable: %v", result)
}

// operations returns the history for porcupine. An operation that may still
// take effect has no end.
func (w *configWorld) operations(head int64) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, p := range w.publications {
		end := p.answer
		if api.IsKind(p.err, api.KindResultUnknown) {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: p.operator, Input: p, Call: p.call, Return: end})
	}
	// The calls of a client must not overlap, so each operation gets a client
	// of its own: an unresolved one never ends.
	for i := range operations {
		operations[i].ClientId = i
	}
	final := publication{version: head, operator: -1}
	return append(operations, porcupine.Operation{ClientId: len(operations), Input: final, Call: w.elapsed(), Return: w.elapsed() + 1})
}

// headModel models the head row: a number that only an accepted proposal
// increments. Operator -1 stands for the read of the head at the end.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, _ any) []any {
		head, p := state.(int64), input.(publication)
		matches := p.expect == head
		switch {
		case p.operator < 0 && p.version == head:
			return []any{head}
		case p.operator < 0, p.err == nil && !matches:
			return nil
		case p.err == nil:
			return []any{head + 1}
		case api.IsKind(p.err, api.KindResultUnknown) && matches:
			return []any{head, head + 1}
		}
		return []any{head}
	},
}

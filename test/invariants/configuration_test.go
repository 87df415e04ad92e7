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

// configCase is one row of the fault table.
type configCase struct {
	// storeFaults is the share of store calls that meet a fault.
	storeFaults float64
	stale       bool
	kills       int
	freezes     int
	// zoneCuts cuts a whole zone off from the platform and the other zones.
	zoneCuts int
	outages  int
	planted  stateFault
}

var configCases = map[string]configCase{
	"operators race":                           {},
	"answers of the store are lost":            {storeFaults: 0.3},
	"reads are stale":                          {stale: true},
	"an instance is replaced":                  {kills: 1},
	"instances are replaced again and again":   {kills: 8},
	"an instance freezes":                      {freezes: 1},
	"instances freeze twice":                   {freezes: 4},
	"a zone is cut off":                        {zoneCuts: 1},
	"zones are cut off twice":                  {zoneCuts: 3},
	"the platform is down":                     {outages: 1},
	"the platform is down twice":               {outages: 2},
	"replaced while the platform is down":      {outages: 1, kills: 4},
	"lost answers while a zone is cut off":     {storeFaults: 0.3, zoneCuts: 1},
	"everything at once":                       {storeFaults: 0.2, stale: true, kills: 3, freezes: 2, zoneCuts: 1, outages: 1},
	"everything at once, and twice":            {storeFaults: 0.3, stale: true, kills: 6, freezes: 4, zoneCuts: 2, outages: 2},
	"stale reads and frozen, racing operators": {stale: true, freezes: 4},
}

// Lengths of one history.
const (
	configZones     = 3
	configPerZone   = 2
	configOperators = 3
	configProposals = 6
	configFaultTime = time.Minute
	configQuietTime = 20 * time.Second
	configInterval  = 500 * time.Millisecond
)

// TestAcceptedConfigurationHolds plays racing operators under faults, and checks
// that an accepted version is never lost, undone or doubled, that a refused one
// is never in force, that no instance ever goes back, and that all of them have
// the highest version in the end.
func TestAcceptedConfigurationHolds(t *testing.T) {
	everyCase(t, configCases, 3, func(t *testing.T, test configCase, seed uint64) []string {
		return playConfiguration(t, test, seed)
	})
}

func TestConfigurationCheckCatchesPlantedFaults(t *testing.T) {
	for _, fault := range []stateFault{trustLostAnswers, ignoreVersions} {
		t.Run(string(fault), func(t *testing.T) {
			assertCaught(t, 20, func(seed uint64) []string {
				return playConfiguration(t, configCase{storeFaults: 0.3, stale: true, planted: fault}, seed)
			})
		})
	}
}

// configWorld is one history.
type configWorld struct {
	test    configCase
	random  *rand.Rand
	service *fake.Platform
	started time.Time
	ctx     context.Context
	duties  sync.WaitGroup
	// operators ends when all of them have their answers.
	operators sync.WaitGroup

	mu       sync.Mutex // guards what follows
	nodes    []*configNode
	publish  []publication
	digests  map[int64]string
	problems []string
}

// configNode is one process.
type configNode struct {
	stateNode
	zone    int
	manager *config.Manager
	stack   *platform.Stack
	stop    context.CancelFunc
	highest int64
	// apart is until when the zone is cut off from the other zones.
	apart time.Time
}

// publication is one operator's call.
type publication struct {
	operator     int
	expect       int64
	digest       string
	call, answer int64
	version      int64
	err          error
}

func playConfiguration(t *testing.T, test configCase, seed uint64) []string {
	var problems []string
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
		for i := range configZones * configPerZone {
			w.add(w.startNode(i/configPerZone, seed+uint64(i)))
		}
		for i := range configOperators {
			operator := rand.New(rand.NewPCG(seed, 20+uint64(i)))
			w.operators.Go(func() { w.operate(i, operator) })
		}
		w.playFaults()
		time.Sleep(time.Until(w.started.Add(configFaultTime)))
		w.operators.Wait()
		w.service.SetFault(nil)
		time.Sleep(configQuietTime)
		w.checkEnd()
		cancel()
		for _, node := range w.nodes {
			node.stop()
			node.stack.Close()
		}
		w.duties.Wait()
		time.Sleep(time.Minute)
		problems = w.problems
	})
	return problems
}

func (w *configWorld) add(node *configNode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes, node)
}

func (w *configWorld) startNode(zone int, seed uint64) *configNode {
	node := &configNode{zone: zone}
	link := &nodeLink{Platform: w.service, node: &node.stateNode, fault: w.test.planted, last: make(map[api.Ref]api.Row)}
	if w.test.stale {
		stale := rand.New(rand.NewPCG(seed, 30))
		link.stale = func() bool { return stale.IntN(3) == 0 }
	}
	node.stack = platform.NewStack(link)
	node.manager = config.NewManager(config.Options{Tables: node.stack, Objects: link, Check: config.Check})
	ctx, cancel := context.WithCancel(w.ctx)
	node.stop = cancel
	w.duties.Go(func() { node.manager.Run(ctx, configInterval) })
	w.duties.Go(func() { w.gossip(ctx, node) })
	return node
}

// gossip takes the versions of the other nodes and watches the node's own.
func (w *configWorld) gossip(ctx context.Context, node *configNode) {
	for ctx.Err() == nil {
		for _, peer := range w.reachable(node) {
			version, digest, document := peer.manager.Highest()
			if version > 0 && node.pass() {
				_, err := node.manager.Offer(version, digest, document)
				w.report(err != nil, "an offer of %d failed: %v", version, err)
			}
		}
		w.observe(node)
		time.Sleep(configInterval / 5)
	}
}

func (w *configWorld) reachable(node *configNode) []*configNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []*configNode
	for _, peer := range w.nodes {
		apart := time.Now().Before(node.apart) || time.Now().Before(peer.apart)
		if peer != node && (peer.zone == node.zone || !apart) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// observe checks that the node never goes back and that a version is one
// document everywhere.
func (w *configWorld) observe(node *configNode) {
	version, digest, _ := node.manager.Highest()
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < node.highest {
		w.problems = append(w.problems, fmt.Sprintf("went back from %d to %d", node.highest, version))
	}
	node.highest = version
	if known, ok := w.digests[version]; ok && known != digest {
		w.problems = append(w.problems, fmt.Sprintf("version %d is two documents", version))
	}
	w.digests[version] = digest
}

func (w *configWorld) report(failed bool, format string, args ...any) {
	if failed {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.problems = append(w.problems, fmt.Sprintf(format, args...))
	}
}

// operate publishes documents, each different from all others.
func (w *configWorld) operate(operator int, random *rand.Rand) {
	for n := range configProposals {
		time.Sleep(time.Duration(random.IntN(int(configFaultTime) / configProposals)))
		w.mu.Lock()
		node := w.nodes[random.IntN(len(w.nodes))]
		w.mu.Unlock()
		document := fmt.Sprintf(`{"client_accounts": [{"name": "o%d-%d"}], "rules": [{"name": "all", "when": {}, "then": {}}]}`, operator, n)
		sum := sha256.Sum256([]byte(document))
		p := publication{operator: operator, expect: node.manager.Version(), digest: hex.EncodeToString(sum[:]), call: w.now()}
		ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
		accepted, err := node.manager.Publish(ctx, p.expect, "f", []byte(document))
		cancel()
		p.version, p.err, p.answer = accepted.Version, err, w.now()
		if !node.pass() {
			// The answer of a process that died did not reach the operator.
			p.err, p.answer = api.NewError(api.KindResultUnknown, "the instance died"), w.now()
		}
		w.mu.Lock()
		w.publish = append(w.publish, p)
		w.mu.Unlock()
	}
}

func (w *configWorld) now() int64 { return int64(time.Since(w.started)) }

func (w *configWorld) playFaults() {
	at := func(n int, play func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range n {
			time.AfterFunc(time.Duration(w.random.IntN(int(configFaultTime)*9/10)), play)
		}
	}
	pick := func() (int, *configNode) {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := w.random.IntN(len(w.nodes))
		return i, w.nodes[i]
	}
	at(w.test.kills, func() {
		i, node := pick()
		node.kill()
		node.stop()
		go node.stack.Close()
		fresh := w.startNode(node.zone, uint64(i))
		w.mu.Lock()
		w.nodes[i] = fresh
		w.mu.Unlock()
	})
	at(w.test.freezes, func() {
		_, node := pick()
		node.freeze(8 * time.Second)
	})
	at(w.test.zoneCuts, func() {
		_, chosen := pick()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, node := range w.nodes {
			if node.zone == chosen.zone {
				node.cutOff(15 * time.Second)
				node.apart = time.Now().Add(15 * time.Second)
			}
		}
	})
	at(w.test.outages, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, node := range w.nodes {
			node.cutOff(10 * time.Second)
		}
	})
}

// checkEnd compares the history that the store keeps with what operators were
// told and what the nodes have in force.
func (w *configWorld) checkEnd() {
	keeper := config.NewManager(config.Options{Tables: w.service, Objects: w.service})
	history, err := keeper.History(w.ctx)
	w.report(err != nil, "history: %v", err)
	kept := make(map[string]int64)
	for i, entry := range history {
		w.report(entry.Version != int64(i+1), "version %d is at place %d", entry.Version, i+1)
		kept[entry.Digest] = entry.Version
	}
	for _, p := range w.publish {
		version, present := kept[p.digest]
		w.report(p.err == nil && version != p.version, "operator %d was told that %d is accepted; it is lost", p.operator, p.version)
		w.report(p.err != nil && !api.IsKind(p.err, api.KindResultUnknown) && present, "operator %d was refused (%v), and %d is in force", p.operator, p.err, version)
	}
	for i, node := range w.nodes {
		version := node.manager.Version()
		w.report(version != int64(len(history)), "node %d has %d in force, the head is %d", i, version, len(history))
	}
	result := porcupine.CheckOperationsTimeout(headModel.ToModel(), w.operations(int64(len(history))), time.Minute)
	w.report(result != porcupine.Ok, "the head's history is not linearizable: %v", result)
}

// operations is the history for porcupine. What may yet take effect has no end.
func (w *configWorld) operations(head int64) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, p := range w.publish {
		end := p.answer
		if api.IsKind(p.err, api.KindResultUnknown) {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: p.operator, Input: p, Call: p.call, Return: end})
	}
	// A client's calls must not overlap, so an open one gets a client of its own.
	for i := range operations {
		operations[i].ClientId = i
	}
	final := publication{version: head, operator: -1}
	return append(operations, porcupine.Operation{ClientId: len(operations), Input: final, Call: w.now(), Return: w.now() + 1})
}

// headModel is the head row: a number that only an accepted proposal moves.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, _ any) []any {
		head, p := state.(int64), input.(publication)
		moved := p.expect == head
		switch {
		case p.operator < 0 && p.version == head:
			return []any{head}
		case p.operator < 0, p.err == nil && !moved:
			return nil
		case p.err == nil:
			return []any{head + 1}
		case api.IsKind(p.err, api.KindResultUnknown) && moved:
			return []any{head, head + 1}
		}
		return []any{head}
	},
}

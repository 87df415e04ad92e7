package request

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/claim"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/slots"
)

// fakeBackend answers with the test's function and counts the calls.
type fakeBackend struct {
	run func(ctx context.Context, server string, call api.Execute) (api.ExecuteAnswer, error)

	mu          sync.Mutex
	calls       map[string]int
	inFlight    map[string]int
	maxInFlight int
}

func (b *fakeBackend) Execute(ctx context.Context, server model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	b.mu.Lock()
	if b.calls == nil {
		b.calls, b.inFlight = map[string]int{}, map[string]int{}
	}
	b.calls[server.ID]++
	b.inFlight[server.ID]++
	b.maxInFlight = max(b.maxInFlight, b.inFlight[server.ID])
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.inFlight[server.ID]--
		b.mu.Unlock()
	}()
	return b.run(ctx, server.ID, call)
}

// maxConcurrentCalls returns the largest number of calls in flight on one server.
func (b *fakeBackend) maxConcurrentCalls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxInFlight
}

func (b *fakeBackend) dispatched() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.calls {
		total += n
	}
	return total
}

// answersAfter returns a backend function that answers after runTime.
func answersAfter(runTime time.Duration) func(context.Context, string, api.Execute) (api.ExecuteAnswer, error) {
	return func(ctx context.Context, _ string, call api.Execute) (api.ExecuteAnswer, error) {
		select {
		case <-time.After(runTime):
			return api.ExecuteAnswer{ID: call.ID, Payload: call.Payload}, nil
		case <-ctx.Done():
			return api.ExecuteAnswer{}, api.NewError(api.KindBackendTimeout, "cut off")
		}
	}
}

func failsWith(kind api.Kind) func(context.Context, string, api.Execute) (api.ExecuteAnswer, error) {
	return func(context.Context, string, api.Execute) (api.ExecuteAnswer, error) {
		time.Sleep(time.Millisecond)
		return api.ExecuteAnswer{}, api.NewError(kind, "injected failure")
	}
}

// fakeFleet is a zone with the members and servers set by the test.
type fakeFleet struct {
	mu      sync.Mutex
	zone    string
	members []string
	servers []model.BackendServer
	peers   map[string]membership.ReceivedState
}

func (f *fakeFleet) Instances() []model.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []model.Instance
	for _, id := range f.members {
		list = append(list, model.Instance{ID: id, Zone: f.zone})
	}
	return list
}

func (f *fakeFleet) BackendServers(string) []model.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]model.BackendServer(nil), f.servers...)
}

func (f *fakeFleet) ZoneMembers(string) []string { return f.members }

func (f *fakeFleet) Workers(string) []model.Worker { return nil }

func (f *fakeFleet) PeerStates() map[string]membership.ReceivedState { return f.peers }

func (f *fakeFleet) setLeaving(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[index].State = model.BackendLeaving
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	err error

	mu       sync.Mutex
	rows     map[string]*fakeRow
	released int
}

type fakeRow struct {
	settled chan struct{}
	answer  api.RequestAnswer
}

type fakeHeld struct {
	claims *fakeClaims
	key    string
	row    *fakeRow
}

func (c *fakeClaims) Claim(ctx context.Context, request claim.Request) (claim.Held, *api.RequestAnswer, error) {
	time.Sleep(4 * time.Millisecond)
	if c.err != nil {
		return nil, nil, c.err
	}
	c.mu.Lock()
	if c.rows == nil {
		c.rows = map[string]*fakeRow{}
	}
	row, ok := c.rows[request.Key]
	if !ok {
		row = &fakeRow{settled: make(chan struct{})}
		c.rows[request.Key] = row
		c.mu.Unlock()
		return &fakeHeld{claims: c, key: request.Key, row: row}, nil, nil
	}
	c.mu.Unlock()
	select {
	case <-row.settled:
		answer := row.answer
		return nil, &answer, nil
	case <-ctx.Done():
		return nil, nil, api.NewError(api.KindResultUnknown, "still in flight")
	}
}

func (h *fakeHeld) Settle(_ context.Context, answer api.RequestAnswer) error {
	h.row.answer = answer
	close(h.row.settled)
	return nil
}

func (h *fakeHeld) Release(context.Context) error {
	h.claims.mu.Lock()
	defer h.claims.mu.Unlock()
	delete(h.claims.rows, h.key)
	h.claims.released++
	return nil
}

// fakeCaller reaches the dispatchers and executors of other instances.
type fakeCaller struct {
	mu        sync.Mutex
	instances map[string]*instance
	// loseResponses drops the responses to forwarded requests.
	loseResponses bool
}

func (c *fakeCaller) Call(ctx context.Context, id string, request *peerpb.Request) (*peerpb.Response, error) {
	time.Sleep(time.Millisecond)
	other, ok := c.instance(id)
	if !ok {
		return nil, api.NewError(api.KindNotReady, "no such instance")
	}
	if demand := request.GetSlots(); demand != nil {
		return &peerpb.Response{Body: &peerpb.Response_Slots{Slots: other.dispatcher.AnswerSlotDemand(request.GetFrom(), demand)}}, nil
	}
	answer := other.executeForwarded(ctx, request.GetExecute())
	if c.loseResponses {
		return nil, api.NewError(api.KindResultUnknown, "response lost")
	}
	return &peerpb.Response{Body: &peerpb.Response_Execute{Execute: &peerpb.ExecuteReply{Answer: answer}}}, nil
}

func (c *fakeCaller) instance(id string) (*instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.instances[id]
	return found, ok
}

func (c *fakeCaller) add(id string, i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.instances == nil {
		c.instances = map[string]*instance{}
	}
	c.instances[id] = i
}

// namedCaller sets the calling instance in each request, like the peer node.
type namedCaller struct {
	*fakeCaller
	from string
}

func (c namedCaller) Call(ctx context.Context, id string, request *peerpb.Request) (*peerpb.Response, error) {
	request.From = c.from
	return c.fakeCaller.Call(ctx, id, request)
}

type fixedConfig struct{ snapshot *config.Snapshot }

func (c fixedConfig) Current() *config.Snapshot { return c.snapshot }

func configuration(list ...rules.Rule) fixedConfig {
	list = append(list, rules.Rule{Name: "all"})
	document := &config.Document{Accounts: []model.ClientAccount{{Name: "a"}, {Name: "b"}}, Rules: list}
	return fixedConfig{&config.Snapshot{Version: 1, Document: document, Rules: rules.NewSet(list)}}
}

// instance is an instance under test with its fakes.
type instance struct {
	executor   *Executor
	dispatcher *Dispatcher
	fleet      *fakeFleet
	backend    *fakeBackend
	claims     *fakeClaims
}

func twoServers() []model.BackendServer {
	return []model.BackendServer{
		{ID: "b1", Incarnation: 1, Slots: 8, State: model.BackendReady},
		{ID: "b2", Incarnation: 1, Slots: 8, State: model.BackendReady},
	}
}

// start runs an instance until the test ends. It must be called in a bubble of
// testing/synctest.
func start(t *testing.T, id string, fleet *fakeFleet, backend *fakeBackend, caller *fakeCaller, source config.Source) *instance {
	t.Helper()
	recorder := decision.NewRecorder(zap.NewNop(), id, 1000)
	i := &instance{fleet: fleet, backend: backend, claims: &fakeClaims{}}
	i.dispatcher = NewDispatcher(DispatcherOptions{
		Zone: fleet.zone, Instance: id, Incarnation: 1, Fleet: fleet, Caller: namedCaller{caller, id}, Config: source,
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: 1,
	})
	i.executor = &Executor{
		Zone: fleet.zone, Instance: id, Config: source, Fleet: fleet, Claims: i.claims, Backend: backend, Recorder: recorder,
		Dispatcher: i.dispatcher, Caller: namedCaller{caller, id}, PlatformReachable: func() bool { return true }, MaxConcurrentAttempts: 1000,
	}
	caller.add(id, i)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		i.dispatcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return i
}

// startSingle runs a single instance in a zone with two backend servers, and
// waits until it has slots.
func startSingle(t *testing.T, run func(context.Context, string, api.Execute) (api.ExecuteAnswer, error), list ...rules.Rule) *instance {
	t.Helper()
	fleet := &fakeFleet{zone: "z1", members: []string{"i1"}, servers: twoServers()}
	i := start(t, "i1", fleet, &fakeBackend{run: run}, &fakeCaller{}, configuration(list...))
	time.Sleep(slots.ViewWindow + time.Second)
	return i
}

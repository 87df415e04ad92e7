package invariants

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/entry"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/lifecycle"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/worker"
)

// pipeListener takes connections inside the process. Closing it also closes
// what it took, as the end of a process does.
type pipeListener struct {
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	taken    []net.Conn
}

func newPipeListener() *pipeListener {
	return &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
}

var errRefused = errors.New("connection refused")

// Dial connects a caller.
func (l *pipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.taken = append(l.taken, conn)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// endProcess cuts every connection.
func (l *pipeListener) endProcess() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.taken {
		_ = conn.Close()
	}
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stopInstance is one whole entry instance over fakes.
type stopInstance struct {
	id       string
	fleet    *membership.Fleet
	executor *request.Executor
	placer   *placer.Placer
	server   *entry.Server
	life     *lifecycle.Life
	listener *pipeListener
	client   *http.Client
	cancel   context.CancelFunc
	duties   sync.WaitGroup
}

const (
	stopWithin  = 30 * time.Second
	placerLease = 4 * time.Second
)

// startInstance starts an instance with everything that a planned stop touches.
func (w *world) startInstance(ctx context.Context, id string, all []string, store *fake.Platform, seed uint64, fault stopFault) *stopInstance {
	i := &stopInstance{id: id, listener: newPipeListener()}
	ctx, i.cancel = context.WithCancel(ctx)
	i.fleet = w.startFleet(ctx, &i.duties, id, all, membership.Options{Prober: w, Caller: wire{w, id}})
	i.executor = w.newExecutor(ctx, &i.duties, id, i.fleet, seed, noFault)
	i.placer = newStopPlacer(id, i.fleet, store)
	i.duties.Go(func() { i.placer.Run(ctx) })
	limits := settings.Default()
	i.server = entry.New(entry.Options{
		Settings: &limits, Requests: i.executor, Logger: zap.NewNop(),
		Config: config.NewManager(config.Options{Tables: store, Objects: store}),
		Ready:  func() error { return i.life.Refusal() },
	})
	i.life = i.newLife(fault)
	i.life.Configured()
	i.duties.Go(func() { _ = i.server.Serve(i.listener) })
	transport := &http.Transport{DialContext: i.listener.Dial, MaxIdleConnsPerHost: 64}
	i.client = &http.Client{Transport: transport}
	return i
}

func newStopPlacer(id string, fleet *membership.Fleet, store *fake.Platform) *placer.Placer {
	return placer.New(placer.Options{
		Zone: zoneOne, Instance: id, Config: fixedConfig{}, Fleet: fleet, Jobs: jobstore.New(store),
		Leases: lease.New(store, placerLease), Workers: worker.NewHTTP(), Runs: estimate.NewHistory(),
		Health: quarantine.NewTracker(), Recorder: decision.NewRecorder(zap.NewNop(), id, 16), Logger: zap.NewNop(),
		PlacerLease: placerLease, WorkerLease: 15 * time.Second, Interval: 200 * time.Millisecond, MaxJobs: 100,
		MayPlace: func() bool { return false },
	})
}

// newLife wires the steps as package serve does, apart from the planted fault.
func (i *stopInstance) newLife(fault stopFault) *lifecycle.Life {
	options := lifecycle.Options{
		StopWithin: stopWithin,
		Announce:   i.fleet.AnnounceLeaving,
		HandOver: func(ctx context.Context) error {
			i.placer.Leave(ctx)
			return nil
		},
		Drain: func(ctx context.Context) error {
			return errors.Join(i.server.Shutdown(ctx), i.executor.Drain(ctx))
		},
	}
	switch fault {
	case noLinger:
		options.Linger = -1
	case noDrain:
		options.Drain = nil
	case noHandOver:
		options.HandOver = nil
	}
	return lifecycle.New(options)
}

// stop stops the instance and ends its process.
func (i *stopInstance) stop() error {
	err := i.life.Stop()
	i.listener.endProcess()
	i.cancel()
	i.duties.Wait()
	return err
}

// sent is one request as its caller saw it.
type sent struct {
	instance string
	// err is set if no whole answer came.
	err    error
	answer api.RequestAnswer
	status int
}

// post sends one request and reads the whole answer.
func (i *stopInstance) post(submission api.RequestSubmission) sent {
	result := sent{instance: i.id}
	body, err := json.Marshal(submission)
	if err != nil {
		result.err = err
		return result
	}
	call, err := http.NewRequest(http.MethodPost, "http://instance/v1/requests", bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	// Without GetBody the transport does not send the request a second time by
	// itself, which would hide a cut.
	call.GetBody = nil
	response, err := i.client.Do(call)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(data, &result.answer)
	}
	result.err, result.status = err, response.StatusCode
	return result
}

// ready is what the balancer asks.
func (i *stopInstance) ready() bool {
	response, err := i.client.Get("http://instance/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// balancer sends requests to the instances that were ready when it last looked.
type balancer struct {
	instances []*stopInstance
	mu        sync.Mutex
	up        map[string]bool
	results   []sent
}

// balancerInterval is the time between two looks.
const balancerInterval = time.Second

func (b *balancer) watch(ctx context.Context, instance *stopInstance) {
	for ctx.Err() == nil {
		up := instance.ready()
		b.mu.Lock()
		b.up[instance.id] = up
		b.mu.Unlock()
		sleep(ctx, balancerInterval)
	}
}

// choose returns a random instance among those that are up.
func (b *balancer) choose(random *rand.Rand) *stopInstance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up []*stopInstance
	for _, instance := range b.instances {
		if b.up[instance.id] {
			up = append(up, instance)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[random.IntN(len(up))]
}

// send sends requests, short and long ones, until ctx ends.
func (b *balancer) send(ctx context.Context, random *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(1+random.IntN(40))*time.Millisecond)
		instance := b.choose(random)
		if instance == nil {
			continue
		}
		submission := api.RequestSubmission{Account: "a", Kind: "check", Idempotent: random.IntN(2) == 0}
		if random.IntN(10) == 0 {
			submission.Kind = kindLong
		}
		calls.Go(func() {
			result := instance.post(submission)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.results = append(b.results, result)
		})
	}
}

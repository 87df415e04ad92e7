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

// pipeListener accepts connections within the process.
type pipeListener struct {
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	accepted []net.Conn
}

func newPipeListener() *pipeListener {
	return &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
}

var errRefused = errors.New("connection refused")

// Dial connects a caller to the listener.
func (l *pipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
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
		l.accepted = append(l.accepted, conn)
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

// closeAll closes the listener and every accepted connection, as the end of a
// process does.
func (l *pipeListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.accepted {
		_ = conn.Close()
	}
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// entryInstance is a complete entry instance on top of fakes.
type entryInstance struct {
	id        string
	fleet     *membership.Fleet
	executor  *request.Executor
	placer    *placer.Placer
	server    *entry.Server
	lifecycle *lifecycle.Lifecycle
	listener  *pipeListener
	client    *http.Client
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

const (
	stopTimeout = 30 * time.Second
	placerLease = 4 * time.Second
)

// startInstance starts an instance with every part that a planned stop
// involves.
func (w *fleetWorld) startInstance(ctx context.Context, id string, all []string, store *fake.Platform, seed uint64, fault stopFault) *entryInstance {
	i := &entryInstance{id: id, listener: newPipeListener()}
	ctx, i.cancel = context.WithCancel(ctx)
	i.fleet = w.startFleet(ctx, &i.loops, id, all, membership.Options{Prober: w, Caller: peerCaller{w, id}})
	i.executor = w.newExecutor(ctx, &i.loops, id, i.fleet, seed, noFault)
	i.placer = newInstancePlacer(id, i.fleet, store)
	i.loops.Go(func() { i.placer.Run(ctx) })
	defaults := settings.Default()
	i.server = entry.New(entry.Options{
		Settings: &defaults, Requests: i.executor, Logger: zap.NewNop(),
		Config: config.NewManager(config.Options{Tables: store, Objects: store}),
		Ready:  func() error { return i.lifecycle.Refusal() },
	})
	i.lifecycle = i.newLifecycle(fault)
	i.lifecycle.Configured()
	i.loops.Go(func() { _ = i.server.Serve(i.listener) })
	transport := &http.Transport{DialContext: i.listener.Dial, MaxIdleConnsPerHost: 64}
	i.client = &http.Client{Transport: transport}
	return i
}

func newInstancePlacer(id string, fleet *membership.Fleet, store *fake.Platform) *placer.Placer {
	return placer.New(placer.Options{
		Zone: testZone, Instance: id, Config: fixedConfig{}, Fleet: fleet, Jobs: jobstore.New(store),
		Leases: lease.New(store, placerLease), Workers: worker.NewHTTP(), RunTimes: estimate.NewHistory(),
		Health: quarantine.NewTracker(), Recorder: decision.NewRecorder(zap.NewNop(), id, 16), Logger: zap.NewNop(),
		PlacerLease: placerLease, WorkerLease: 15 * time.Second, Interval: 200 * time.Millisecond, MaxJobs: 100,
		MayPlace: func() bool { return false },
	})
}

// newLifecycle connects the shutdown steps as package serve does, except for
// the planted fault.
func (i *entryInstance) newLifecycle(fault stopFault) *lifecycle.Lifecycle {
	options := lifecycle.Options{
		StopTimeout: stopTimeout,
		Announce:    i.fleet.AnnounceLeaving,
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

// stop shuts the instance down and ends its process.
func (i *entryInstance) stop() error {
	err := i.lifecycle.Stop()
	i.listener.closeAll()
	i.cancel()
	i.loops.Wait()
	return err
}

// requestResult is the result of one request as observed by its caller.
type requestResult struct {
	instance string
	// err is set if no complete answer arrived.
	err    error
	answer api.RequestAnswer
	status int
}

// post sends one request and reads the complete answer.
func (i *entryInstance) post(submission api.RequestSubmission) requestResult {
	result := requestResult{instance: i.id}
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
	// Without GetBody the transport does not retry the request, which would
	// hide an interrupted request.
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

// ready reports whether the readiness endpoint answers with 200, as the
// balancer checks it.
func (i *entryInstance) ready() bool {
	response, err := i.client.Get("http://instance/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// balancer sends requests to the instances that were ready at the last probe.
type balancer struct {
	instances []*entryInstance
	mu        sync.Mutex
	ready     map[string]bool
	results   []requestResult
}

// balancerInterval is the time between two readiness probes.
const balancerInterval = time.Second

func (b *balancer) probeReadiness(ctx context.Context, instance *entryInstance) {
	for ctx.Err() == nil {
		ready := instance.ready()
		b.mu.Lock()
		b.ready[instance.id] = ready
		b.mu.Unlock()
		sleep(ctx, balancerInterval)
	}
}

// pickReady returns a random instance among the ready ones, or nil.
func (b *balancer) pickReady(random *rand.Rand) *entryInstance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*entryInstance
	for _, instance := range b.instances {
		if b.ready[instance.id] {
			ready = append(ready, instance)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

// sendRequests sends short and long requests until ctx ends.
func (b *balancer) sendRequests(ctx context.Context, random *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(1+random.IntN(40))*time.Millisecond)
		instance := b.pickReady(random)
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

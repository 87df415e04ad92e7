package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// The sizes of a zone in the measurement. At the target a zone has 640 workers
// of 8 accelerators and 2,100 running tasks.
const (
	zoneName            = "zone"
	workersPerRack      = 8
	acceleratorsEach    = 8
	acceleratorsPerTask = 2
	tasksPerGang        = 4
	tasksPerWorker      = 2100.0 / 640
	workerLease         = 15 * time.Second
	placerLease         = 4 * time.Second
	placeInterval       = 200 * time.Millisecond
	settleTime          = 3 * time.Second
	submissionTimeout   = 30 * time.Second
)

// PlacerWorkers measures a zone's placer with running gangs over the number of
// workers.
func PlacerWorkers(sizes []int, each time.Duration) (Series, error) {
	series := Series{
		Title:    "placer with 3.3 running tasks a worker, gangs of 4 tasks, nothing waiting",
		SizeName: "workers",
		Names:    []string{"core %", "heap MB", "bytes/s with workers", "calls/s to workers", "store calls/s"},
	}
	for _, size := range sizes {
		point, err := placerPoint(size, each)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// PlacerWaiting measures a full zone's placer over the number of jobs that wait.
func PlacerWaiting(workers int, sizes []int, each time.Duration) (Series, error) {
	series := Series{
		Title:    fmt.Sprintf("placer of %d full workers over the number of waiting jobs", workers),
		SizeName: "waiting",
		Names:    []string{"core %", "heap MB"},
	}
	for _, size := range sizes {
		point, err := waitingPoint(workers, size, each)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

func waitingPoint(workers, waiting int, each time.Duration) (Point, error) {
	z := newZone(workers)
	before := heapMB()
	running, stop := z.run()
	defer stop()
	full := workers * acceleratorsEach / (tasksPerGang * acceleratorsPerTask)
	if err := z.fill(running, full+waiting); err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	used := usageNow()
	time.Sleep(each)
	return Point{Size: float64(waiting), Values: []float64{corePercent(used), heapMB() - before}}, nil
}

// zone is a placer over stand-in workers in one process. Calls go through JSON
// as on the wire, without sockets.
type zone struct {
	platform *fake.Platform
	workers  map[string]*standin.Worker
	order    []model.Worker
	bytes    atomic.Int64
	calls    atomic.Int64
}

func newZone(count int) *zone {
	z := &zone{platform: fake.New(), workers: make(map[string]*standin.Worker)}
	for i := range count {
		id := fmt.Sprintf("worker-%04d", i)
		rack := fmt.Sprintf("rack-%03d", i/workersPerRack)
		z.workers[id] = standin.NewWorker(standin.WorkerConfig{ID: id, Zone: zoneName, Rack: rack, Incarnation: 1, Accelerators: acceleratorsEach}, nil, nil)
		z.order = append(z.order, model.Worker{ID: id, Addr: id, Zone: zoneName, Incarnation: 1})
	}
	return z
}

func placerPoint(size int, each time.Duration) (Point, error) {
	z := newZone(size)
	heapBefore := heapMB()
	running, stop := z.run()
	defer stop()
	if err := z.fill(running, int(float64(size)*tasksPerWorker/tasksPerGang)); err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	before, bytes, calls, storeCalls := usageNow(), z.bytes.Load(), z.calls.Load(), z.storeCalls()
	time.Sleep(each)
	seconds := each.Seconds()
	cpu := corePercent(before)
	return Point{Size: float64(size), Values: []float64{
		cpu, heapMB() - heapBefore,
		float64(z.bytes.Load()-bytes) / seconds, float64(z.calls.Load()-calls) / seconds,
		float64(z.storeCalls()-storeCalls) / seconds,
	}}, nil
}

func (z *zone) storeCalls() int {
	return z.platform.Calls("commit") + z.platform.Calls("read") + z.platform.Calls("scan")
}

// run starts the zone's placer and waits until it knows the workers.
func (z *zone) run() (running *placer.Placer, stop func()) {
	running = newPlacer(z, z.platform)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		running.Run(ctx)
		close(done)
	}()
	time.Sleep(settleTime)
	return running, func() {
		cancel()
		<-done
	}
}

func newPlacer(z *zone, platform *fake.Platform) *placer.Placer {
	return placer.New(placer.Options{
		Zone: zoneName, Instance: "entry-0", Config: z, Fleet: z, Jobs: jobstore.New(platform),
		Leases: lease.New(platform, placerLease), Workers: z, Runs: estimate.NewHistory(), Health: quarantine.NewTracker(),
		Recorder: decision.NewRecorder(zap.NewNop(), "entry-0", 10000), Logger: zap.NewNop(),
		PlacerLease: placerLease, WorkerLease: workerLease, Interval: placeInterval,
		MaxJobs: 100000, MayPlace: func() bool { return true },
	})
}

// fill starts gangs that outlast the measurement.
func (z *zone) fill(running *placer.Placer, gangs int) error {
	verdict := rules.NewSet([]rules.Rule{{Name: "all"}}).Decide(rules.Situation{})
	for i := range gangs {
		id := fmt.Sprintf("j-%05d~%s", i, zoneName)
		callCtx, cancel := context.WithTimeout(context.Background(), submissionTimeout)
		_, err := running.Submit(callCtx, placer.Submission{ID: id, Verdict: verdict, Job: api.JobSubmission{
			Account: fmt.Sprintf("account-%d", i%16), Kind: "train", Idempotent: true, Checkpointable: true,
			Shape: api.Shape{Tasks: tasksPerGang, AcceleratorsPerTask: acceleratorsPerTask}, DeclaredRunS: 7200,
			Payload: json.RawMessage(`{"run_ms":7200000}`),
		}})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// Current implements config.Source.
func (z *zone) Current() *config.Snapshot {
	document := &config.Document{}
	for i := range 16 {
		document.Accounts = append(document.Accounts, model.ClientAccount{Name: fmt.Sprintf("account-%d", i)})
	}
	return &config.Snapshot{Version: 1, Document: document}
}

// Instances implements membership.View.
func (z *zone) Instances() []model.Instance { return nil }

// BackendServers implements membership.View.
func (z *zone) BackendServers(string) []model.BackendServer { return nil }

// Workers implements membership.View.
func (z *zone) Workers(string) []model.Worker { return append([]model.Worker(nil), z.order...) }

// carry passes a message through JSON, as the wire would, and counts it.
func carry[T any](z *zone, message T) T {
	var carried T
	data, err := json.Marshal(message)
	if err == nil {
		err = json.Unmarshal(data, &carried)
	}
	if err != nil {
		panic(err) // the messages are the product's own types
	}
	z.bytes.Add(int64(len(data)))
	return carried
}

// Reserve implements worker.Client.
func (z *zone) Reserve(_ context.Context, addr string, call api.Reserve) error {
	z.calls.Add(1)
	_, err := z.workers[addr].Reserve(carry(z, call))
	return err
}

// Start implements worker.Client.
func (z *zone) Start(ctx context.Context, addr string, call api.Start) error {
	z.calls.Add(1)
	_, err := z.workers[addr].Start(ctx, carry(z, call))
	return err
}

// Release implements worker.Client.
func (z *zone) Release(_ context.Context, addr string, call api.Release) error {
	z.calls.Add(1)
	return z.workers[addr].Release(carry(z, call))
}

// Stop implements worker.Client.
func (z *zone) Stop(_ context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	z.calls.Add(1)
	return z.workers[addr].Stop(carry(z, call))
}

// Checkpoint implements worker.Client.
func (z *zone) Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	z.calls.Add(1)
	return z.workers[addr].Checkpoint(ctx, carry(z, call))
}

// Renew implements worker.Client.
func (z *zone) Renew(_ context.Context, addr string, call api.Renew) (api.WorkerReport, error) {
	z.calls.Add(1)
	report, err := z.workers[addr].Renew(carry(z, call))
	return carry(z, report), err
}

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

// The dimensions and timing of a measured zone. A zone of the target size has
// 640 workers of 8 accelerators each and 2,100 running tasks.
const (
	zoneName              = "zone"
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	acceleratorsPerTask   = 2
	tasksPerGang          = 4
	tasksPerWorker        = 2100.0 / 640
	workerLease           = 15 * time.Second
	placerLease           = 4 * time.Second
	placeInterval         = 200 * time.Millisecond
	settleTime            = 3 * time.Second
	submissionTimeout     = 30 * time.Second
)

// PlacerWorkers measures a zone's placer with running gangs for each number of
// workers.
func PlacerWorkers(sizes []int, duration time.Duration) (Series, error) {
	series := Series{
		Title:    "placer with 3.3 running tasks a worker, gangs of 4 tasks, nothing waiting",
		SizeName: "workers",
		Names:    []string{"core %", "heap MB", "bytes/s with workers", "calls/s to workers", "store calls/s"},
	}
	for _, size := range sizes {
		point, err := workersPoint(size, duration)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// PlacerWaiting measures a full zone's placer for each number of waiting jobs.
func PlacerWaiting(workers int, sizes []int, duration time.Duration) (Series, error) {
	series := Series{
		Title:    fmt.Sprintf("placer of %d full workers over the number of waiting jobs", workers),
		SizeName: "waiting",
		Names:    []string{"core %", "heap MB"},
	}
	for _, size := range sizes {
		point, err := waitingPoint(workers, size, duration)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

func waitingPoint(workers, waiting int, duration time.Duration) (Point, error) {
	z := newSimulatedZone(workers)
	heapBefore := heapMB()
	zonePlacer, stop := z.startPlacer()
	defer stop()
	fittingGangs := workers * acceleratorsPerWorker / (tasksPerGang * acceleratorsPerTask)
	if err := z.submitGangs(zonePlacer, fittingGangs+waiting); err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	usageBefore := currentUsage()
	time.Sleep(duration)
	return Point{Size: float64(waiting), Values: []float64{corePercent(usageBefore), heapMB() - heapBefore}}, nil
}

// simulatedZone is a zone of stand-in workers in one process. Calls are encoded
// as JSON as on the wire, but use no sockets.
type simulatedZone struct {
	platform    *fake.Platform
	workers     map[string]*standin.Worker
	workerList  []model.Worker
	wireBytes   atomic.Int64
	workerCalls atomic.Int64
}

func newSimulatedZone(count int) *simulatedZone {
	z := &simulatedZone{platform: fake.New(), workers: make(map[string]*standin.Worker)}
	for i := range count {
		id := fmt.Sprintf("worker-%04d", i)
		rack := fmt.Sprintf("rack-%03d", i/workersPerRack)
		z.workers[id] = standin.NewWorker(standin.WorkerConfig{ID: id, Zone: zoneName, Rack: rack, Incarnation: 1, Accelerators: acceleratorsPerWorker}, nil, nil)
		z.workerList = append(z.workerList, model.Worker{ID: id, Addr: id, Zone: zoneName, Incarnation: 1})
	}
	return z
}

func workersPoint(workers int, duration time.Duration) (Point, error) {
	z := newSimulatedZone(workers)
	heapBefore := heapMB()
	zonePlacer, stop := z.startPlacer()
	defer stop()
	if err := z.submitGangs(zonePlacer, int(float64(workers)*tasksPerWorker/tasksPerGang)); err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	usageBefore, bytesBefore, callsBefore, storeCallsBefore := currentUsage(), z.wireBytes.Load(), z.workerCalls.Load(), z.storeCalls()
	time.Sleep(duration)
	seconds := duration.Seconds()
	cpu := corePercent(usageBefore)
	return Point{Size: float64(workers), Values: []float64{
		cpu, heapMB() - heapBefore,
		float64(z.wireBytes.Load()-bytesBefore) / seconds, float64(z.workerCalls.Load()-callsBefore) / seconds,
		float64(z.storeCalls()-storeCallsBefore) / seconds,
	}}, nil
}

func (z *simulatedZone) storeCalls() int {
	return z.platform.Calls("commit") + z.platform.Calls("read") + z.platform.Calls("scan")
}

// startPlacer starts the zone's placer and gives it settleTime to discover the
// workers.
func (z *simulatedZone) startPlacer() (zonePlacer *placer.Placer, stop func()) {
	zonePlacer = newPlacer(z, z.platform)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		zonePlacer.Run(ctx)
		close(done)
	}()
	time.Sleep(settleTime)
	return zonePlacer, func() {
		cancel()
		<-done
	}
}

func newPlacer(z *simulatedZone, platform *fake.Platform) *placer.Placer {
	return placer.New(placer.Options{
		Zone: zoneName, Instance: "entry-0", Config: z, Fleet: z, Jobs: jobstore.New(platform),
		Leases: lease.New(platform, placerLease), Workers: z, RunTimes: estimate.NewHistory(), Health: quarantine.NewTracker(),
		Recorder: decision.NewRecorder(zap.NewNop(), "entry-0", 10000), Logger: zap.NewNop(),
		PlacerLease: placerLease, WorkerLease: workerLease, Interval: placeInterval,
		MaxJobs: 100000, MayPlace: func() bool { return true },
	})
}

// submitGangs submits gangs whose run time exceeds the measurement.
func (z *simulatedZone) submitGangs(zonePlacer *placer.Placer, gangs int) error {
	verdict := rules.NewSet([]rules.Rule{{Name: "all"}}).Decide(rules.Situation{})
	for i := range gangs {
		id := fmt.Sprintf("j-%05d~%s", i, zoneName)
		callCtx, cancel := context.WithTimeout(context.Background(), submissionTimeout)
		_, err := zonePlacer.Submit(callCtx, placer.Submission{ID: id, Verdict: verdict, Job: api.JobSubmission{
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
func (z *simulatedZone) Current() *config.Snapshot {
	document := &config.Document{}
	for i := range 16 {
		document.Accounts = append(document.Accounts, model.ClientAccount{Name: fmt.Sprintf("account-%d", i)})
	}
	return &config.Snapshot{Version: 1, Document: document}
}

// Instances implements membership.View.
func (z *simulatedZone) Instances() []model.Instance { return nil }

// BackendServers implements membership.View.
func (z *simulatedZone) BackendServers(string) []model.BackendServer { return nil }

// Workers implements membership.View.
func (z *simulatedZone) Workers(string) []model.Worker {
	return append([]model.Worker(nil), z.workerList...)
}

// jsonRoundTrip encodes and decodes a message as a network call would, and adds
// its encoded size to wireBytes.
func jsonRoundTrip[T any](z *simulatedZone, message T) T {
	var decoded T
	data, err := json.Marshal(message)
	if err == nil {
		err = json.Unmarshal(data, &decoded)
	}
	if err != nil {
		panic(err) // the product's message types always encode and decode
	}
	z.wireBytes.Add(int64(len(data)))
	return decoded
}

// Reserve implements worker.Client.
func (z *simulatedZone) Reserve(_ context.Context, addr string, call api.Reserve) error {
	z.workerCalls.Add(1)
	_, err := z.workers[addr].Reserve(jsonRoundTrip(z, call))
	return err
}

// Start implements worker.Client.
func (z *simulatedZone) Start(ctx context.Context, addr string, call api.Start) error {
	z.workerCalls.Add(1)
	_, err := z.workers[addr].Start(ctx, jsonRoundTrip(z, call))
	return err
}

// Release implements worker.Client.
func (z *simulatedZone) Release(_ context.Context, addr string, call api.Release) error {
	z.workerCalls.Add(1)
	return z.workers[addr].Release(jsonRoundTrip(z, call))
}

// Stop implements worker.Client.
func (z *simulatedZone) Stop(_ context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	z.workerCalls.Add(1)
	return z.workers[addr].Stop(jsonRoundTrip(z, call))
}

// Checkpoint implements worker.Client.
func (z *simulatedZone) Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	z.workerCalls.Add(1)
	return z.workers[addr].Checkpoint(ctx, jsonRoundTrip(z, call))
}

// Renew implements worker.Client.
func (z *simulatedZone) Renew(_ context.Context, addr string, call api.Renew) (api.WorkerReport, error) {
	z.workerCalls.Add(1)
	report, err := z.workers[addr].Renew(jsonRoundTrip(z, call))
	return jsonRoundTrip(z, report), err
}

package invariants

import (
	"context"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// freezableTables delays the commits and reads of an instance while it is
// frozen. Scans are not delayed.
type freezableTables struct {
	*fake.Platform
	world    *gangWorld
	instance string
	// process is the name of the instance's present process. A process that is being
	// killed makes one call more or less, which must not change the draws of the next.
	process string
}

func (t *freezableTables) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	t.world.awaitThaw(t.instance)
	t.delay(fake.Call{Op: "commit", Purpose: purpose, Tx: tx})
	return t.Platform.Commit(fake.WithCaller(ctx, t.process), purpose, tx)
}

func (t *freezableTables) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	call := fake.Call{Op: "read", Purpose: purpose}
	for _, ref := range refs {
		call.Tx.Ops = append(call.Tx.Ops, api.Op{Ref: ref})
	}
	t.world.awaitThaw(t.instance)
	t.delay(call)
	return t.Platform.Read(fake.WithCaller(ctx, t.process), purpose, refs...)
}

func (t *freezableTables) Scan(ctx context.Context, purpose platform.Purpose, query api.ScanQuery) (api.Rows, error) {
	t.delay(fake.Call{Op: fmt.Sprint("scan ", query), Purpose: purpose})
	return t.Platform.Scan(fake.WithCaller(ctx, t.process), purpose, query)
}

// delay waits for the network delay of a call to the platform.
func (t *freezableTables) delay(call fake.Call) {
	time.Sleep(drawJitter(t.world.draws.next(t.process + " " + describeCall(call))))
}

// gangNetwork carries an instance's calls to the stand-in workers. It
// implements worker.Client.
type gangNetwork struct {
	world    *gangWorld
	instance string
	process  string
}

// delivery is the outcome of one call in the network: whether the call or its
// answer is lost.
type delivery struct {
	loseRequest, loseAnswer bool
}

// drawDelivery delays a call and draws its outcome. The key identifies the call.
func (n gangNetwork) drawDelivery(addr, key string) delivery {
	n.world.awaitThaw(n.instance)
	random := n.world.draws.next(n.process + " " + addr + " " + key)
	n.world.mu.Lock()
	delay := time.Millisecond + n.world.callDelays[addr] + drawJitter(random)
	n.world.mu.Unlock()
	time.Sleep(delay)
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.world.partitioned[[2]string{n.instance, addr}] {
		return delivery{loseRequest: true}
	}
	draw := random.IntN(100)
	switch {
	case draw < n.world.lossPercent/2:
		return delivery{loseRequest: true}
	case draw < n.world.lossPercent:
		return delivery{loseAnswer: true}
	}
	return delivery{}
}

// send runs call at the worker unless it is lost in the network. If the call or
// its answer is lost, the caller waits for its whole timeout.
func (n gangNetwork) send(addr, key string, call func() error) error {
	outcome := n.drawDelivery(addr, key)
	if outcome.loseRequest {
		time.Sleep(gangCallTimeout)
		return api.NewError(api.KindResultUnknown, "no answer from %s", addr)
	}
	err := call()
	if outcome.loseAnswer {
		time.Sleep(gangCallTimeout)
		return api.NewError(api.KindResultUnknown, "no answer from %s", addr)
	}
	return err
}

func (n gangNetwork) Reserve(_ context.Context, addr string, call api.Reserve) error {
	return n.send(addr, fmt.Sprint("reserve ", call.GangRef), func() error {
		_, err := n.world.worker(addr).Reserve(call)
		return err
	})
}

func (n gangNetwork) Start(ctx context.Context, addr string, call api.Start) error {
	err := n.send(addr, fmt.Sprint("start ", call.GangRef), func() error {
		_, err := n.world.worker(addr).Start(ctx, call)
		return err
	})
	if n.world.planted == plantedFalseRefusal && n.instance != "" && err != nil {
		return api.NewError(api.KindConflict, "refused")
	}
	return err
}

func (n gangNetwork) Release(_ context.Context, addr string, call api.Release) error {
	return n.send(addr, fmt.Sprint("release ", call.GangRef), func() error { return n.world.worker(addr).Release(call) })
}

func (n gangNetwork) Stop(_ context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	if n.world.planted == plantedNoStops {
		return api.StopAnswer{}, api.NewError(api.KindConflict, "not stopped")
	}
	var answer api.StopAnswer
	err := n.send(addr, fmt.Sprint("stop ", call.GangRef), func() error {
		var err error
		answer, err = n.world.worker(addr).Stop(call)
		return err
	})
	return answer, err
}

func (n gangNetwork) Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	var answer api.StopAnswer
	err := n.send(addr, fmt.Sprint("checkpoint ", call.GangRef), func() error {
		var err error
		answer, err = n.world.worker(addr).Checkpoint(ctx, call)
		return err
	})
	return answer, err
}

func (n gangNetwork) Renew(_ context.Context, addr string, call api.Renew) (api.WorkerReport, error) {
	var report api.WorkerReport
	err := n.send(addr, "renew", func() error {
		var err error
		report, err = n.world.worker(addr).Renew(call)
		return err
	})
	if n.world.planted == plantedHiddenLoss && err == nil {
		report.Reservations = addMissing(report.Reservations, call.Gangs)
	}
	return report, err
}

// addMissing adds every requested gang to a report, as if none had been lost.
func addMissing(reported []api.ReservationReport, requested []api.GangRef) []api.ReservationReport {
	seen := make(map[api.GangRef]bool)
	for _, r := range reported {
		seen[r.GangRef] = true
	}
	for _, ref := range requested {
		if !seen[ref] {
			reported = append(reported, api.ReservationReport{GangRef: ref, State: api.TaskRunning})
		}
	}
	return reported
}

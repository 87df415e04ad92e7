package invariants

import (
	"context"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

// frozenTables holds back the store calls of a frozen instance.
type frozenTables struct {
	*fake.Platform
	world    *gangWorld
	instance string
}

func (t *frozenTables) Commit(ctx context.Context, purpose platform.Purpose, tx api.Tx) platform.CommitResult {
	t.world.awaitThaw(t.instance)
	return t.Platform.Commit(ctx, purpose, tx)
}

func (t *frozenTables) Read(ctx context.Context, purpose platform.Purpose, refs ...api.Ref) (api.Rows, error) {
	t.world.awaitThaw(t.instance)
	return t.Platform.Read(ctx, purpose, refs...)
}

// gangNetwork carries an instance's calls to the stand-in workers. It
// implements worker.Client.
type gangNetwork struct {
	world    *gangWorld
	instance string
}

// outcome of one call's way through the network.
type passage struct {
	lostBefore, lostAfter bool
}

func (n gangNetwork) pass(addr string) passage {
	n.world.awaitThaw(n.instance)
	n.world.mu.Lock()
	delay := time.Millisecond + n.world.slow[addr]
	n.world.mu.Unlock()
	time.Sleep(delay)
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.world.cut[[2]string{n.instance, addr}] {
		return passage{lostBefore: true}
	}
	draw := n.world.random.IntN(100)
	switch {
	case draw < n.world.lossPercent/2:
		return passage{lostBefore: true}
	case draw < n.world.lossPercent:
		return passage{lostAfter: true}
	}
	return passage{}
}

// carry runs call at the worker unless it is lost on the way; a lost call or
// answer takes the caller its whole time.
func (n gangNetwork) carry(addr string, call func() error) error {
	way := n.pass(addr)
	if way.lostBefore {
		time.Sleep(gangCallTimeout)
		return api.NewError(api.KindResultUnknown, "no answer from %s", addr)
	}
	err := call()
	if way.lostAfter {
		time.Sleep(gangCallTimeout)
		return api.NewError(api.KindResultUnknown, "no answer from %s", addr)
	}
	return err
}

func (n gangNetwork) Reserve(_ context.Context, addr string, call api.Reserve) error {
	return n.carry(addr, func() error {
		_, err := n.world.worker(addr).Reserve(call)
		return err
	})
}

func (n gangNetwork) Start(ctx context.Context, addr string, call api.Start) error {
	err := n.carry(addr, func() error {
		_, err := n.world.worker(addr).Start(ctx, call)
		return err
	})
	if n.world.planted == plantedForgetful && n.instance != "" && err != nil {
		return api.NewError(api.KindConflict, "refused")
	}
	return err
}

func (n gangNetwork) Release(_ context.Context, addr string, call api.Release) error {
	return n.carry(addr, func() error { return n.world.worker(addr).Release(call) })
}

func (n gangNetwork) Stop(_ context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	if n.world.planted == plantedGenerous {
		return api.StopAnswer{}, api.NewError(api.KindConflict, "not stopped")
	}
	var answer api.StopAnswer
	err := n.carry(addr, func() error {
		var err error
		answer, err = n.world.worker(addr).Stop(call)
		return err
	})
	return answer, err
}

func (n gangNetwork) Checkpoint(ctx context.Context, addr string, call api.Stop) (api.StopAnswer, error) {
	var answer api.StopAnswer
	err := n.carry(addr, func() error {
		var err error
		answer, err = n.world.worker(addr).Checkpoint(ctx, call)
		return err
	})
	return answer, err
}

func (n gangNetwork) Renew(_ context.Context, addr string, call api.Renew) (api.WorkerReport, error) {
	var report api.WorkerReport
	err := n.carry(addr, func() error {
		var err error
		report, err = n.world.worker(addr).Renew(call)
		return err
	})
	if n.world.planted == plantedBlind && err == nil {
		report.Reservations = pretendAll(report.Reservations, call.Gangs)
	}
	return report, err
}

// pretendAll adds every asked gang to a report, as if nothing was lost.
func pretendAll(held []api.ReservationReport, asked []api.GangRef) []api.ReservationReport {
	seen := make(map[api.GangRef]bool)
	for _, r := range held {
		seen[r.GangRef] = true
	}
	for _, ref := range asked {
		if !seen[ref] {
			held = append(held, api.ReservationReport{GangRef: ref, State: api.TaskRunning})
		}
	}
	return held
}

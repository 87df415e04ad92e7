package request

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// updateSpill updates the spill decision from the load levels of the zones.
func (d *Dispatcher) updateSpill(now time.Time) {
	local := d.queue.Load()
	if d.table.AcceptingServers(nil) == 0 {
		local = math.Inf(1)
	}
	before, _ := d.spill.Active()
	d.spill.Update(local, d.zoneLoads(), now)
	after, share := d.spill.Active()
	if before != after {
		d.options.Recorder.Record(api.Decision{
			At: now, Step: "spill", Subject: "zone " + d.options.Zone, Choice: after, SecondBest: before,
			Reason: "load " + strconv.FormatFloat(local, 'f', 2, 64) + ", share " + strconv.FormatFloat(share, 'f', 2, 64),
		})
	}
}

// zoneLoads returns the mean load level of each other zone, sorted by name. It
// leaves out instances that are leaving and those without a fresh state message.
func (d *Dispatcher) zoneLoads() []routing.ZoneLoad {
	sums, counts := map[string]float64{}, map[string]int{}
	for _, peerState := range d.options.Fleet.PeerStates() {
		zone := peerState.State.GetAvailabilityZone()
		if zone == d.options.Zone || peerState.State.GetLeaving() || !peerState.Fresh {
			continue
		}
		sums[zone] += float64(peerState.State.GetLoadPermille()) / 1000
		counts[zone]++
	}
	loads := make([]routing.ZoneLoad, 0, len(sums))
	for zone, sum := range sums {
		loads = append(loads, routing.ZoneLoad{Zone: zone, Load: sum / float64(counts[zone])})
	}
	slices.SortFunc(loads, func(a, b routing.ZoneLoad) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return loads
}

// target is an instance of another zone that receives a request.
type target struct{ zone, instance string }

// spillQuery requests the target for the next request, empty if it stays in this
// zone. refusedHere is set for a request that admission refused in this zone.
type spillQuery struct {
	refusedHere bool
	reply       chan target
}

func (q spillQuery) apply(d *Dispatcher, _ time.Time) {
	zone := ""
	if q.refusedHere {
		zone = routing.OverflowZone(d.zoneLoads())
	} else {
		zone = d.spill.Next()
	}
	best, minLoad := "", int64(0)
	for id, peerState := range d.options.Fleet.PeerStates() {
		state := peerState.State
		if state.GetAvailabilityZone() != zone || state.GetLeaving() || !peerState.Fresh {
			continue
		}
		load := state.GetLoadPermille()
		if best == "" || load < minLoad || (load == minLoad && id < best) {
			best, minLoad = id, load
		}
	}
	q.reply <- target{zone: zone, instance: best}
}

func (d *Dispatcher) spillTarget(refusedHere bool) target {
	query := spillQuery{refusedHere: refusedHere, reply: make(chan target, 1)}
	d.postEvent(query)
	select {
	case answer := <-query.reply:
		return answer
	case <-d.done:
		return target{}
	}
}

// spill runs the request in another availability zone if the load in this zone
// requires it. It returns false if the request remains in this zone, because it
// is not spilled, did not reach the other zone, did not run there, or is
// idempotent and its answer was lost; in the last case it sets r.mayHaveRunErr.
func (x *Executor) spill(ctx context.Context, r *activeRequest, refusedHere bool) (api.RequestAnswer, bool) {
	if r.forwarded || !r.verdict.Spill || x.Caller == nil {
		return api.RequestAnswer{}, false
	}
	destination := x.Dispatcher.spillTarget(refusedHere)
	if destination.instance == "" {
		return api.RequestAnswer{}, false
	}
	r.forwarded = true
	x.decide(r, "spill", destination.zone+"/"+destination.instance, "this zone has more load than it carries", x.Zone)
	countSpill(destination.zone)
	answer, err := x.forward(ctx, r, destination.instance)
	switch {
	case err == nil && answer.Outcome != api.OutcomeNotRun:
		return answer, true
	case err != nil && mayHaveRun(err) && !r.submission.Idempotent:
		return Refusal(r.answer.ID, r.verdict.Rule, err), true
	case ctx.Err() != nil && err != nil && mayHaveRun(err):
		return Refusal(r.answer.ID, r.verdict.Rule, err), true
	}
	if err != nil && mayHaveRun(err) {
		r.mayHaveRunErr = err
	}
	return api.RequestAnswer{}, false
}

// forward sends the request to an instance of another zone. Unless mayHaveRun
// holds for the error, the request did not run there.
func (x *Executor) forward(ctx context.Context, r *activeRequest, instance string) (api.RequestAnswer, error) {
	body, err := json.Marshal(r.submission)
	if err != nil {
		return api.RequestAnswer{}, api.NewError(api.KindInternal, "%v", err)
	}
	call := &peerpb.ExecuteCall{Id: r.answer.ID, Submission: body, DeadlineMs: time.Until(r.admissionRequest.Deadline).Milliseconds()}
	response, err := x.Caller.Call(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Execute{Execute: call}})
	if err != nil {
		return api.RequestAnswer{}, err
	}
	var answer api.RequestAnswer
	if err := json.Unmarshal(response.GetExecute().GetAnswer(), &answer); err != nil || (answer.ID != r.answer.ID && !answer.Replayed) {
		return answer, api.NewError(api.KindResultUnknown, "instance %s answered something else", instance)
	}
	return answer, nil
}

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

// updateSpill takes in the load levels of the zones.
func (d *Dispatcher) updateSpill(now time.Time) {
	local := d.queue.Load()
	if d.table.Takers(nil) == 0 {
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

// zoneLoads returns the mean load level of each other zone, in order of names.
func (d *Dispatcher) zoneLoads() []routing.ZoneLoad {
	sums, counts := map[string]float64{}, map[string]int{}
	for _, heard := range d.options.Fleet.PeerStates() {
		zone := heard.State.GetAvailabilityZone()
		if zone == d.options.Zone || heard.State.GetLeaving() || !heard.Fresh {
			continue
		}
		sums[zone] += float64(heard.State.GetLoadPermille()) / 1000
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

// target is an instance of another zone that takes a request.
type target struct{ zone, instance string }

// spillQuestion asks whether the next request goes to another zone; rescue is set
// for a request that would be refused here.
type spillQuestion struct {
	rescue bool
	reply  chan target
}

func (q spillQuestion) apply(d *Dispatcher, _ time.Time) {
	zone := ""
	if q.rescue {
		zone = routing.Rescue(d.zoneLoads())
	} else {
		zone = d.spill.Next()
	}
	best, least := "", int64(0)
	for id, heard := range d.options.Fleet.PeerStates() {
		state := heard.State
		if state.GetAvailabilityZone() != zone || state.GetLeaving() || !heard.Fresh {
			continue
		}
		load := state.GetLoadPermille()
		if best == "" || load < least || (load == least && id < best) {
			best, least = id, load
		}
	}
	q.reply <- target{zone: zone, instance: best}
}

func (d *Dispatcher) spillTarget(rescue bool) target {
	question := spillQuestion{rescue: rescue, reply: make(chan target, 1)}
	d.report(question)
	select {
	case answer := <-question.reply:
		return answer
	case <-d.done:
		return target{}
	}
}

// spill runs the request in another availability zone if the load here asks for
// it. It reports false if the request is to be run here: it stays here, did not
// reach the other zone, or did not run there.
func (x *Executor) spill(ctx context.Context, j *job, rescue bool) (api.RequestAnswer, bool) {
	if j.forwarded || !j.verdict.Spill || x.Caller == nil {
		return api.RequestAnswer{}, false
	}
	to := x.Dispatcher.spillTarget(rescue)
	if to.instance == "" {
		return api.RequestAnswer{}, false
	}
	j.forwarded = true
	x.decide(j, "spill", to.zone+"/"+to.instance, "this zone has more load than it carries", x.Zone)
	countSpill(to.zone)
	answer, err := x.forward(ctx, j, to.instance)
	switch {
	case err == nil && answer.Outcome != api.OutcomeNotRun:
		return answer, true
	case err != nil && mayHaveRun(err) && !j.submission.Idempotent:
		return Refusal(j.answer.ID, j.verdict.Rule, err), true
	case ctx.Err() != nil && err != nil && mayHaveRun(err):
		return Refusal(j.answer.ID, j.verdict.Rule, err), true
	}
	if err != nil && mayHaveRun(err) {
		j.mayRun = err
	}
	return api.RequestAnswer{}, false
}

// forward sends the request to an instance of another zone. An error that is not
// of the kinds that may have run says that it did not run there.
func (x *Executor) forward(ctx context.Context, j *job, instance string) (api.RequestAnswer, error) {
	body, err := json.Marshal(j.submission)
	if err != nil {
		return api.RequestAnswer{}, api.NewError(api.KindInternal, "%v", err)
	}
	call := &peerpb.ExecuteCall{Id: j.answer.ID, Submission: body, DeadlineMs: time.Until(j.admitted.Deadline).Milliseconds()}
	response, err := x.Caller.Call(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Execute{Execute: call}})
	if err != nil {
		return api.RequestAnswer{}, err
	}
	var answer api.RequestAnswer
	if err := json.Unmarshal(response.GetExecute().GetAnswer(), &answer); err != nil || (answer.ID != j.answer.ID && !answer.Replayed) {
		return answer, api.NewError(api.KindResultUnknown, "instance %s answered something else", instance)
	}
	return answer, nil
}

package serve

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/zone"
)

// peerCallTimeout bounds a call to one peer for status and explanations.
const peerCallTimeout = 2 * time.Second

// local is what this instance tells its peers of itself.
func (i *instance) local() membership.Local {
	inForce, _ := i.config.Age()
	return membership.Local{
		ConfigVersion: i.config.Version(), ConfigAge: inForce,
		Epoch: i.placer.Epoch(), PlatformReachable: i.platform.Reachable(),
		LoadPermille: int64(1000 * i.dispatch.Load()),
	}
}

// mayPlace reports whether the placer, whose lease is past its time, may start
// waiting jobs; package zone decides.
func (i *instance) mayPlace() bool {
	zonePeers, otherPeers, epoch := i.fleet.Reach()
	permission := zone.Decide(zone.Situation{
		Reach:      zone.Reach{Store: i.platform.Reachable(), ZonePeers: zonePeers, OtherPeers: otherPeers},
		Configured: i.config.Current() != nil, Leaving: i.fleet.Self().Leaving,
		Placer: true, Epoch: i.placer.Epoch(), HighestEpoch: max(epoch, i.placer.Epoch()),
	})
	return permission.Starts != zone.StartsNone
}

// evaluateJob applies the rules in force to a job for a zone.
func (i *instance) evaluateJob(job api.JobSubmission, zone string) rules.Verdict {
	snapshot := i.config.Current()
	if snapshot == nil {
		return rules.Verdict{Refuse: true, RetryAfterS: rules.DefaultRetryAfterS}
	}
	situation := rules.Situation{
		Work: rules.WorkJob, Account: job.Account, Kind: job.Kind, Zone: zone, Accelerators: job.Shape.Accelerators(),
		Idempotent: job.Idempotent, Keyed: job.IdempotencyKey != "", Urgent: job.Urgent,
		PlatformReachable: i.platform.Reachable(),
	}
	if zone == i.settings.AvailabilityZone {
		situation.Load = i.placer.Load()
	}
	if job.Deadline != nil {
		situation.HasDeadline = true
		situation.SlackS = time.Until(*job.Deadline).Seconds() - job.DeclaredRunS
	}
	return snapshot.Rules.Decide(situation)
}

// configFromPeers asks peers for a higher configuration version than this
// instance has, whenever a peer's state names one. It carries configuration
// into an instance that does not reach the platform.
func (i *instance) configFromPeers(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(i.settings.Timing.PeerIntervalMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.takeHigherConfig(ctx)
		}
	}
}

func (i *instance) takeHigherConfig(ctx context.Context) {
	for id, heard := range i.fleet.PeerStates() {
		if heard.State.GetConfigVersion() <= i.config.Version() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		query := &peerpb.ConfigQuery{Have: i.config.Version()}
		response, err := i.node.Call(callCtx, id, &peerpb.Request{Body: &peerpb.Request_Config{Config: query}})
		cancel()
		if err != nil {
			continue
		}
		version := response.GetConfig()
		document, err := config.Unpack(version.GetDocument())
		if err != nil {
			continue
		}
		if _, err := i.config.Offer(version.GetVersion(), version.GetDigest(), document); err == nil {
			return
		}
	}
}

// zonePeers implements jobs.Peers.
type zonePeers struct{ *instance }

// PlacerOf implements jobs.Peers.
func (z zonePeers) PlacerOf(zone string) (string, bool) {
	best, epoch := "", int64(0)
	for id, heard := range z.fleet.PeerStates() {
		state := heard.State
		if state.GetAvailabilityZone() == zone && state.GetEpoch() > epoch && !state.GetLeaving() {
			best, epoch = id, state.GetEpoch()
		}
	}
	return best, epoch > 0
}

// Zones implements jobs.Peers.
func (z zonePeers) Zones() []string {
	seen := map[string]bool{z.settings.AvailabilityZone: true}
	for _, other := range z.fleet.Instances() {
		seen[other.Zone] = true
	}
	zones := make([]string, 0, len(seen))
	for zone := range seen {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// fleetView implements entry.Fleet.
type fleetView struct{ *instance }

// Status implements entry.Fleet.
func (f fleetView) Status(ctx context.Context) api.Status {
	status := f.jobs.Status(ctx)
	status.Instance = f.settings.Instance
	status.Instances = append([]api.InstanceStatus{statusOf(f.fleet.OwnState(), time.Now())}, f.peerStatuses()...)
	for k := range status.Zones {
		status.Zones[k].BackendServers = len(f.fleet.BackendServers(status.Zones[k].AvailabilityZone))
	}
	return status
}

func (f fleetView) peerStatuses() []api.InstanceStatus {
	var list []api.InstanceStatus
	for _, heard := range f.fleet.PeerStates() {
		list = append(list, statusOf(heard.State, heard.HeardAt))
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func statusOf(state *peerpb.State, heardAt time.Time) api.InstanceStatus {
	condition := "ready"
	if state.GetLeaving() {
		condition = "leaving"
	}
	return api.InstanceStatus{
		ID: state.GetInstance(), AvailabilityZone: state.GetAvailabilityZone(), Addr: state.GetAddr(), State: condition,
		Placer: state.GetEpoch() > 0, Epoch: state.GetEpoch(), ConfigVersion: state.GetConfigVersion(),
		ConfigAgeS: float64(state.GetConfigAgeMs()) / 1000, LastSeenS: time.Since(heardAt).Seconds(),
	}
}

// Explain implements entry.Fleet: the decisions of every instance that answers,
// in order of time.
func (f fleetView) Explain(ctx context.Context, id string) api.Explanation {
	explanation := api.Explanation{ID: id, Decisions: f.recorder.Explain(id)}
	for _, other := range f.fleet.Instances() {
		explanation.Decisions = append(explanation.Decisions, f.explainAt(ctx, other.ID, id)...)
	}
	sort.SliceStable(explanation.Decisions, func(a, b int) bool {
		return explanation.Decisions[a].At.Before(explanation.Decisions[b].At)
	})
	return explanation
}

func (f fleetView) explainAt(ctx context.Context, other, id string) []api.Decision {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_Explain{Explain: &peerpb.ExplainQuery{Id: id}}}
	response, err := f.node.Call(callCtx, other, request)
	if err != nil {
		return nil
	}
	var explanation api.Explanation
	if json.Unmarshal(response.GetExplain().GetExplanation(), &explanation) != nil {
		return nil
	}
	return explanation.Decisions
}

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

// peerCallTimeout limits a call to one peer for its configuration or explanations.
const peerCallTimeout = 2 * time.Second

// localState returns the state that this instance sends to its peers.
func (i *instance) localState() membership.Local {
	configAge, _ := i.config.Age()
	return membership.Local{
		ConfigVersion: i.config.Version(), ConfigAge: configAge,
		Epoch: i.placer.Epoch(), PlatformReachable: i.platform.Reachable(),
		LoadPermille: int64(1000 * i.dispatch.Load()),
	}
}

// mayPlace reports whether the placer may start waiting jobs after its lease has
// expired, according to package zone.
func (i *instance) mayPlace() bool {
	zonePeers, otherPeers, epoch := i.fleet.Reach()
	permission := zone.Decide(zone.Situation{
		Reach:      zone.Reach{Store: i.platform.Reachable(), ZonePeers: zonePeers, OtherPeers: otherPeers},
		Configured: i.config.Current() != nil, Leaving: i.fleet.Self().Leaving,
		Placer: true, Epoch: i.placer.Epoch(), HighestEpoch: max(epoch, i.placer.Epoch()),
	})
	return permission.Starts != zone.StartsNone
}

// evaluateJob applies the rules in force to a job submitted for a zone. Without
// a configuration it refuses the job.
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

// syncConfigFromPeers fetches the configuration from a peer whenever the state of
// a peer has a higher version than this instance. It updates instances that
// cannot reach the platform.
func (i *instance) syncConfigFromPeers(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(i.settings.Timing.PeerIntervalMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.fetchHigherConfig(ctx)
		}
	}
}

func (i *instance) fetchHigherConfig(ctx context.Context) {
	for id, peerState := range i.fleet.PeerStates() {
		if peerState.State.GetConfigVersion() <= i.config.Version() {
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

// zonePeers implements jobs.Peers with the states of the peers.
type zonePeers struct{ *instance }

// PlacerOf returns the id of the peer with the highest placer epoch of a zone,
// leaving peers excluded. It returns false if there is none.
func (z zonePeers) PlacerOf(zone string) (string, bool) {
	placerID, epoch := "", int64(0)
	for id, peerState := range z.fleet.PeerStates() {
		state := peerState.State
		if state.GetAvailabilityZone() == zone && state.GetEpoch() > epoch && !state.GetLeaving() {
			placerID, epoch = id, state.GetEpoch()
		}
	}
	return placerID, epoch > 0
}

// Zones returns the sorted availability zones of all known instances.
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

// Status returns the status of the jobs, the zones, this instance and every peer
// that has sent its state.
func (f fleetView) Status(ctx context.Context) api.Status {
	status := f.jobs.Status(ctx)
	status.Instance = f.settings.Instance
	status.Instances = append([]api.InstanceStatus{instanceStatus(f.fleet.OwnState(), time.Now())}, f.peerStatuses()...)
	for k := range status.Zones {
		status.Zones[k].BackendServers = len(f.fleet.BackendServers(status.Zones[k].AvailabilityZone))
	}
	return status
}

func (f fleetView) peerStatuses() []api.InstanceStatus {
	var list []api.InstanceStatus
	for _, peerState := range f.fleet.PeerStates() {
		list = append(list, instanceStatus(peerState.State, peerState.ReceivedAt))
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func instanceStatus(state *peerpb.State, lastContact time.Time) api.InstanceStatus {
	stateName := "ready"
	if state.GetLeaving() {
		stateName = "leaving"
	}
	return api.InstanceStatus{
		ID: state.GetInstance(), AvailabilityZone: state.GetAvailabilityZone(), Addr: state.GetAddr(), State: stateName,
		Placer: state.GetEpoch() > 0, Epoch: state.GetEpoch(), ConfigVersion: state.GetConfigVersion(),
		ConfigAgeS: float64(state.GetConfigAgeMs()) / 1000, LastSeenS: time.Since(lastContact).Seconds(),
	}
}

// Explain returns the decisions that all responding instances have recorded for
// an id, in chronological order.
func (f fleetView) Explain(ctx context.Context, id string) api.Explanation {
	explanation := api.Explanation{ID: id, Decisions: f.recorder.Explain(id)}
	for _, other := range f.fleet.Instances() {
		explanation.Decisions = append(explanation.Decisions, f.explainOnPeer(ctx, other.ID, id)...)
	}
	sort.SliceStable(explanation.Decisions, func(a, b int) bool {
		return explanation.Decisions[a].At.Before(explanation.Decisions[b].At)
	})
	return explanation
}

func (f fleetView) explainOnPeer(ctx context.Context, peerID, id string) []api.Decision {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_Explain{Explain: &peerpb.ExplainQuery{Id: id}}}
	response, err := f.node.Call(callCtx, peerID, request)
	if err != nil {
		return nil
	}
	var explanation api.Explanation
	if json.Unmarshal(response.GetExplain().GetExplanation(), &explanation) != nil {
		return nil
	}
	return explanation.Decisions
}

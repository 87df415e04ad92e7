package deployment

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// jobView is what a caller may know of a job.
type jobView struct {
	known   bool
	state   JobState
	account string
}

// queryTimeout bounds asking one hub: within a zone it answers in a few milliseconds.
const queryTimeout = 250 * time.Millisecond

// view is what is known of a job here, by a hub of the zone, or in the store.
func (i *Instance) view(ctx context.Context, id string) (jobView, error) {
	if state, job, ok := i.replica.state(id); ok {
		return jobView{known: true, state: state, account: job.Account}, nil
	}
	if !i.replica.isLoaded() {
		if view, ok := i.askHubs(ctx, id); ok {
			return view, nil
		}
	}
	return i.fetch(ctx, id)
}

// zoneHubs lists the hubs of the zone that said something lately, the one first that
// this instance asks first: each leaf has its own, so that they share the load.
func (i *Instance) zoneHubs() []string {
	hubs := i.peers.fresh(func(v peerView) bool { return v.hub && v.zone == i.settings.AvailabilityZone })
	if len(hubs) == 0 {
		return nil
	}
	slices.Sort(hubs)
	first := int(xxhash.Sum64String(i.settings.Listen.Peers) % uint64(len(hubs)))
	return append(hubs[first:], hubs[:first]...)
}

// askHubs asks the hubs of the zone for a job, one after the other; false if none of
// them answers.
func (i *Instance) askHubs(ctx context.Context, id string) (jobView, bool) {
	for _, hub := range i.zoneHubs() {
		if view, err := i.askHub(ctx, hub, id); err == nil {
			return view, true
		}
	}
	return jobView{}, false
}

func (i *Instance) askHub(ctx context.Context, hub, id string) (jobView, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := i.node.Call(ctx, hub, &peerpb.Request{Body: &peerpb.Request_JobQuery{JobQuery: &peerpb.JobQuery{JobId: id}}})
	if err != nil {
		return jobView{}, err
	}
	job := response.GetJobView()
	return jobView{known: job.GetKnown(), state: JobState(job.GetState()), account: job.GetClientAccount()}, nil
}

// answerQuery answers a leaf.
func (i *Instance) answerQuery(ctx context.Context, query *peerpb.JobQuery) (*peerpb.Response, error) {
	if !i.replica.isLoaded() {
		return nil, api.NewError(api.KindNotReady, "not a hub")
	}
	view, err := i.view(ctx, query.GetJobId())
	if err != nil {
		return nil, err
	}
	return &peerpb.Response{Body: &peerpb.Response_JobView{JobView: &peerpb.JobView{
		Known: view.known, State: string(view.state), ClientAccount: view.account,
	}}}, nil
}

// fetch reads a job's rows from the store.
func (i *Instance) fetch(ctx context.Context, id string) (jobView, error) {
	read := newReplica(i.logger)
	for _, prefix := range []string{jobPrefix, cancelPrefix, recordPrefix} {
		key := prefix + id
		page, err := i.store.Read(ctx, workload.SourceOwn, partOf(key), key, key+"\x00")
		if err != nil {
			return jobView{}, api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", err), i.comeBack(ctx))
		}
		read.apply(page.Rows)
		i.replica.apply(page.Rows)
		if len(page.Rows) == 0 && prefix == jobPrefix {
			return jobView{}, nil
		}
	}
	replica := i.replica
	if !replica.isLoaded() {
		replica = read
	}
	state, job, ok := replica.state(id)
	if !ok {
		return jobView{}, nil // its row cannot be read
	}
	return jobView{known: true, state: state, account: job.Account}, nil
}

package deployment

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// jobView is the part of a job's state that is reported to callers.
type jobView struct {
	known   bool
	state   JobState
	account string
	source  viewSource
}

// viewSource is where an instance found a job, or found that there is none.
type viewSource string

// The sources of a job's state.
const (
	viewFromCopy  viewSource = "copy"
	viewFromHub   viewSource = "hub"
	viewFromStore viewSource = "store"
)

// queryTimeout bounds a query to one hub; within a zone it answers in a few
// milliseconds.
const queryTimeout = 250 * time.Millisecond

// lookupJob returns the state of a job from the local replica, from a hub of the zone,
// or from the store.
func (i *Instance) lookupJob(ctx context.Context, id string) (jobView, error) {
	if state, job, ok := i.replica.state(id); ok {
		i.logShown(id, state, i.replica.version(recordPrefix+id))
		return jobView{known: true, state: state, account: job.Account, source: viewFromCopy}, nil
	}
	if !i.replica.isLoaded() {
		if view, ok := i.queryHubs(ctx, id); ok {
			return view, nil
		}
	}
	return i.readJob(ctx, id)
}

// logShown logs a final state that a caller is about to be shown. recordVersion is the version of the
// stored record behind it.
func (i *Instance) logShown(id string, state JobState, recordVersion int64) {
	if state.isFinal() {
		i.logger.Info("end shown", zap.String("job", id), zap.String("state", string(state)), zap.Int64("record_version", recordVersion))
	}
}

// zoneHubs returns the recently active hubs of the zone in the order in which this
// instance queries them. The first one depends on the instance's address, so that the
// hubs share the load.
func (i *Instance) zoneHubs() []string {
	hubs := i.peers.recent(func(v peerView) bool { return v.hub && v.zone == i.settings.AvailabilityZone })
	if len(hubs) == 0 {
		return nil
	}
	slices.Sort(hubs)
	first := int(xxhash.Sum64String(i.settings.Listen.Peers) % uint64(len(hubs)))
	return append(hubs[first:], hubs[:first]...)
}

// queryHubs queries the hubs of the zone for a job one after the other; false if none
// of them answers.
func (i *Instance) queryHubs(ctx context.Context, id string) (jobView, bool) {
	for _, hub := range i.zoneHubs() {
		if view, err := i.queryHub(ctx, hub, id); err == nil {
			return view, true
		}
	}
	return jobView{}, false
}

func (i *Instance) queryHub(ctx context.Context, hub, id string) (jobView, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := i.node.Call(ctx, hub, &peerpb.Request{Body: &peerpb.Request_JobQuery{JobQuery: &peerpb.JobQuery{JobId: id}}})
	if err != nil {
		return jobView{}, err
	}
	job := response.GetJobView()
	return jobView{known: job.GetKnown(), state: JobState(job.GetState()), account: job.GetClientAccount(), source: viewFromHub}, nil
}

// answerQuery answers the query of a leaf.
func (i *Instance) answerQuery(ctx context.Context, query *peerpb.JobQuery) (*peerpb.Response, error) {
	if !i.replica.isLoaded() {
		return nil, api.NewError(api.KindNotReady, "not a hub")
	}
	view, err := i.lookupJob(ctx, query.GetJobId())
	if err != nil {
		return nil, err
	}
	return &peerpb.Response{Body: &peerpb.Response_JobView{JobView: &peerpb.JobView{
		Known: view.known, State: string(view.state), ClientAccount: view.account,
	}}}, nil
}

// readJob reads the rows of a job from the store.
func (i *Instance) readJob(ctx context.Context, id string) (jobView, error) {
	read := newReplica(i.logger)
	for _, prefix := range []string{jobPrefix, cancelPrefix, recordPrefix} {
		key := prefix + id
		page, err := i.store.Read(ctx, workload.SourceOwn, partOf(key), key, key+"\x00")
		if err != nil {
			return jobView{}, api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", err), i.retryAfter(ctx))
		}
		read.apply(page.Rows)
		i.replica.apply(page.Rows)
		if len(page.Rows) == 0 && prefix == jobPrefix {
			return jobView{source: viewFromStore}, nil
		}
	}
	replica := i.replica
	if !replica.isLoaded() {
		replica = read
	}
	state, job, ok := replica.state(id)
	if !ok {
		return jobView{source: viewFromStore}, nil // the row cannot be decoded
	}
	i.logShown(id, state, replica.version(recordPrefix+id))
	return jobView{known: true, state: state, account: job.Account, source: viewFromStore}, nil
}

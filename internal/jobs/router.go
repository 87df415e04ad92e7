// Package jobs routes callers' job calls to the placer of the responsible
// availability zone, in this instance or a peer. Jobs that the placer does not
// return are read from the job store.
package jobs

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/placer"
	"github.com/corianderbank/corianderbank/internal/rules"
)

// Operations of a peerpb.JobCall.
const (
	opSubmit = "submit"
	opGet    = "get"
	opCancel = "cancel"
	opStatus = "status"
	opCheck  = "check"
)

// zoneSeparator separates the random part of a job's id from its zone.
const zoneSeparator = "~"

// Placer is the placer of this instance's zone; package placer implements it.
type Placer interface {
	Epoch() int64
	Submit(ctx context.Context, s placer.Submission) (api.JobAnswer, error)
	Get(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error)
	Cancel(ctx context.Context, id string) (api.JobAnswer, error)
	Status(ctx context.Context) api.Status
	CheckGuarantees(ctx context.Context, accounts []model.ClientAccount) error
}

// Peers finds the instances that hold the placer leases of the zones.
type Peers interface {
	// PlacerOf returns the instance with the highest known epoch of a zone.
	PlacerOf(zone string) (instance string, ok bool)
	// Zones returns the availability zones of all known instances.
	Zones() []string
}

// Router routes job calls. It is safe for concurrent use.
type Router struct {
	Zone   string
	Placer Placer
	Peers  Peers
	Caller peer.Caller
	Store  jobstore.Store
	// Evaluate applies the rules in force to a submission for a zone.
	Evaluate func(job api.JobSubmission, zone string) rules.Verdict
}

// NewID returns a new job id that names the job's zone.
func NewID(zone string) string { return "j-" + strings.ToLower(rand.Text()) + zoneSeparator + zone }

func zoneOf(id string) (string, bool) {
	_, zone, ok := strings.Cut(id, zoneSeparator)
	return zone, ok && zone != ""
}

// Submit submits the job to its zone or, if it names none, to each zone in turn,
// starting with the instance's own. It tries further zones only after refusals that
// apply to one zone, and only if the rules permit it (Verdict.Spill). If all zones
// tried refuse the job, it returns the refusal of the first one. It returns an
// unknown result at once.
func (r *Router) Submit(ctx context.Context, job api.JobSubmission) (api.JobAnswer, error) {
	var firstRefusal api.JobAnswer
	var firstErr error
	for i, zone := range r.candidateZones(job) {
		answer, err := r.submitTo(ctx, zone, job)
		if err == nil {
			return answer, nil
		}
		if api.IsKind(err, api.KindResultUnknown) {
			// This zone may have accepted the job, regardless of earlier refusals.
			return answer, err
		}
		if firstErr == nil {
			firstRefusal, firstErr = answer, err
		}
		if !mayTryOtherZone(err) || (i == 0 && !r.Evaluate(job, zone).Spill) {
			break
		}
	}
	if firstErr == nil {
		firstErr = api.NewError(api.KindNoPlacer, "no availability zone is known")
	}
	return api.JobAnswer{ID: firstRefusal.ID, Rule: firstRefusal.Rule}, firstErr
}

// mayTryOtherZone reports whether another zone may be tried: this one definitely
// did not accept the job, and the reason applies to this zone only.
func mayTryOtherZone(err error) bool {
	switch api.KindOf(err) {
	case api.KindNoPlacer, api.KindShapeNeverFits, api.KindDeadlineUnreachable, api.KindNotReady, api.KindStopping, api.KindQueueFull:
		return true
	}
	return false
}

func (r *Router) candidateZones(job api.JobSubmission) []string {
	if job.AvailabilityZone != "" {
		return []string{job.AvailabilityZone}
	}
	zones := []string{r.Zone}
	for _, zone := range r.Peers.Zones() {
		if zone != r.Zone {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones[1:])
	return zones
}

// submitTo submits the job to the instance that runs the zone's placer. The rules
// are applied there, because that instance has the load of the zone. The id is
// assigned here, so that the caller can query the job if the answer is lost.
func (r *Router) submitTo(ctx context.Context, zone string, job api.JobSubmission) (api.JobAnswer, error) {
	id := NewID(zone)
	if zone == r.Zone && r.Placer.Epoch() > 0 {
		return r.submitLocal(ctx, id, job)
	}
	body, err := json.Marshal(job)
	if err != nil {
		return api.JobAnswer{ID: id}, api.NewError(api.KindInternal, "%v", err)
	}
	answer, err := r.forward(ctx, zone, &peerpb.JobCall{Op: opSubmit, JobId: id, Submission: body})
	if err != nil {
		return api.JobAnswer{ID: id}, err
	}
	if answer.State != "" || answer.Outcome == api.OutcomeAccepted {
		return answer, nil
	}
	refusal := api.NewError(answer.ErrorKind, "%s", answer.Message)
	return answer, api.WithRetryAfter(refusal, time.Duration(answer.RetryAfterS*float64(time.Second)))
}

func (r *Router) submitLocal(ctx context.Context, id string, job api.JobSubmission) (api.JobAnswer, error) {
	verdict := r.Evaluate(job, r.Zone)
	refusal := api.JobAnswer{ID: id, Rule: verdict.Rule}
	if verdict.Refuse {
		err := api.NewError(api.KindRefusedByRule, "rule %q refuses", verdict.Rule)
		return refusal, api.WithRetryAfter(err, time.Duration(verdict.RetryAfterS*float64(time.Second)))
	}
	answer, err := r.Placer.Submit(ctx, placer.Submission{ID: id, Job: job, Verdict: verdict})
	if err != nil {
		return refusal, err
	}
	return answer, nil
}

// RefusalAnswer returns the answer to a job call that failed with err. Its outcome is
// unknown if the result of the call is unknown, and not_run otherwise.
func RefusalAnswer(answer api.JobAnswer, err error) api.JobAnswer {
	answer.Outcome = api.OutcomeNotRun
	if api.IsKind(err, api.KindResultUnknown) {
		answer.Outcome = api.OutcomeUnknown
	}
	answer.ErrorKind, answer.Message, answer.RetryAfterS = api.KindOf(err), err.Error(), api.RetryAfterS(err)
	return answer
}

// Get returns a job's answer from its placer or, if that fails, from the job store.
func (r *Router) Get(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	zone, ok := zoneOf(id)
	if !ok {
		return api.JobAnswer{}, api.NewError(api.KindNotFound, "no job %q", id)
	}
	answer, err := r.getFrom(ctx, zone, id, wait)
	if err == nil {
		return answer, nil
	}
	record, storeErr := r.Store.Get(ctx, id)
	if storeErr == nil {
		return jobstore.Answer(record), nil
	}
	if api.IsKind(storeErr, api.KindNotFound) {
		return api.JobAnswer{}, storeErr
	}
	return api.JobAnswer{}, err
}

func (r *Router) getFrom(ctx context.Context, zone, id string, wait time.Duration) (api.JobAnswer, error) {
	if zone == r.Zone && r.Placer.Epoch() > 0 {
		return r.Placer.Get(ctx, id, wait)
	}
	return r.forward(ctx, zone, &peerpb.JobCall{Op: opGet, JobId: id, WaitMs: wait.Milliseconds()})
}

// Cancel cancels a job. If the placer does not have the job in memory, Cancel
// returns the answer from the job store.
func (r *Router) Cancel(ctx context.Context, id string) (api.JobAnswer, error) {
	zone, ok := zoneOf(id)
	if !ok {
		return api.JobAnswer{}, api.NewError(api.KindNotFound, "no job %q", id)
	}
	answer, err := r.cancelAt(ctx, zone, id)
	if !api.IsKind(err, api.KindNotFound) {
		return answer, err
	}
	record, storeErr := r.Store.Get(ctx, id)
	if storeErr != nil {
		return api.JobAnswer{}, storeErr
	}
	return jobstore.Answer(record), nil
}

func (r *Router) cancelAt(ctx context.Context, zone, id string) (api.JobAnswer, error) {
	if zone == r.Zone && r.Placer.Epoch() > 0 {
		return r.Placer.Cancel(ctx, id)
	}
	return r.forward(ctx, zone, &peerpb.JobCall{Op: opCancel, JobId: id})
}

// List returns an account's jobs from the job store, newest first.
func (r *Router) List(ctx context.Context, account string, limit int) ([]api.JobAnswer, error) {
	records, err := r.Store.List(ctx, account, limit)
	if err != nil {
		return nil, err
	}
	answers := make([]api.JobAnswer, 0, len(records))
	for _, record := range records {
		answers = append(answers, jobstore.Answer(record))
	}
	return answers, nil
}

// CheckGuarantees checks with a zone's placer whether the guarantees of all
// accounts pack into its workers. It returns KindShapeNeverFits if they do not;
// any other error means that the check could not be made.
func (r *Router) CheckGuarantees(ctx context.Context, zone string, accounts []model.ClientAccount) error {
	if zone == r.Zone && r.Placer.Epoch() > 0 {
		return r.Placer.CheckGuarantees(ctx, accounts)
	}
	body, err := json.Marshal(accounts)
	if err != nil {
		return api.NewError(api.KindInternal, "%v", err)
	}
	_, err = r.callPlacer(ctx, zone, &peerpb.JobCall{Op: opCheck, Submission: body})
	return err
}

// Status returns the combined status of all zones. Zones whose placer does not
// answer are listed by name only.
func (r *Router) Status(ctx context.Context) api.Status {
	var total api.Status
	zones := r.Peers.Zones()
	sort.Strings(zones)
	for _, zone := range zones {
		status := r.zoneStatus(ctx, zone)
		total.Zones = append(total.Zones, status.Zones...)
		total.Accounts = append(total.Accounts, status.Accounts...)
	}
	return total
}

func (r *Router) zoneStatus(ctx context.Context, zone string) api.Status {
	if zone == r.Zone && r.Placer.Epoch() > 0 {
		return r.Placer.Status(ctx)
	}
	var status api.Status
	reply, err := r.callPlacer(ctx, zone, &peerpb.JobCall{Op: opStatus})
	if err != nil || json.Unmarshal(reply.GetAnswer(), &status) != nil {
		return api.Status{Zones: []api.ZoneStatus{{AvailabilityZone: zone}}}
	}
	return status
}

func (r *Router) forward(ctx context.Context, zone string, call *peerpb.JobCall) (api.JobAnswer, error) {
	reply, err := r.callPlacer(ctx, zone, call)
	if err != nil {
		return api.JobAnswer{}, err
	}
	var answer api.JobAnswer
	if err := json.Unmarshal(reply.GetAnswer(), &answer); err != nil {
		return api.JobAnswer{}, api.NewError(api.KindResultUnknown, "the placer's answer is not whole: %v", err)
	}
	return answer, nil
}

func (r *Router) callPlacer(ctx context.Context, zone string, call *peerpb.JobCall) (*peerpb.JobReply, error) {
	instance, ok := r.Peers.PlacerOf(zone)
	if !ok {
		return nil, api.NewError(api.KindNoPlacer, "no placer is known in availability zone %q", zone)
	}
	response, err := r.Caller.Call(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Job{Job: call}})
	if err != nil {
		return nil, err
	}
	return response.GetJob(), nil
}

// HandleCall answers a peer's job call with the local placer only, so that calls
// cannot be forwarded in a loop.
func (r *Router) HandleCall(ctx context.Context, call *peerpb.JobCall) (*peerpb.JobReply, error) {
	if r.Placer.Epoch() == 0 {
		return nil, api.NewError(api.KindNoPlacer, "this instance does not hold the placer lease")
	}
	answer, err := r.execute(ctx, call)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, api.NewError(api.KindInternal, "%v", err)
	}
	return &peerpb.JobReply{Answer: body}, nil
}

func (r *Router) execute(ctx context.Context, call *peerpb.JobCall) (any, error) {
	switch call.GetOp() {
	case opSubmit:
		var job api.JobSubmission
		if err := json.Unmarshal(call.GetSubmission(), &job); err != nil {
			return nil, api.NewError(api.KindMalformedBody, "%v", err)
		}
		answer, err := r.submitLocal(ctx, call.GetJobId(), job)
		if err != nil {
			return RefusalAnswer(answer, err), nil
		}
		return answer, nil
	case opCheck:
		var accounts []model.ClientAccount
		if err := json.Unmarshal(call.GetSubmission(), &accounts); err != nil {
			return nil, api.NewError(api.KindMalformedBody, "%v", err)
		}
		return api.JobAnswer{}, r.Placer.CheckGuarantees(ctx, accounts)
	case opGet:
		return r.Placer.Get(ctx, call.GetJobId(), time.Duration(call.GetWaitMs())*time.Millisecond)
	case opCancel:
		return r.Placer.Cancel(ctx, call.GetJobId())
	case opStatus:
		return r.Placer.Status(ctx), nil
	}
	return nil, api.NewError(api.KindInvalidField, "unknown operation %q", call.GetOp())
}

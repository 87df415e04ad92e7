package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/config"
)

// peerHandler handles the calls of other instances.
type peerHandler struct{ *instance }

// Handle implements peer.Handler.
func (h peerHandler) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_State:
		return &peerpb.Response{Body: &peerpb.Response_State{State: h.fleet.HandleState(body.State)}}, nil
	case *peerpb.Request_Config:
		return h.handleConfigQuery(body.Config), nil
	case *peerpb.Request_Job:
		reply, err := h.jobs.HandleCall(ctx, body.Job)
		if err != nil {
			return nil, err
		}
		return &peerpb.Response{Body: &peerpb.Response_Job{Job: reply}}, nil
	case *peerpb.Request_Slots:
		grants := h.dispatch.AnswerSlotDemand(request.GetFrom(), body.Slots)
		if grants == nil {
			return nil, api.NewError(api.KindStopping, "instance %s grants no slots any more", h.settings.Instance)
		}
		return &peerpb.Response{Body: &peerpb.Response_Slots{Slots: grants}}, nil
	case *peerpb.Request_Execute:
		return h.handleExecute(ctx, body.Execute)
	case *peerpb.Request_Explain:
		return h.handleExplain(body.Explain)
	}
	return nil, api.NewError(api.KindInvalidField, "unknown call")
}

func (h peerHandler) handleConfigQuery(query *peerpb.ConfigQuery) *peerpb.Response {
	number, digest, document := h.config.CurrentDocument()
	version := &peerpb.ConfigVersion{}
	if number > query.GetHave() {
		version = &peerpb.ConfigVersion{Version: number, Digest: digest, Document: config.Pack(document)}
	}
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: version}}
}

// handleExecute runs a request that was forwarded from another availability zone.
func (h peerHandler) handleExecute(ctx context.Context, call *peerpb.ExecuteCall) (*peerpb.Response, error) {
	if err := h.ready(); err != nil {
		return nil, err
	}
	var submission api.RequestSubmission
	if err := json.Unmarshal(call.GetSubmission(), &submission); err != nil {
		return nil, api.NewError(api.KindMalformedBody, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	body, err := json.Marshal(h.executor.ExecuteForwarded(ctx, call.GetId(), submission))
	if err != nil {
		return nil, api.NewError(api.KindInternal, "%v", err)
	}
	return &peerpb.Response{Body: &peerpb.Response_Execute{Execute: &peerpb.ExecuteReply{Answer: body}}}, nil
}

func (h peerHandler) handleExplain(query *peerpb.ExplainQuery) (*peerpb.Response, error) {
	body, err := json.Marshal(api.Explanation{ID: query.GetId(), Decisions: h.recorder.Explain(query.GetId())})
	if err != nil {
		return nil, api.NewError(api.KindInternal, "%v", err)
	}
	return &peerpb.Response{Body: &peerpb.Response_Explain{Explain: &peerpb.ExplainReply{Explanation: body}}}, nil
}

package standin

import (
	"context"
	"net/http"

	"github.com/corianderbank/corianderbank/api"
)

// writeAnswer writes value, or the error if err is not nil. A stale-epoch error
// carries the highest epoch seen.
func (k *Worker) writeAnswer(w http.ResponseWriter, value any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, value)
		return
	}
	body := api.BodyOf(err)
	if body.Kind == api.KindStaleEpoch {
		k.mu.Lock()
		body.Epoch = k.highestEpoch
		k.mu.Unlock()
	}
	writeErrorBody(w, body)
}

func (k *Worker) handleReserve(w http.ResponseWriter, r *http.Request) {
	var request api.Reserve
	if readJSON(w, r, &request) {
		report, err := k.Reserve(request)
		k.writeAnswer(w, report, err)
	}
}

func (k *Worker) handleStart(w http.ResponseWriter, r *http.Request) {
	var request api.Start
	if readJSON(w, r, &request) {
		report, err := k.Start(r.Context(), request)
		k.writeAnswer(w, report, err)
	}
}

func (k *Worker) handleRenew(w http.ResponseWriter, r *http.Request) {
	var request api.Renew
	if readJSON(w, r, &request) {
		report, err := k.Renew(request)
		k.writeAnswer(w, report, err)
	}
}

func (k *Worker) handleRelease(w http.ResponseWriter, r *http.Request) {
	var request api.Release
	if readJSON(w, r, &request) {
		k.writeAnswer(w, struct{}{}, k.Release(request))
	}
}

func (k *Worker) handleStop(w http.ResponseWriter, r *http.Request) {
	k.handleStopCall(w, r, func(_ context.Context, request api.Stop) (api.StopAnswer, error) { return k.Stop(request) })
}

func (k *Worker) handleThrottle(w http.ResponseWriter, r *http.Request) {
	k.handleStopCall(w, r, func(_ context.Context, request api.Stop) (api.StopAnswer, error) { return k.Throttle(request) })
}

func (k *Worker) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	k.handleStopCall(w, r, k.Checkpoint)
}

func (k *Worker) handleStopCall(w http.ResponseWriter, r *http.Request, operation func(context.Context, api.Stop) (api.StopAnswer, error)) {
	var request api.Stop
	if !readJSON(w, r, &request) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if request.WithinMS > 0 {
		ctx, cancel = context.WithTimeout(ctx, milliseconds(request.WithinMS))
		defer cancel()
	}
	answer, err := operation(ctx, request)
	k.writeAnswer(w, answer, err)
}

func (k *Worker) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults WorkerFaults
	if readJSON(w, r, &faults) {
		k.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	}
}

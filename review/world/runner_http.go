package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of a call to a runner.
type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch request.URL.Path {
	case "/api/run-start":
		r.handleStart(w, o)
	case "/api/run-stop":
		r.handleStop(w, o)
	case "/api/hold":
		r.handleHold(w, request, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reject answers 409. The caller holds mu.
func (r *runner) reject(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, map[string]any{"timestampMs": r.clock(), "reason": reason})
}

// isFenced rejects a lower fence number than the highest seen, and else takes the number and
// the lease. The caller holds mu.
func (r *runner) isFenced(w http.ResponseWriter, o order) bool {
	if o.FencingToken < r.fence {
		r.reject(w, "fence")
		return true
	}
	r.fence = o.FencingToken
	if o.DeadlineMS > 0 {
		until := r.start.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
		if latest := time.Now().Add(holdMax); until.After(latest) {
			until = latest
		}
		if until.After(r.lease) {
			r.lease = until
		}
	}
	return false
}

func (r *runner) handleStart(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse()
	known := r.running[runKey{o.Task, o.Attempt}]
	switch {
	case r.gone:
		panic(http.ErrAbortHandler)
	case r.isFenced(w, o):
	case known != nil:
		writeJSON(w, map[string]any{"timestampMs": r.clock()})
	case o.Attempt <= r.closed[o.Task]:
		r.reject(w, "old")
	case o.DeadlineMS <= r.clock():
		r.reject(w, "late")
	default:
		r.begin(o)
		writeJSON(w, map[string]any{"timestampMs": r.clock()})
	}
}

func (r *runner) handleStop(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse()
	if r.gone {
		panic(http.ErrAbortHandler)
	}
	if r.isFenced(w, o) {
		return
	}
	r.closed[o.Task] = max(r.closed[o.Task], o.Attempt)
	key := runKey{o.Task, o.Attempt}
	if t := r.running[key]; t != nil && !t.stopping {
		t.stopping = true
		time.AfterFunc(stopTakes, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(key, "stopped")
		})
	}
	writeJSON(w, map[string]any{"timestampMs": r.clock()})
}

func (r *runner) handleHold(w http.ResponseWriter, request *http.Request, o order) {
	timer := time.NewTimer(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	defer timer.Stop()
	for {
		r.mu.Lock()
		r.lapse()
		if r.gone {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.isFenced(w, o) {
			r.mu.Unlock()
			return
		}
		for len(r.ends) > 0 && r.ends[0][0].(int64) <= o.LastSeen {
			r.world.endNoted(r.ends[0])
			r.ends = r.ends[1:]
		}
		ends := append([][]any{}, r.ends[:min(len(r.ends), maxEnds)]...)
		changed, answer := r.changed, map[string]any{"timestampMs": r.clock(), "running": r.rows(), "finished": ends}
		r.mu.Unlock()
		if len(ends) == 0 && o.WaitMS > 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				o.WaitMS = 0
				continue
			case <-request.Context().Done():
				return
			}
		}
		writeJSON(w, answer)
		return
	}
}

package api

import "encoding/json"

// HeaderRequestID carries the request's id to a backend server and back.
const HeaderRequestID = "X-Request-Id"

// HeaderLeaving is set to "true" by a backend server that is about to stop.
const HeaderLeaving = "X-Backend-Leaving"

// Execute is the body of POST /v1/execute on a backend server.
type Execute struct {
	ID      string          `json:"id"`
	Account string          `json:"account"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// ExecuteAnswer is a backend server's answer. It counts only when whole and
// when ID is the request's own.
type ExecuteAnswer struct {
	ID string `json:"id"`
	// NotRun says that the backend server did not and will not run the request.
	NotRun bool `json:"not_run,omitempty"`
	// Failed says that the request ran and failed.
	Failed  bool            `json:"failed,omitempty"`
	Message string          `json:"message,omitempty"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// BackendHealth is the answer to GET /v1/health on a backend server.
type BackendHealth struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	InFlight    int    `json:"in_flight"`
	Slots       int    `json:"slots"`
}

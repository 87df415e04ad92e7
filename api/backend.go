package api

import "encoding/json"

// HeaderRequestID is the header that carries the request id to a backend server
// and back.
const HeaderRequestID = "X-Request-Id"

// HeaderLeaving is the header that a backend server sets to "true" when it is
// about to stop.
const HeaderLeaving = "X-Backend-Leaving"

// Execute is the body of POST /v1/execute on a backend server.
type Execute struct {
	ID      string          `json:"id"`
	Account string          `json:"account"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// ExecuteAnswer is a backend server's answer to POST /v1/execute. It is accepted
// only if it is complete and ID is the id of the request.
type ExecuteAnswer struct {
	ID string `json:"id"`
	// NotRun reports that the backend server did not and will not run the request.
	NotRun bool `json:"not_run,omitempty"`
	// Failed reports that the request ran and failed.
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

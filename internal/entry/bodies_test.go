package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// acceptAll accepts every request and job that passes the server's validation.
type acceptAll struct{}

func (acceptAll) Execute(_ context.Context, id string, _ api.RequestSubmission) api.RequestAnswer {
	return api.RequestAnswer{ID: id, Outcome: api.OutcomeDone}
}

func (acceptAll) Submit(context.Context, api.JobSubmission) (api.JobAnswer, error) {
	return api.JobAnswer{ID: "j", Outcome: api.OutcomeAccepted}, nil
}

func (acceptAll) Get(context.Context, string, time.Duration) (api.JobAnswer, error) {
	return api.JobAnswer{ID: "j", Outcome: api.OutcomeAccepted}, nil
}

func (acceptAll) Cancel(context.Context, string) (api.JobAnswer, error) {
	return api.JobAnswer{ID: "j", Outcome: api.OutcomeNotRun}, nil
}

func (acceptAll) List(context.Context, string, int) ([]api.JobAnswer, error) { return nil, nil }

func newTestHandler() http.Handler {
	defaults := settings.Default()
	return New(Options{
		Settings: &defaults, Requests: acceptAll{}, Jobs: acceptAll{}, Logger: zap.NewNop(), Ready: func() error { return nil },
	}).routes()
}

// post sends a body and checks what every answer must satisfy: no 5xx status,
// JSON with an outcome, and a declared error kind if the request is refused.
func post(t *testing.T, handler http.Handler, path, body string) (status int, kind api.Kind) {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var answer struct {
		Outcome api.Outcome `json:"outcome"`
		Kind    api.Kind    `json:"error_kind"`
	}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &answer), recorder.Body.String())
	assert.Assert(t, recorder.Code < 500, "%d for %q", recorder.Code, body)
	assert.Assert(t, answer.Outcome != "")
	if recorder.Code >= 400 {
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, api.AnswerFor(answer.Kind).Kind, answer.Kind, "the error kind is not declared")
	}
	return recorder.Code, answer.Kind
}

func TestInvalidBodiesAreRejectedWithTheirKind(t *testing.T) {
	const shape = `"declared_run_s":1,"shape":{"tasks":1,"accelerators_per_task":1}`
	cases := map[string]struct {
		path, body string
		kind       api.Kind
	}{
		"not JSON":                  {"/v1/requests", `{`, api.KindMalformedBody},
		"empty":                     {"/v1/jobs", ``, api.KindMalformedBody},
		"wrong type":                {"/v1/requests", `{"account":5}`, api.KindMalformedBody},
		"unknown field":             {"/v1/requests", `{"account":"a","kind":"k","nonsense":1}`, api.KindInvalidField},
		"data after the end":        {"/v1/requests", `{"account":"a","kind":"k"} {}`, api.KindMalformedBody},
		"too large":                 {"/v1/requests", `{"account":"` + strings.Repeat("a", 2<<20) + `"}`, api.KindBodyTooLarge},
		"no account":                {"/v1/requests", `{"kind":"k"}`, api.KindInvalidField},
		"a name that is too long":   {"/v1/requests", `{"account":"` + strings.Repeat("a", 65) + `","kind":"k"}`, api.KindInvalidField},
		"negative deadline":         {"/v1/requests", `{"account":"a","kind":"k","deadline_ms":-1}`, api.KindPastDeadline},
		"deadline beyond the limit": {"/v1/requests", `{"account":"a","kind":"k","deadline_ms":1000000000000}`, api.KindInvalidField},
		"past deadline":             {"/v1/jobs", `{"account":"a","kind":"k","deadline":"2001-01-01T00:00:00Z",` + shape + `}`, api.KindPastDeadline},
		"negative shape":            {"/v1/jobs", `{"account":"a","kind":"k","declared_run_s":1,"shape":{"tasks":-1,"accelerators_per_task":1}}`, api.KindInvalidShape},
		"shape beyond the limit":    {"/v1/jobs", `{"account":"a","kind":"k","declared_run_s":1,"shape":{"tasks":1,"accelerators_per_task":1000000}}`, api.KindInvalidShape},
		"run time beyond the limit": {"/v1/jobs", `{"account":"a","kind":"k","declared_run_s":1e300,"shape":{"tasks":1,"accelerators_per_task":1}}`, api.KindInvalidField},
		"no run time":               {"/v1/jobs", `{"account":"a","kind":"k","shape":{"tasks":1,"accelerators_per_task":1}}`, api.KindInvalidField},
		"valid request":             {"/v1/requests", `{"account":"a","kind":"k"}`, ""},
		"valid job":                 {"/v1/jobs", `{"account":"a","kind":"k",` + shape + `}`, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, kind := post(t, newTestHandler(), tc.path, tc.body)
			assert.Equal(t, kind, tc.kind)
		})
	}
}

func TestUnknownResourcesAndMethods(t *testing.T) {
	cases := map[string]struct {
		method, path string
		kind         api.Kind
		allow        string
	}{
		"no such path":                         {http.MethodGet, "/v1/nothing", api.KindNotFound, ""},
		"a path that supports another method":  {http.MethodPut, "/v1/requests", api.KindMethodNotAllowed, "POST"},
		"a path that supports several methods": {http.MethodPost, "/v1/jobs/j-1", api.KindMethodNotAllowed, "GET, DELETE"},
		"a path below a resource":              {http.MethodGet, "/v1/jobs/j-1/more", api.KindNotFound, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			newTestHandler().ServeHTTP(recorder, httptest.NewRequest(tc.method, tc.path, nil))
			var body api.ErrorBody
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
			assert.Equal(t, body.Kind, tc.kind)
			assert.Equal(t, recorder.Code, api.AnswerFor(tc.kind).Status)
			assert.Equal(t, recorder.Header().Get("Allow"), tc.allow)
		})
	}
}

func FuzzBodies(f *testing.F) {
	f.Add(`{"account":"a","kind":"k","payload":{"x":[1,2]}}`)
	f.Add(`{"account":"a","kind":"k","declared_run_s":1e309,"shape":{"tasks":1e9}}`)
	f.Add(`{"account":"a","kind":"k","deadline":"0000-00-00","deadline_ms":9223372036854775808}`)
	f.Add("\x00\xff")
	f.Add(strings.Repeat("[", 20000))
	handler := newTestHandler()
	f.Fuzz(func(t *testing.T, body string) {
		post(t, handler, "/v1/requests", body)
		post(t, handler, "/v1/jobs", body)
	})
}

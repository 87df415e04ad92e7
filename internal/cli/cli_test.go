package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

const exampleConfig = "../../examples/configuration.json"

// fakeEntry answers every call with a fixed status and body, and records the last call.
type fakeEntry struct {
	status   int
	body     any
	call     string
	sentBody string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	e.call, e.sentBody = r.Method+" "+r.URL.String(), string(data)
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(e.body)
}

func runAgainst(t *testing.T, e *fakeEntry, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	server := httptest.NewServer(e)
	defer server.Close()
	var out, errs bytes.Buffer
	code = Run(append([]string{"--addr", strings.TrimPrefix(server.URL, "http://")}, args...), &out, &errs, Functions{})
	return code, out.String(), errs.String()
}

func writeInput(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "input.json")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestExitCodes(t *testing.T) {
	refuse := func(kind api.Kind) *fakeEntry {
		body := api.OperatorError{ErrorBody: api.ErrorBody{Kind: kind, Message: "m", RetryAfterS: 3}, Version: 7}
		return &fakeEntry{status: api.AnswerFor(kind).Status, body: body}
	}
	accept := func(body any) *fakeEntry { return &fakeEntry{status: http.StatusOK, body: body} }
	job := writeInput(t, `{"account": "a"}`)
	cases := map[string]struct {
		entry *fakeEntry
		args  []string
		code  int
		call  string
		want  string // in the standard output or error
	}{
		"help":                           {accept(nil), []string{"--help"}, ExitDone, "", "usage: corianderbank"},
		"help on a command":              {accept(nil), []string{"job", "show", "--help"}, ExitDone, "", "--wait"},
		"no command":                     {accept(nil), nil, ExitUsage, "", "--help"},
		"unknown command":                {accept(nil), []string{"nonsense"}, ExitUsage, "", "nonsense"},
		"unknown flag":                   {accept(nil), []string{"status", "--nonsense"}, ExitUsage, "", "nonsense"},
		"missing argument":               {accept(nil), []string{"explain"}, ExitUsage, "", "id"},
		"unknown output":                 {accept(nil), []string{"status", "--output", "xml"}, ExitUsage, "", "xml"},
		"version":                        {accept(nil), []string{"version"}, ExitDone, "", Version},
		"valid settings":                 {accept(nil), []string{"settings", "check", "../../examples/settings.json"}, ExitDone, "", "no problems"},
		"settings with problems":         {accept(nil), []string{"settings", "check", writeInput(t, `{"listen": 5}`)}, ExitUsage, "", "/listen"},
		"no such file":                   {accept(nil), []string{"settings", "check", "/nowhere/s.json"}, ExitUsage, "", "/nowhere"},
		"valid rules":                    {accept(nil), []string{"rules", "check", exampleConfig}, ExitDone, "", "8 rules"},
		"rules with problems":            {accept(nil), []string{"rules", "check", writeInput(t, `{"client_accounts":[],"rules":[{"name":"r","when":{"keyed":true},"then":{}}]}`)}, ExitUsage, "", "1:51: /rules/0/when: the last rule"},
		"explain rules":                  {accept(nil), []string{"rules", "explain", "--config", exampleConfig, "--kind", "spec-match"}, ExitDone, "", "decides\nadmitted with priority -20"},
		"apply":                          {accept(api.ConfigVersion{Version: 4}), []string{"config", "apply", "--expect", "3", exampleConfig}, ExitDone, "POST /v1/config", "version 4 accepted"},
		"apply against a newer version":  {refuse(api.KindConfigConflict), []string{"config", "apply", "--expect", "3", exampleConfig}, ExitFailed, "POST /v1/config", "version in force: 7"},
		"apply what an instance refuses": {refuse(api.KindConfigInvalid), []string{"config", "apply", "--expect", "3", exampleConfig}, ExitUsage, "POST /v1/config", "config_invalid"},
		"apply an invalid file":          {accept(nil), []string{"config", "apply", "--expect", "3", writeInput(t, `{`)}, ExitUsage, "", "input.json:1:"},
		"apply without a version":        {accept(nil), []string{"config", "apply", exampleConfig}, ExitUsage, "", "expect"},
		"show the configuration":         {accept(api.ConfigVersion{Version: 4}), []string{"config", "show"}, ExitDone, "GET /v1/config", "version 4"},
		"configuration status":           {accept(api.ConfigStatus{Head: 4, Everywhere: true}), []string{"config", "status"}, ExitDone, "GET /v1/config/status", "everywhere: yes"},
		"history":                        {accept(api.ConfigHistory{Versions: []api.ConfigVersion{{Version: 4}}}), []string{"config", "history"}, ExitDone, "GET /v1/config/history", "4"},
		"submit":                         {accept(api.JobAnswer{ID: "j-1", Outcome: api.OutcomeAccepted}), []string{"job", "submit", job}, ExitDone, "POST /v1/jobs", "accepted"},
		"submit a shape that never fits": {refuse(api.KindShapeNeverFits), []string{"job", "submit", job}, ExitFailed, "POST /v1/jobs", "shape_never_fits"},
		"submit an invalid shape":        {refuse(api.KindInvalidShape), []string{"job", "submit", job}, ExitUsage, "POST /v1/jobs", "invalid_shape"},
		"submit invalid JSON":            {accept(nil), []string{"job", "submit", writeInput(t, `{`)}, ExitUsage, "", "malformed_body"},
		"show a job":                     {accept(api.JobAnswer{ID: "j-1"}), []string{"job", "show", "j-1", "--wait", "2s"}, ExitDone, "GET /v1/jobs/j-1?wait_ms=2000", "j-1"},
		"an unknown job":                 {refuse(api.KindNotFound), []string{"job", "show", "j-1"}, ExitFailed, "GET /v1/jobs/j-1", "not_found"},
		"list jobs":                      {accept(api.JobList{Jobs: []api.JobAnswer{{ID: "j-1"}}}), []string{"job", "list", "--account", "a b"}, ExitDone, "GET /v1/jobs?account=a+b", "j-1"},
		"cancel a job":                   {accept(api.JobAnswer{ID: "j-1"}), []string{"job", "cancel", "j-1"}, ExitDone, "DELETE /v1/jobs/j-1", "j-1"},
		"explain from logs":              {accept(nil), []string{"explain", "ab12", "--log", writeInput(t, "ts=2 msg=submit job=ab12 queue=q\nts=1 msg=order order=start job=ab12 step=0\nts=3 msg=submit job=ab123\n")}, ExitDone, "", "ts=1 msg=order order=start job=ab12 step=0\nts=2 msg=submit job=ab12 queue=q\nnot found in 1 files: an end of a task"},
		"explain from a missing log":     {accept(nil), []string{"explain", "ab12", "--log", "/nowhere/log"}, ExitUsage, "", "/nowhere"},
		"explain":                        {accept(api.Explanation{Decisions: []api.Decision{{Step: "admit"}}}), []string{"explain", "r-1"}, ExitDone, "GET /v1/explain/r-1", "admit"},
		"status":                         {accept(api.Status{Zones: []api.ZoneStatus{{AvailabilityZone: "z"}}}), []string{"status"}, ExitDone, "GET /v1/status", "z"},
		"retry later":                    {refuse(api.KindStopping), []string{"status"}, ExitFailed, "GET /v1/status", "retry after 3 s"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := runAgainst(t, tc.entry, tc.args...)
			assert.Equal(t, code, tc.code, stdout+stderr)
			assert.Equal(t, tc.entry.call, tc.call)
			assert.Assert(t, strings.Contains(stdout+stderr, tc.want), stdout+stderr)
		})
	}
}

func TestJSONOutput(t *testing.T) {
	_, stdout, _ := runAgainst(t, &fakeEntry{status: http.StatusOK, body: api.Status{Instance: "i"}}, "status", "--output", "json")
	var status api.Status
	assert.NilError(t, json.Unmarshal([]byte(stdout), &status))
	assert.Equal(t, status.Instance, "i")
	code, stdout, stderr := runAgainst(t, &fakeEntry{}, "settings", "check", writeInput(t, `{}`), "--output", "json")
	var refused api.OperatorError
	assert.NilError(t, json.Unmarshal([]byte(stdout), &refused))
	assert.Equal(t, code, ExitUsage)
	assert.Equal(t, refused.Kind, api.KindConfigInvalid)
	assert.Equal(t, len(refused.Problems), 1)
	assert.Equal(t, stderr, "")
}

func TestNoAnswerIsAFailure(t *testing.T) {
	var out, errs bytes.Buffer
	assert.Equal(t, Run([]string{"--addr", "127.0.0.1:1", "--timeout", "2s", "status"}, &out, &errs, Functions{}), ExitFailed)
	assert.Assert(t, strings.Contains(errs.String(), "no answer from 127.0.0.1:1"))
}

func TestServeIsCalledWithTheSettingsFile(t *testing.T) {
	called := ""
	code := Run([]string{"serve", "--settings", "s.json"}, io.Discard, io.Discard, Functions{ServeZone: func(name string) error {
		called = name
		return nil
	}})
	assert.Equal(t, code, ExitDone)
	assert.Equal(t, called, "s.json")
}

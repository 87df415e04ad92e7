package process

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

// runCommand runs the binary with the address of the first entry instance and
// decodes its JSON output into result.
func (c *cluster) runCommand(result any, args ...string) (code int, output string) {
	c.t.Helper()
	command := exec.Command(filepath.Join(bin, "corianderbank"), append([]string{"--addr", c.entries[0].addr, "--output", "json"}, args...)...)
	out, err := command.Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return failed.ExitCode(), string(out) + string(failed.Stderr)
	}
	assert.NilError(c.t, err)
	if result != nil {
		assert.NilError(c.t, json.Unmarshal(out, result), string(out))
	}
	return 0, string(out)
}

func (c *cluster) metrics(entry int) string {
	response, err := client.R().Get("http://" + c.entries[entry].addr + "/metrics")
	assert.NilError(c.t, err)
	return response.String()
}

func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, backends: 1, workers: 2, configuration: oneAccount})
	writeFile := func(name, text string) string {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	succeeds := func(result any, args ...string) {
		t.Helper()
		code, output := c.runCommand(result, args...)
		assert.Equal(t, code, 0, "%v: %s", args, output)
	}
	fails := func(want int, kind api.Kind, args ...string) {
		t.Helper()
		code, output := c.runCommand(nil, args...)
		assert.Equal(t, code, want, output)
		assert.Assert(t, strings.Contains(output, string(kind)), output)
	}

	var version api.ConfigVersion
	configuration := writeFile("configuration.json", oneAccount)
	succeeds(&version, "config", "apply", "--expect", "1", configuration)
	assert.Equal(t, version.Version, int64(2))
	fails(1, api.KindConfigConflict, "config", "apply", "--expect", "1", configuration)
	fails(2, api.KindConfigInvalid, "config", "apply", "--expect", "2", writeFile("bad.json", `{"rules": []}`))
	succeeds(&version, "config", "show")
	assert.Equal(t, version.Version, int64(2))
	var history api.ConfigHistory
	succeeds(&history, "config", "history")
	assert.Equal(t, history.Versions[0].Version, int64(2))
	c.waitFor("the version is in force on every instance", func() bool {
		var status api.ConfigStatus
		succeeds(&status, "config", "status")
		return status.Everywhere && status.Head == 2 && len(status.Instances) == 2
	})

	var job api.JobAnswer
	succeeds(&job, "job", "submit", writeFile("job.json", `{"account": "acme", "kind": "suite", "declared_run_s": 1,
		"shape": {"tasks": 2, "accelerators_per_task": 4}, "payload": {"key": "k", "run_ms": 200}}`))
	assert.Equal(t, job.Outcome, api.OutcomeAccepted)
	succeeds(&job, "job", "show", job.ID, "--wait", "30s")
	assert.Equal(t, job.Outcome, api.OutcomeDone, job.Message)
	var list api.JobList
	succeeds(&list, "job", "list", "--account", "acme")
	assert.Equal(t, list.Jobs[0].ID, job.ID)
	fails(1, api.KindNotFound, "job", "show", "j-nobody")
	fails(2, api.KindInvalidShape, "job", "submit", writeFile("bad.json", `{"account": "acme", "kind": "k", "declared_run_s": 1, "shape": {"tasks": -1, "accelerators_per_task": 1}}`))

	var explanation api.Explanation
	succeeds(&explanation, "explain", job.ID)
	assert.Equal(t, explanation.Decisions[0].Step, "admit")
	fails(1, api.KindNotFound, "explain", "r-nobody")

	succeeds(&job, "job", "submit", writeFile("long.json", `{"account": "acme", "kind": "long", "declared_run_s": 60, "idempotent": true,
		"shape": {"tasks": 1, "accelerators_per_task": 8}, "payload": {"key": "l", "run_ms": 60000}}`))
	code, output := c.runCommand(nil, "job", "cancel", job.ID)
	assert.Equal(t, code, 0, output)
	c.waitFor("the cancelled job has ended", func() bool {
		succeeds(&job, "job", "show", job.ID)
		return job.Outcome != api.OutcomeAccepted
	})
	assert.Equal(t, job.ErrorKind, api.KindCancelled)

	var status api.Status
	succeeds(&status, "status")
	assert.Equal(t, len(status.Instances), 2)
	assert.Equal(t, status.Zones[0].Accelerators, 16)
	assert.Equal(t, len(status.Accounts), 1)

	assert.Assert(t, strings.Contains(c.metrics(c.placer()), `corianderbank_zone_accelerators{availability_zone="zone-1"} 16`))
	text := c.metrics(0)
	for _, line := range []string{"corianderbank_store_reachable 1", "corianderbank_requests_in_flight 0", `corianderbank_answers_total{work="job"`, "corianderbank_config_version 2", "go_goroutines"} {
		assert.Assert(t, strings.Contains(text, line), "metrics lack %s", line)
	}
}

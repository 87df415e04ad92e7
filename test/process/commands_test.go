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

// operator runs a command of the binary against an entry instance.
func (c *cluster) operator(result any, args ...string) (code int, output string) {
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
	c := startCluster(t, size{entries: 2, backends: 1, workers: 2, configuration: oneAccount})
	write := func(name, text string) string {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	done := func(result any, args ...string) {
		t.Helper()
		code, output := c.operator(result, args...)
		assert.Equal(t, code, 0, "%v: %s", args, output)
	}
	refused := func(want int, kind api.Kind, args ...string) {
		t.Helper()
		code, output := c.operator(nil, args...)
		assert.Equal(t, code, want, output)
		assert.Assert(t, strings.Contains(output, string(kind)), output)
	}

	var version api.ConfigVersion
	configuration := write("configuration.json", oneAccount)
	done(&version, "config", "apply", "--expect", "1", configuration)
	assert.Equal(t, version.Version, int64(2))
	refused(1, api.KindConfigConflict, "config", "apply", "--expect", "1", configuration)
	refused(2, api.KindConfigInvalid, "config", "apply", "--expect", "2", write("bad.json", `{"rules": []}`))
	done(&version, "config", "show")
	assert.Equal(t, version.Version, int64(2))
	var history api.ConfigHistory
	done(&history, "config", "history")
	assert.Equal(t, history.Versions[0].Version, int64(2))
	c.wait("the version is in force everywhere", func() bool {
		var status api.ConfigStatus
		done(&status, "config", "status")
		return status.Everywhere && status.Head == 2 && len(status.Instances) == 2
	})

	var job api.JobAnswer
	done(&job, "job", "submit", write("job.json", `{"account": "acme", "kind": "suite", "declared_run_s": 1,
		"shape": {"tasks": 2, "accelerators_per_task": 4}, "payload": {"key": "k", "run_ms": 200}}`))
	assert.Equal(t, job.Outcome, api.OutcomeAccepted)
	done(&job, "job", "show", job.ID, "--wait", "30s")
	assert.Equal(t, job.Outcome, api.OutcomeDone, job.Message)
	var list api.JobList
	done(&list, "job", "list", "--account", "acme")
	assert.Equal(t, list.Jobs[0].ID, job.ID)
	refused(1, api.KindNotFound, "job", "show", "j-nobody")
	refused(2, api.KindInvalidShape, "job", "submit", write("bad.json", `{"account": "acme", "kind": "k", "declared_run_s": 1, "shape": {"tasks": -1, "accelerators_per_task": 1}}`))

	var explanation api.Explanation
	done(&explanation, "explain", job.ID)
	assert.Equal(t, explanation.Decisions[0].Step, "admit")
	refused(1, api.KindNotFound, "explain", "r-nobody")

	done(&job, "job", "submit", write("long.json", `{"account": "acme", "kind": "long", "declared_run_s": 60, "idempotent": true,
		"shape": {"tasks": 1, "accelerators_per_task": 8}, "payload": {"key": "l", "run_ms": 60000}}`))
	code, output := c.operator(nil, "job", "cancel", job.ID)
	assert.Equal(t, code, 0, output)
	c.wait("the cancelled job has ended", func() bool {
		done(&job, "job", "show", job.ID)
		return job.Outcome != api.OutcomeAccepted
	})
	assert.Equal(t, job.ErrorKind, api.KindCancelled)

	var status api.Status
	done(&status, "status")
	assert.Equal(t, len(status.Instances), 2)
	assert.Equal(t, status.Zones[0].Accelerators, 16)
	assert.Equal(t, len(status.Accounts), 1)

	assert.Assert(t, strings.Contains(c.metrics(c.placer()), `corianderbank_zone_accelerators{availability_zone="zone-1"} 16`))
	text := c.metrics(0)
	for _, line := range []string{"corianderbank_store_reachable 1", "corianderbank_requests_in_flight 0", `corianderbank_answers_total{work="job"`, "corianderbank_config_version 2", "go_goroutines"} {
		assert.Assert(t, strings.Contains(text, line), "metrics lack %s", line)
	}
}

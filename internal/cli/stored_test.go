package cli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// runWithDecoder runs the command line with a decoder of stored configurations.
func runWithDecoder(decode func([]byte) (*workload.Configuration, error), args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Run(args, &out, &errs, Functions{DecodeStored: decode})
	return code, out.String(), errs.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestStoredConfigurationIsExplained(t *testing.T) {
	decode := func([]byte) (*workload.Configuration, error) {
		return &workload.Configuration{
			Version: 7,
			Queues: []workload.Queue{
				{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Priority: 2, Attempts: 3, LatencyFactor: 3, GracePeriodMS: 3000},
				{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, Attempts: 0, LatencyFactor: 1.5, GracePeriodMS: 250, Public: true},
			},
			Accounts: []workload.Account{
				{Name: "acme", Keys: []string{"k1", "k2"}, Guaranteed: workload.Resources{Accelerators: 72}},
				{Name: "other", Keys: []string{"k2"}},
			},
		}, nil
	}
	code, out, _ := runWithDecoder(decode, "config", "stored", writeFile(t, "stored.json", "{}"))
	assert.Equal(t, code, ExitDone)
	for _, line := range []string{
		"version 7",
		"1.5 times its work and 250ms",
		"queue urgent has no worker pool: its jobs cannot run",
		"queue urgent allows no attempts: one attempt is made",
		"client accounts acme and other share a key",
	} {
		assert.Assert(t, strings.Contains(out, line), "%q is missing in:\n%s", line, out)
	}
	assert.Assert(t, strings.Index(out, "urgent ") < strings.Index(out, "batch "), "queues are not listed by priority:\n%s", out)
}

func TestUnreadableStoredConfigurationIsAnError(t *testing.T) {
	decode := func([]byte) (*workload.Configuration, error) { return nil, errors.New("truncated body") }
	code, _, errs := runWithDecoder(decode, "config", "stored", writeFile(t, "stored.json", "{"))
	assert.Assert(t, code != ExitDone)
	assert.Assert(t, strings.Contains(errs, "truncated body"), errs)
}

func TestDeploymentSettingsAreChecked(t *testing.T) {
	good := `{"instance": "i", "availability_zone": "z", "store": "127.0.0.1:1",
		"listen": {"callers": "127.0.0.1:2", "ready": "127.0.0.1:3", "peers": "127.0.0.1:4"}}`
	for name, c := range map[string]struct {
		text string
		code int
		want []string
	}{
		"without problems":          {good, ExitDone, []string{"no problems"}},
		"with all problems at once": {strings.NewReplacer(`"store": "127.0.0.1:1"`, `"store": 5`, `"callers"`, `"caller"`).Replace(good), ExitUsage, []string{"store", "caller"}},
		"with an invalid bound":     {strings.Replace(good, `"store"`, `"bounds": {"stop_ms": -1}, "store"`, 1), ExitUsage, []string{"stop_ms"}},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runWithDecoder(nil, "settings", "check", "--deployment", writeFile(t, "settings.json", c.text))
			assert.Equal(t, code == ExitDone, c.code == ExitDone, "%s%s", out, errs)
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(out+errs, want), "%q is missing in:\n%s%s", want, out, errs)
			}
		})
	}
}

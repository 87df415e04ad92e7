package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestDecisionIsOneLineOfKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(&out, "info", "i-1", "nl-west-a")
	assert.NilError(t, err)
	LogDecision(logger, api.Decision{Step: "route", Subject: "r-1", Account: "acme", Choice: "b-2", Reason: "fewest in flight\nof all", SecondBest: "b-3"})
	line := out.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	for _, pair := range []string{"instance=i-1", "step=route", "subject=r-1", "client_account=acme", "choice=b-2", "second_best=b-3"} {
		assert.Assert(t, strings.Contains(line, pair), line)
	}
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud", "i", "z")
	assert.Assert(t, err != nil)
}

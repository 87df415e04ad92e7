package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCrashDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		crashes Crashes
		want    CrashDecision
	}{
		"no worker crashed":                                        {Crashes{}, StartFreely},
		"one may have crashed":                                     {Crashes{Possible: 1}, StartFreely},
		"one crashed, possibly because of another task":            {Crashes{Confirmed: 1}, StartRecorded},
		"two crashed, possibly by chance":                          {Crashes{Confirmed: 2}, StartRecorded},
		"two crashed, a third may have":                            {Crashes{Confirmed: 2, Possible: 1}, AwaitEvidence},
		"three may have crashed":                                   {Crashes{Possible: 3}, AwaitEvidence},
		"three crashed":                                            {Crashes{Confirmed: 3}, Abandon},
		"one crashed recently":                                     {Crashes{Recent: 1}, StartRecorded},
		"two crashed, a third recently":                            {Crashes{Confirmed: 2, Recent: 1}, AwaitEvidence},
		"one crashed, many starts were never acknowledged":         {Crashes{Confirmed: 1, Unacknowledged: 6}, StartRecorded},
		"two crashed, three starts were never acknowledged":        {Crashes{Confirmed: 2, Unacknowledged: 3}, Abandon},
		"four crashed together with many others":                   {Crashes{Correlated: 4}, StartRecorded},
		"four crashed together with many others, a fifth may have": {Crashes{Correlated: 4, Possible: 1}, AwaitEvidence},
		"five crashed, four of them together with many others":     {Crashes{Confirmed: 1, Correlated: 4}, Abandon},
		"three crashed, two others may have":                       {Crashes{Confirmed: 3, Possible: 2}, Abandon},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.crashes.Decide(), c.want) })
	}
}

func TestLongRunIsProven(t *testing.T) {
	assert.Assert(t, !Proven(10*time.Second))
	assert.Assert(t, Proven(2*time.Minute))
}

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
		"three crashed, one of them with nothing else on it":       {Crashes{Confirmed: 3, Isolated: 1}, Abandon},
		"three crashed, possibly because of other tasks":           {Crashes{Confirmed: 3}, StartRecorded},
		"three crashed, a fourth with nothing else on it may have": {Crashes{Confirmed: 3, Possible: 1}, AwaitEvidence},
		"five crashed, all possibly because of other tasks":        {Crashes{Confirmed: 5}, Abandon},
		"five crashed, but a run lasted longer than its start":     {Crashes{Survived: time.Second, Confirmed: 5, Isolated: 5}, StartRecorded},
		"six crashed, though a run lasted longer than its start":   {Crashes{Survived: time.Second, Confirmed: 6, Isolated: 1}, Abandon},
		"ten lost, though a run lasted longer than its start":      {Crashes{Survived: time.Second, Confirmed: 5, Correlated: 5}, Abandon},
		"one crashed recently":                                     {Crashes{Recent: 1}, StartRecorded},
		"two crashed, a third recently":                            {Crashes{Confirmed: 2, Recent: 1}, AwaitEvidence},
		"one crashed, many starts were never acknowledged":         {Crashes{Confirmed: 1, Unacknowledged: 6}, StartRecorded},
		"two crashed, three starts were never acknowledged":        {Crashes{Confirmed: 2, Unacknowledged: 3}, Abandon},
		"four crashed together with many others":                   {Crashes{Correlated: 4}, StartRecorded},
		"four crashed together with many others, a fifth may have": {Crashes{Correlated: 4, Possible: 1}, AwaitEvidence},
		"five crashed, four of them together with many others":     {Crashes{Confirmed: 1, Correlated: 4}, Abandon},
		"three crashed, two others may have":                       {Crashes{Confirmed: 3, Isolated: 1, Possible: 2}, Abandon},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.crashes.Decide(), c.want) })
	}
}

func TestLongRunIsProven(t *testing.T) {
	assert.Assert(t, !Proven(10*time.Second))
	assert.Assert(t, Proven(2*time.Minute))
}

func TestOnlyARunThatLastedLongerThanACrashedOneOutlivesIt(t *testing.T) {
	for name, c := range map[string]struct {
		survived, observed time.Duration
		want               bool
	}{
		"the crashed run was not seen, the other for two seconds": {2 * time.Second, 0, true},
		"the crash may have come after the next report":           {2 * time.Second, 700 * time.Millisecond, false},
		"the crashed run lasted longer":                           {2 * time.Second, 3 * time.Second, false},
		"no run was seen":                                         {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Outlived(c.survived, c.observed), c.want) })
	}
}

package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWhatTheCrashesOfATaskLeadTo(t *testing.T) {
	for name, c := range map[string]struct {
		crashes Crashes
		want    CrashDecision
	}{
		"no worker went down under it":                   {Crashes{}, StartFreely},
		"one may have":                                   {Crashes{Possible: 1}, StartFreely},
		"one has, which others may have taken down":      {Crashes{Seen: 1}, StartRecorded},
		"two have, which may be chance":                  {Crashes{Seen: 2}, StartRecorded},
		"a third may have: whether it has is waited for": {Crashes{Seen: 2, Possible: 1}, AwaitEvidence},
		"three may have, and nothing is known of any":    {Crashes{Possible: 3}, AwaitEvidence},
		"three have":           {Crashes{Seen: 3}, GiveUp},
		"one has just now":     {Crashes{Recent: 1}, StartRecorded},
		"a third has just now": {Crashes{Seen: 2, Recent: 1}, AwaitEvidence},
		"starts that were lost unanswered say little": {Crashes{Seen: 1, Unsure: 6}, StartRecorded},
		"two have, and starts were lost beside them":  {Crashes{Seen: 2, Unsure: 3}, GiveUp},
		"four went down among many others":            {Crashes{Shared: 4}, StartRecorded},
		"a fifth may have":                            {Crashes{Shared: 4, Possible: 1}, AwaitEvidence},
		"five did":                                    {Crashes{Seen: 1, Shared: 4}, GiveUp},
		"three have, whatever else is not known":      {Crashes{Seen: 3, Possible: 2}, GiveUp},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.crashes.Decide(), c.want) })
	}
}

func TestALongRunClearsItsTask(t *testing.T) {
	assert.Assert(t, !Proven(10*time.Second))
	assert.Assert(t, Proven(2*time.Minute))
}

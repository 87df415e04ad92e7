package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStandingOfATask(t *testing.T) {
	for name, c := range map[string]struct {
		crashes Crashes
		want    Standing
	}{
		"no worker went down under it":                   {Crashes{}, Clear},
		"one may have":                                   {Crashes{Possible: 1}, Clear},
		"one has, which others may have taken down":      {Crashes{Seen: 1}, Suspect},
		"two have, which may be chance":                  {Crashes{Seen: 2}, Suspect},
		"a third may have: whether it has is waited for": {Crashes{Seen: 2, Possible: 1}, Undecided},
		"three may have, and nothing is known of any":    {Crashes{Possible: 3}, Undecided},
		"three have":                             {Crashes{Seen: 3}, Guilty},
		"three have, whatever else is not known": {Crashes{Seen: 3, Possible: 2}, Guilty},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.crashes.Standing(), c.want) })
	}
}

func TestALongRunClearsItsTask(t *testing.T) {
	assert.Assert(t, !Proven(10*time.Second))
	assert.Assert(t, Proven(2*time.Minute))
}

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

// endlessJobs has one job, which ends at a time.
type endlessJobs struct {
	Jobs
	endsAt time.Time
}

// Get implements Jobs.
func (j endlessJobs) Get(_ context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	outcome := api.OutcomeAccepted
	if untilEnd := time.Until(j.endsAt); untilEnd <= wait {
		time.Sleep(max(0, untilEnd))
		outcome = api.OutcomeDone
	} else {
		time.Sleep(wait)
	}
	return api.JobAnswer{ID: id, Outcome: outcome}, nil
}

func TestWaitingReaderDoesNotHoldUpAShutdown(t *testing.T) {
	const never = time.Hour
	cases := map[string]struct {
		wait, endsAfter, stopsAfter time.Duration
		took                        time.Duration
		outcome                     api.Outcome
	}{
		"no wait":                            {0, never, never, 0, api.OutcomeAccepted},
		"the wait ends first":                {5 * time.Second, never, never, 5 * time.Second, api.OutcomeAccepted},
		"the job ends first":                 {time.Minute, 7 * time.Second, never, 7 * time.Second, api.OutcomeDone},
		"the shutdown comes first":           {time.Minute, never, 3 * time.Second, 4 * time.Second, api.OutcomeAccepted},
		"a read during a shutdown is short":  {time.Minute, never, 0, 2 * time.Second, api.OutcomeAccepted},
		"the job ends during the last slice": {time.Minute, 3500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, api.OutcomeDone},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				s := &Server{opts: Options{
					Jobs: endlessJobs{endsAt: started.Add(test.endsAfter)},
					Ready: func() error {
						if time.Since(started) >= test.stopsAfter {
							return api.NewError(api.KindStopping, "stopping")
						}
						return nil
					},
				}}
				answer, err := s.awaitJob(t.Context(), "j", test.wait)
				assert.NilError(t, err)
				assert.Equal(t, answer.Outcome, test.outcome)
				assert.Equal(t, time.Since(started), test.took)
			})
		})
	}
}

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

// timedJobs has one job, which ends at endsAt.
type timedJobs struct {
	Jobs
	endsAt time.Time
}

// Get implements Jobs.
func (j timedJobs) Get(_ context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	outcome := api.OutcomeAccepted
	if untilEnd := time.Until(j.endsAt); untilEnd <= wait {
		time.Sleep(max(0, untilEnd))
		outcome = api.OutcomeDone
	} else {
		time.Sleep(wait)
	}
	return api.JobAnswer{ID: id, Outcome: outcome}, nil
}

func TestWaitingReaderDoesNotDelayShutdown(t *testing.T) {
	const never = time.Hour
	cases := map[string]struct {
		wait, endAfter, stopAfter time.Duration
		elapsed                   time.Duration
		outcome                   api.Outcome
	}{
		"no wait":                            {0, never, never, 0, api.OutcomeAccepted},
		"the wait ends first":                {5 * time.Second, never, never, 5 * time.Second, api.OutcomeAccepted},
		"the job ends first":                 {time.Minute, 7 * time.Second, never, 7 * time.Second, api.OutcomeDone},
		"the shutdown starts first":          {time.Minute, never, 3 * time.Second, 4 * time.Second, api.OutcomeAccepted},
		"a read during a shutdown is short":  {time.Minute, never, 0, 2 * time.Second, api.OutcomeAccepted},
		"the job ends during the last slice": {time.Minute, 3500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, api.OutcomeDone},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				s := &Server{opts: Options{
					Jobs: timedJobs{endsAt: started.Add(test.endAfter)},
					Ready: func() error {
						if time.Since(started) >= test.stopAfter {
							return api.NewError(api.KindStopping, "stopping")
						}
						return nil
					},
				}}
				answer, err := s.awaitJob(t.Context(), "j", test.wait)
				assert.NilError(t, err)
				assert.Equal(t, answer.Outcome, test.outcome)
				assert.Equal(t, time.Since(started), test.elapsed)
			})
		})
	}
}

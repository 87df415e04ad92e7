package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// simulateRounds simulates a second with an event every two milliseconds, and returns
// the number of rounds and their total duration.
func simulateRounds(duration time.Duration) (rounds int, busy time.Duration) {
	start := bootTime()
	now := start
	last, due := roundTiming{startedAt: now.Add(-time.Second)}, time.Time{}
	for now.Sub(start) < time.Second {
		now = now.Add(2 * time.Millisecond)
		if !due.IsZero() && !now.Before(due) {
			last, due = roundTiming{startedAt: now, duration: duration}, time.Time{}
			now = now.Add(duration)
			rounds, busy = rounds+1, busy+duration
		}
		due = now.Add(delayUntilRound(last, now))
	}
	return rounds, busy
}

func TestEventsThatComeTogetherShareARound(t *testing.T) {
	rounds, _ := simulateRounds(0)
	assert.Assert(t, rounds <= int(time.Second/minRoundInterval)+1, "%d rounds in a second", rounds)
	now := bootTime()
	assert.Equal(t, delayUntilRound(roundTiming{startedAt: now.Add(-time.Second)}, now), time.Duration(0), "a single event does not wait")
}

func TestLongRoundsLeaveTheProcessorToPollsAndAnswers(t *testing.T) {
	for _, duration := range []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		rounds, busy := simulateRounds(duration)
		assert.Assert(t, busy <= time.Second*3/10, "rounds of %v take %v of a second", duration, busy)
		assert.Assert(t, rounds >= 5, "%d rounds of %v in a second", rounds, duration)
	}
}

func TestAReplacedLeaderDoesNotStartJobsOnItsSuccessorsStartIntents(t *testing.T) {
	it := newIntentTest(t)
	it.instance.leader.Store(it.leader)
	it.takesJobs.Store(true)
	it.instance.replica.onChange = it.instance.jobChanged
	started := dispatch.Record{StartIntent: true}
	job := workload.Job{ID: "00000000000000bb", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}}
	it.instance.replica.apply([]workload.Row{
		{Key: epochKey, Value: encode(2), Version: 100},
		{Key: jobPrefix + job.ID, Value: encode(job), Version: 101},
		{Key: recordPrefix + job.ID, Value: started.Encode(), Version: 102},
	})
	it.apply(<-it.events)
	assert.Equal(t, it.starts(0), 0)
	assert.Assert(t, it.grant.ended())
}

// A caller asks the replaced leader's instance for the job before its feed has brought the epoch.
func TestAReplacedLeaderDoesNotStartAJobThatACallerAsksFor(t *testing.T) {
	it := newIntentTest(t)
	it.core.JobsRead()
	i := it.instance
	i.leader.Store(it.leader)
	it.takesJobs.Store(true)
	i.replica.onChange = i.jobChanged
	rows, version, err := readTable(it.ctx, it.store, workload.SourceOwn)
	assert.NilError(t, err)
	i.tableReloaded(rows, version)
	for len(it.events) > 0 {
		it.apply(<-it.events)
	}
	// The successor takes the lease, a job is accepted, and the successor stores its start intent.
	takeEpoch(it.store, 2)
	job := workload.Job{ID: "00000000000000bb", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000, Need: workload.Resources{Accelerators: 1}}}}
	begun := dispatch.Record{StartIntent: true}
	it.store.putRows(
		workload.Row{Key: jobPrefix + job.ID, Value: encode(job)},
		workload.Row{Key: recordPrefix + job.ID, Value: begun.Encode()},
	)
	_, err = i.readJob(t.Context(), job.ID)
	assert.NilError(t, err)
	for len(it.events) > 0 {
		it.apply(<-it.events)
	}
	assert.Assert(t, !it.grant.ended(), "the feed has not brought the later epoch")
	assert.Equal(t, it.starts(0), 0)
}

// The whole read is done in pages: the epoch is in the first one, records are in later ones.
func TestAReplacedLeaderDoesNotStartAJobThatAPagedReadBrings(t *testing.T) {
	it := newIntentTest(t)
	it.core.JobsRead()
	i := it.instance
	i.leader.Store(it.leader)
	it.takesJobs.Store(true)
	i.replica.onChange = i.jobChanged
	rows, version, err := readTable(it.ctx, it.store, workload.SourceOwn)
	assert.NilError(t, err)
	job := workload.Job{ID: "00000000000000bb", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000, Need: workload.Resources{Accelerators: 1}}}}
	begun := dispatch.Record{StartIntent: true}
	// What readAll returns if the successor writes between two pages: version of the first page.
	rows = append(rows, workload.Row{Key: jobPrefix + job.ID, Value: encode(job), Version: version + 2},
		workload.Row{Key: recordPrefix + job.ID, Value: begun.Encode(), Version: version + 3})
	i.tableReloaded(rows, version)
	for len(it.events) > 0 {
		it.apply(<-it.events)
	}
	assert.Assert(t, !it.grant.ended(), "the feed has not brought the later epoch")
	assert.Equal(t, it.starts(0), 0)
}

func TestALeaderThatIsReplacedWhileItReadsTheTableDoesNotLead(t *testing.T) {
	begun := dispatch.Record{StartIntent: true}
	for name, row := range map[string]workload.Row{
		"a record":                    {Key: recordPrefix + "a", Value: begun.Encode()},
		"a part of a record":          {Key: recordPartKey("a", 1, 0), Value: begun.Encode()},
		"a start intent stored apart": {Key: intentPrefix + "a", Value: encode(3)},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.putRows(jobRow("b", 0), recordRow("b", "", 0), workload.Row{Key: intentPrefix + "b", Value: encode(1)})
			c := newReadingLeader(t, store)
			store.putRows(row)
			_, leads := c.load()
			assert.Assert(t, !leads)
			assert.Assert(t, c.grant.ended())
		})
	}
}

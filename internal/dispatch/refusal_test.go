package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// advanceRefused advances while the store refuses the record of a job.
func (b *bench) advanceRefused(job string, d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.core.RecordRefused(UnstoredRecord{Job: job}, b.now, b.wallMS)
		b.advance(50 * time.Millisecond)
	}
}

func TestEndsInARecordThatTheStoreRefusesAreNotAcknowledgedAndDoNotRunAgainAfterATakeover(t *testing.T) {
	b := newBench(t, 1, false)
	job := singleJob("chain", "batch", "other", 1, 1)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After = []int{0}
	b.add(job)
	b.advance(time.Second)
	assert.Equal(t, b.starts, 1)
	stored := b.core.jobs["chain"].record.clone()
	b.endAll(workload.CompletionDone)
	b.advanceRefused("chain", 3*time.Second)
	w := b.workers["w00"]
	assert.Equal(t, b.starts, 2, "the step after it does not wait for the store")
	assert.Equal(t, len(w.ended), 1, "the end was acknowledged")
	assert.Equal(t, b.core.UnstoredRecordCount(), 0, "the record is held back")

	b.core = New(testBounds, 3, b.now, b.now)
	b.core.Configure(testConfig())
	b.listWorkers()
	b.core.AddJob(job, stored, false, b.now, b.wallMS)
	b.advance(3 * time.Second)
	assert.Equal(t, b.starts, 2, "a task was started again")
	assert.Equal(t, len(w.ended), 0)
	b.endAll(workload.CompletionDone)
	b.advanceRefused("chain", 3*time.Second)
	assert.Equal(t, b.finalState("chain"), FinalCompleted)
	assert.Equal(t, len(w.ended), 1, "the end of the job was acknowledged")
}

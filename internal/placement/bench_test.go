package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
)

// benchSnapshot returns a full zone: gangs on most accelerators, half of them
// borrowing, and a queue, in the proportions of 640 workers with about 2,100 running
// tasks and 500 waiting jobs.
func benchSnapshot(workers int) Snapshot {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	s := testSnapshot(workers/8, 8)
	s.RunTimes = estimate.NewHistory()
	for i := range 4 {
		s.Accounts = append(s.Accounts, testAccount(fmt.Sprintf("a%d", i), workers/16, 2))
	}
	for i := range 4 * workers {
		s.Waiting = append(s.Waiting, benchJob(random, fmt.Sprintf("r%d", i)))
	}
	s = applyPlan(s, Decide(s))
	for i := range s.Gangs {
		s.Gangs[i].ExpectedCompletion = s.Now.Add(time.Duration(1+random.IntN(7200)) * time.Second)
	}
	s.Waiting = nil
	for i := range workers * 500 / 640 {
		s.Waiting = append(s.Waiting, benchJob(random, fmt.Sprintf("w%d", i)))
	}
	s.Now = s.Now.Add(time.Minute)
	return s
}

func benchJob(random *rand.Rand, id string) model.Job {
	job := testJob(id, fmt.Sprintf("a%d", random.IntN(4)), 1, 1)
	job.Shape = benchShape(random)
	job.Idempotent = random.IntN(10) > 0
	job.Checkpointable = job.Idempotent && random.IntN(2) > 0
	job.DeclaredRunTime = time.Duration(60+random.IntN(7200)) * time.Second
	job.SubmittedAt = testNow.Add(-time.Duration(random.IntN(3600)) * time.Second)
	return job
}

// benchShape draws mostly small gangs, with about 2.4 accelerators per task on
// average.
func benchShape(random *rand.Rand) api.Shape {
	switch n := random.IntN(20); {
	case n < 12:
		return api.Shape{Tasks: 1, AcceleratorsPerTask: 1}
	case n < 16:
		return api.Shape{Tasks: 1, AcceleratorsPerTask: 2}
	case n < 18:
		return api.Shape{Tasks: 1, AcceleratorsPerTask: 4}
	case n < 19:
		return api.Shape{Tasks: 1, AcceleratorsPerTask: 8}
	default:
		return api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
	}
}

// BenchmarkDecide measures one decision. The cases around 50 workers correspond to the
// current size, 640 workers to one zone of the target size.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{16, 48, 80, 160, 320, 640} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := benchSnapshot(workers)
			tasks := 0
			for _, gang := range s.Gangs {
				tasks += gang.Job.Shape.Tasks
			}
			b.ReportAllocs()
			for b.Loop() {
				Decide(s)
			}
			b.ReportMetric(float64(tasks), "tasks")
			b.ReportMetric(float64(len(s.Waiting)), "waiting")
		})
	}
}

// BenchmarkAdmit measures the admission of one submission.
func BenchmarkAdmit(b *testing.B) {
	for _, workers := range []int{48, 640} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := benchSnapshot(workers)
			job := benchJob(rand.New(rand.NewPCG(2, 2)), "new")
			job.Deadline = s.Now.Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				Admit(s, job)
			}
		})
	}
}

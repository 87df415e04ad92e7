package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rollout is a pool of old workers, w00 to w03, that as many new ones join, w10 to w13.
func rollout(t *testing.T) *bench {
	b := newBench(t, 4, false)
	b.pass(time.Second)
	for _, id := range []string{"w10", "w11", "w12", "w13"} {
		b.addWorker(id)
	}
	b.list()
	b.pass(200 * time.Millisecond)
	return b
}

// newOf counts the tasks of a job on old and on new workers.
func (b *bench) newOf(job string) (old, joined int) {
	for id, w := range b.workers {
		for key := range w.running {
			switch {
			case key.task.Job != job:
			case strings.HasPrefix(id, "w1"):
				joined++
			default:
				old++
			}
		}
	}
	return old, joined
}

func (b *bench) runsOn(t *testing.T, job string, old, joined int) {
	t.Helper()
	b.pass(200 * time.Millisecond)
	gotOld, gotJoined := b.newOf(job)
	assert.Equal(t, gotOld, old, "on old workers")
	assert.Equal(t, gotJoined, joined, "on new workers")
}

func TestWorkGoesToWorkersThatHaveJoinedWhileOthersLeave(t *testing.T) {
	b := rollout(t)
	b.add(gangJob("small", "batch", "other", 1, 2))
	b.runsOn(t, "small", 1, 0)
	b.leave("w03", time.Minute)
	b.add(gangJob("gang", "batch", "other", 4, 6))
	b.runsOn(t, "gang", 0, 4)
	b.add(gangJob("more", "batch", "other", 3, 6))
	b.runsOn(t, "more", 3, 0) // nothing waits while workers are free
}

func TestOnceNoneLeavesAnyMoreTheFullestComeFirstAgain(t *testing.T) {
	b := rollout(t)
	b.add(gangJob("small", "batch", "other", 1, 2))
	b.runsOn(t, "small", 1, 0)
	b.leave("w03", time.Minute)
	b.pass(replacingFor + time.Second)
	b.add(gangJob("next", "batch", "other", 1, 2))
	b.runsOn(t, "next", 1, 0)
}

func TestWorkersThatAreTakenAwayAreNotReplaced(t *testing.T) {
	b := newBench(t, 3, false)
	b.add(gangJob("small", "batch", "other", 1, 2))
	b.pass(time.Second)
	full := b.hostOf("small")
	for id := range b.workers {
		if id != full {
			b.leave(id, time.Minute)
			break
		}
	}
	b.add(gangJob("next", "batch", "other", 1, 2))
	b.pass(200 * time.Millisecond)
	assert.Equal(t, b.hostOf("next"), full, "packing holds where nobody joined")
}

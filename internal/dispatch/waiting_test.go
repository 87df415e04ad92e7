package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstStarts returns the first starts that the core reports within d.
func (b *bench) firstStarts(d time.Duration) []FirstStart {
	var list []FirstStart
	for end := b.now.Add(d); b.now.Before(end); b.now, b.wallMS = b.now.Add(50*time.Millisecond), b.wallMS+50 {
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.First != nil {
				list = append(list, *a.First)
			}
			b.execute(a)
		}
	}
	return list
}

func TestEachJobReportsItsFirstStartOnce(t *testing.T) {
	b := newBench(t, 2, false)
	b.advance(200 * time.Millisecond)
	b.add(gangJob("guaranteed", "urgent", "acme", 2, 4))
	b.add(singleJob("batch", "batch", "other", 3, 4))
	starts := b.firstStarts(time.Second)
	assert.Equal(t, len(starts), 2)
	assert.Assert(t, starts[0].Guaranteed && starts[0].Priority == 0 && starts[0].Waited < 100*time.Millisecond)
	assert.Assert(t, !starts[1].Guaranteed && starts[1].Priority == 2)
	assert.Equal(t, b.core.Waiting()[2], 1, "one of three tasks does not fit")
	assert.Equal(t, b.core.Waiting()[0], 0)
}

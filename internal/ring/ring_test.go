package ring

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRefusingRefusesTheNewestWhenFull(t *testing.T) {
	queue := NewRefusing[int](2)
	assert.Assert(t, queue.Offer(1))
	assert.Assert(t, queue.Offer(2))
	assert.Assert(t, !queue.Offer(3))
	assert.Equal(t, queue.Refused(), int64(1))
	assert.Equal(t, queue.Len(), 2)
	assert.Equal(t, <-queue.C(), 1)
}

func TestDroppingDropsTheOldestWhenFull(t *testing.T) {
	queue := NewDropping[int](2)
	for i := 1; i <= 4; i++ {
		queue.Push(i)
	}
	assert.Equal(t, queue.Dropped(), int64(2))
	assert.Equal(t, <-queue.C(), 3)
	assert.Equal(t, <-queue.C(), 4)
}

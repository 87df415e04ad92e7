package membership

import (
	"sync"

	"github.com/alitto/pond/v2"
)

// calls runs the outgoing calls of one duty on a bounded pool. When the pool
// and a queue of the same length are full, a call is refused.
//
// The end is waited for here and not by stopping the pool, because that goes
// through a pool that the whole process shares.
type calls struct {
	pool    pond.Pool
	running sync.WaitGroup
}

func newCalls(size int) *calls {
	return &calls{pool: pond.NewPool(size, pond.WithQueueSize(size), pond.WithNonBlocking(true))}
}

// start runs call, or returns false.
func (c *calls) start(call func()) bool {
	c.running.Add(1)
	err := c.pool.Go(func() {
		defer c.running.Done()
		call()
	})
	if err != nil {
		c.running.Done()
	}
	return err == nil
}

func (c *calls) wait() { c.running.Wait() }

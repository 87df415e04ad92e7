package membership

import (
	"sync"

	"github.com/alitto/pond/v2"
)

// callPool runs the outgoing calls of one background loop on a bounded pool.
// When the pool and a queue of the same length are full, a call is refused.
//
// It waits for calls with a WaitGroup of its own instead of stopping the pool,
// because pond runs the stop as a task of a pool that the whole process shares.
type callPool struct {
	pool     pond.Pool
	inFlight sync.WaitGroup
}

func newCallPool(size int) *callPool {
	return &callPool{pool: pond.NewPool(size, pond.WithQueueSize(size), pond.WithNonBlocking(true))}
}

// start runs call in the pool. It returns false if the pool is full.
func (c *callPool) start(call func()) bool {
	c.inFlight.Add(1)
	err := c.pool.Go(func() {
		defer c.inFlight.Done()
		call()
	})
	if err != nil {
		c.inFlight.Done()
	}
	return err == nil
}

func (c *callPool) wait() { c.inFlight.Wait() }

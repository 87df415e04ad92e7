package deployment

import (
	"sync"
	"time"
)

// batcher collects items for each destination for a short time and sends them together.
// Instances exchange thousands of small messages a second with a few peers; sent one by
// one, each costs a stream, several system calls and a wake-up on both sides.
type batcher[T any] struct {
	// linger is the time that the first item of a batch waits for more.
	linger time.Duration
	// maxItems is the size at which a batch is sent without waiting.
	maxItems int
	// send sends one batch. Batches for the same destination may arrive out of order.
	send func(to string, batch []T)

	mu      sync.Mutex
	waiting map[string][]T
}

func newBatcher[T any](linger time.Duration, maxItems int, send func(to string, batch []T)) *batcher[T] {
	return &batcher[T]{linger: linger, maxItems: maxItems, send: send, waiting: make(map[string][]T)}
}

// add adds an item to the next batch for a destination.
func (b *batcher[T]) add(to string, item T) {
	b.mu.Lock()
	first := len(b.waiting[to]) == 0
	b.waiting[to] = append(b.waiting[to], item)
	full := len(b.waiting[to]) >= b.maxItems
	b.mu.Unlock()
	switch {
	case full:
		b.flush(to)
	case first:
		time.AfterFunc(b.linger, func() { b.flush(to) })
	}
}

// flush sends the items collected for a destination.
func (b *batcher[T]) flush(to string) {
	b.mu.Lock()
	batch := b.waiting[to]
	delete(b.waiting, to)
	b.mu.Unlock()
	if len(batch) > 0 {
		go b.send(to, batch)
	}
}

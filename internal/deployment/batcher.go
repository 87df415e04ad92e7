package deployment

import (
	"sync"
	"time"
)

// batcher gathers items for each destination for a moment and sends them together. It
// answers thousands of small messages a second to a few peers: sent one by one each
// costs a stream, several system calls and a wake-up on both sides.
type batcher[T any] struct {
	// linger is how long the first item of a batch waits for others.
	linger time.Duration
	// most bounds a batch.
	most int
	// send sends one batch; batches of one destination may overtake each other.
	send func(to string, batch []T)

	mu      sync.Mutex
	waiting map[string][]T
}

func newBatcher[T any](linger time.Duration, most int, send func(to string, batch []T)) *batcher[T] {
	return &batcher[T]{linger: linger, most: most, send: send, waiting: make(map[string][]T)}
}

// add puts an item into the next batch for a destination.
func (b *batcher[T]) add(to string, item T) {
	b.mu.Lock()
	first := len(b.waiting[to]) == 0
	b.waiting[to] = append(b.waiting[to], item)
	full := len(b.waiting[to]) >= b.most
	b.mu.Unlock()
	switch {
	case full:
		b.flush(to)
	case first:
		time.AfterFunc(b.linger, func() { b.flush(to) })
	}
}

// flush sends what waits for a destination.
func (b *batcher[T]) flush(to string) {
	b.mu.Lock()
	batch := b.waiting[to]
	delete(b.waiting, to)
	b.mu.Unlock()
	if len(batch) > 0 {
		go b.send(to, batch)
	}
}

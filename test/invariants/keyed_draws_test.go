package invariants

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// keyedDraws derives random values from a seed and a key. Goroutines that run at
// the same virtual time draw in an order that the scheduler chooses: from one
// shared source, each would get a value that depends on that order.
type keyedDraws struct {
	seed uint64

	mu    sync.Mutex
	drawn map[string]uint64 // guarded by mu
}

func newKeyedDraws(seed uint64) *keyedDraws {
	return &keyedDraws{seed: seed, drawn: make(map[string]uint64)}
}

// next returns the source of the next draw with the given key.
func (d *keyedDraws) next(key string) *rand.Rand {
	d.mu.Lock()
	count := d.drawn[key]
	d.drawn[key]++
	d.mu.Unlock()
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s", count, key)
	return rand.New(rand.NewPCG(d.seed, hash.Sum64()))
}

// maxJitter bounds the additional delay of a call. Distinct delays let concurrent
// calls take effect and be answered in an order that depends on the seed alone.
const maxJitter = time.Millisecond

func drawJitter(random *rand.Rand) time.Duration {
	return time.Duration(1 + random.IntN(int(maxJitter)))
}

package inbound

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// ErrNoRoom is the error of a body or message for which there is no room, or which was evicted in
// favor of others. It was not acted upon.
var ErrNoRoom = errors.New("no memory is left for a body of this size")

// errEvicted is the error of a holder that was evicted before.
var errEvicted = fmt.Errorf("evicted in favor of others: %w", ErrNoRoom)

// Pool is the bytes that the bodies of a process share.
type Pool struct {
	capacity int64
	// most bounds the holders, so that large bodies leave connections for small ones.
	most int
	// decoders bounds the large bodies that are decoded at once, since decoding takes a multiple of a
	// body's size.
	decoders         chan struct{}
	refused, evicted *metrics.Counter

	// mu guards the rest, and what holders have reserved.
	mu      sync.Mutex
	used    int64
	holders map[*holder]struct{}
	log     limitLog
}

// NewPool returns a pool of a number of bytes for at most a number of bodies. Its name identifies it
// in logs and metrics.
func NewPool(name string, capacity int64, most int, logger *zap.Logger) *Pool {
	p := &Pool{
		capacity: capacity, most: max(most, 1), holders: make(map[*holder]struct{}),
		decoders: make(chan struct{}, min(maxDecoders, runtime.GOMAXPROCS(0))),
	}
	p.log = newLimitLog(logger, "bodies", zap.String("pool", name), zap.Int64("limit", capacity), zap.Int("most", p.most))
	p.refused = metrics.GetOrCreateCounter(fmt.Sprintf(`corianderbank_inbound_bodies_refused_total{pool=%q}`, name))
	p.evicted = metrics.GetOrCreateCounter(fmt.Sprintf(`corianderbank_inbound_bodies_evicted_total{pool=%q}`, name))
	metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_inbound_body_bytes{pool=%q}`, name), func() float64 { return float64(p.inUse()) })
	return p
}

// maxDecoders bounds the large bodies that are decoded at once.
const maxDecoders = 2

func (p *Pool) inUse() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// holder is one body or message that holds bytes of a pool. The pool's mutex guards its fields.
type holder struct {
	// interrupt makes the reader of an evicted holder return.
	interrupt             func()
	reserved, received    int64
	pending               int64
	complete, evicted     bool
	startedAt, progressAt time.Time
}

func newHolder(interrupt func()) *holder {
	now := time.Now()
	return &holder{interrupt: interrupt, startedAt: now, progressAt: now}
}

func (h *holder) state(now time.Time) bodyState {
	return bodyState{reserved: h.reserved, received: h.received, complete: h.complete, age: now.Sub(h.startedAt), still: now.Sub(h.progressAt)}
}

// reserve changes what a holder has reserved to a number of bytes. If there is no room, others are
// evicted, or ErrNoRoom is returned and the reservation stays. An evicted holder gets no more.
func (p *Pool) reserve(h *holder, bytes int64) error {
	p.mu.Lock()
	if h.evicted {
		p.mu.Unlock()
		return errEvicted
	}
	var ended []*holder
	need := p.used + bytes - h.reserved - p.capacity
	if h.reserved == 0 && len(p.holders) >= p.most {
		need = max(need, 1)
	}
	// The only body always fits, however large, and what shrinks does.
	if need > 0 && bytes > h.reserved && p.used > h.reserved {
		p.log.reached(zap.Int64("bytes", p.used), zap.Int("bodies", len(p.holders)))
		if ended = p.choose(h, need); ended == nil {
			p.mu.Unlock()
			p.refused.Inc()
			return ErrNoRoom
		}
	}
	for _, other := range ended {
		p.release(other)
		other.evicted = true
	}
	p.used += bytes - h.reserved
	h.reserved = bytes
	p.holders[h] = struct{}{}
	p.mu.Unlock()
	for _, other := range ended {
		p.evicted.Inc()
		other.interrupt()
	}
	return nil
}

// choose returns the holders to evict in favor of h. The caller holds mu.
func (p *Pool) choose(h *holder, need int64) []*holder {
	now := time.Now()
	var others []*holder
	var states []bodyState
	for other := range p.holders {
		if other != h {
			others, states = append(others, other), append(states, other.state(now))
		}
	}
	var chosen []*holder
	for _, n := range chooseBodies(states, need) {
		chosen = append(chosen, others[n])
	}
	return chosen
}

// release returns all bytes of a holder. The caller holds mu.
func (p *Pool) release(h *holder) {
	p.used -= h.reserved
	h.reserved = 0
	delete(p.holders, h)
	p.log.below()
}

func (p *Pool) free(h *holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(h)
}

// restart returns all bytes of a holder, whose age begins anew.
func (p *Pool) restart(h *holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(h)
	h.received, h.pending = 0, 0
	h.startedAt = time.Now()
	h.progressAt = h.startedAt
}

// take reserves bytes for a holder without regard to the capacity, for what others have reserved
// before.
func (p *Pool) take(h *holder, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used += bytes - h.reserved
	h.reserved = bytes
	p.holders[h] = struct{}{}
	if bytes == 0 {
		p.release(h)
	}
}

// advance notes bytes that have arrived. It reports whether they count as progress, and whether the
// holder was evicted.
func (p *Pool) advance(h *holder, n int) (progress, evicted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.received += int64(n)
	if h.pending += int64(n); h.pending >= progressBytes {
		h.pending, h.progressAt, progress = 0, time.Now(), true
	}
	return progress, h.evicted
}

// finish notes that all has arrived. It returns ErrNoRoom if the holder was evicted before.
func (p *Pool) finish(h *holder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.evicted {
		return ErrNoRoom
	}
	h.complete = true
	return nil
}

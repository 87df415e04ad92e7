package inbound

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// smallHeapShare and largeHeapShare are the shares of the memory up to which live objects leave
	// room for small and for large work. The rest of the memory is for garbage between two
	// collections, for what Limits bounds, and for the program itself.
	smallHeapShare = 0.5
	largeHeapShare = 0.25
	// smallWorkBytes is the size up to which work is small.
	smallWorkBytes = 32 << 10
	// retainedFactor is what accepted work takes in memory, as a multiple of its size.
	retainedFactor = 2
	// settleTime is the time after which accepted work is counted among the live objects: it is
	// taken up step by step, and counted at the next collection.
	settleTime = 4 * time.Second
	// collectInterval is the least time between collections that are started because work was refused:
	// what ended since the last one may have made room.
	collectInterval = 2 * time.Second
)

const (
	// programBytes is what a process holds beside its heap: its code, stacks and the runtime.
	programBytes = 20 * mb
	// collectorShare is the share of the rest from which the collector works harder. What is above it
	// is for receive queues and for bursts between two collections.
	collectorShare = 0.7
)

// CollectorLimit returns the bytes of the heap from which the collector works harder.
func CollectorLimit(memoryMB int64) int64 {
	return int64(collectorShare * float64(max(memoryMB*mb-programBytes, programBytes/2)))
}

// liveMetric is the runtime's metric of the bytes that the last collection found live.
const liveMetric = "/gc/heap/live:bytes"

// Heap decides whether there is room for work that stays in memory after its request, such as an
// accepted job. Clients that send much of it within their limits would otherwise fill the memory,
// however well each request is bounded.
type Heap struct {
	memory int64

	mu sync.Mutex // guards the rest
	// admitted is what was admitted since admittedSince, before what was in the settleTime before that.
	admitted, before int64
	admittedSince    time.Time
	collected        time.Time
	log              limitLog
}

// NewHeap returns the decision for a process with an amount of memory.
func NewHeap(memoryMB int64, logger *zap.Logger) *Heap {
	return &Heap{memory: memoryMB * mb, log: newLimitLog(logger, "heap", zap.Int64("memory_bytes", memoryMB*mb))}
}

// Admit returns ErrNoRoom if the heap has no room for work of a number of bytes.
func (h *Heap) Admit(bytes int64) error {
	samples := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(samples)
	live := int64(samples[0].Value.Uint64())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle()
	if recent := h.admitted + h.before; !fitsHeap(h.memory, live+recent, bytes) {
		h.log.reached(zap.Int64("live_bytes", live), zap.Int64("recent_bytes", recent))
		h.collect()
		return ErrNoRoom
	}
	h.admitted += retainedFactor * bytes
	h.log.below(zap.Int64("live_bytes", live))
	return nil
}

// settle drops what was admitted long enough ago. The caller holds mu.
func (h *Heap) settle() {
	passed := time.Since(h.admittedSince)
	if passed < settleTime {
		return
	}
	h.before = h.admitted
	if passed >= 2*settleTime {
		h.before = 0
	}
	h.admitted, h.admittedSince = 0, time.Now()
}

// fitsHeap reports whether work of a number of bytes fits beside what is live. Large work is refused
// first, so that small work still finds room when the heap fills.
func fitsHeap(memory, live, bytes int64) bool {
	share := smallHeapShare
	if bytes > smallWorkBytes {
		share = largeHeapShare
	}
	return float64(live+retainedFactor*bytes) <= share*float64(memory)
}

// collect starts a collection. The caller holds mu.
func (h *Heap) collect() {
	if time.Since(h.collected) < collectInterval {
		return
	}
	h.collected = time.Now()
	go runtime.GC()
}

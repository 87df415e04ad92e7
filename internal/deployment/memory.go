package deployment

import (
	"runtime/debug"

	"github.com/corianderbank/corianderbank/internal/inbound"
)

// A leader lets its heap grow to several times its live size between two collections, to spend
// its processor time on decisions. On an instance with little memory that would exceed the limit
// of the process, which ends it. The collector therefore works harder from a share of the memory on.

// limitMemory sets the limit of the collector.
func limitMemory(s *Settings) { debug.SetMemoryLimit(inbound.CollectorLimit(s.MemoryMB)) }

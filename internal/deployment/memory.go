package deployment

import "runtime/debug"

// A leader lets its heap grow to several times its live size between two collections, to spend
// its processor time on decisions. On an instance with little memory that would exceed the limit
// of the process, which ends it. The collector therefore works harder from a share of the limit on.

// memoryLimitShare is the share of the instance's memory from which the collector works harder.
// The rest is for the program itself and for bursts between two collections.
const memoryLimitShare = 0.7

// memoryLimit returns the limit of the collector in bytes.
func memoryLimit(s *Settings) int64 { return int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)) }

// limitMemory sets the limit of the collector.
func limitMemory(s *Settings) { debug.SetMemoryLimit(memoryLimit(s)) }

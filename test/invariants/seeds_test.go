package invariants

import (
	"iter"
	"os"
	"strconv"
)

// soakSeeds yields the seeds of one test, starting at SOAK_FIRST: SOAK_SEEDS of
// them, or fallback if it is not set.
func soakSeeds(fallback uint64) iter.Seq[uint64] {
	first := envNumber("SOAK_FIRST", 0)
	count := envNumber("SOAK_SEEDS", fallback)
	return func(yield func(uint64) bool) {
		for seed := first; seed < first+count; seed++ {
			if !yield(seed) {
				return
			}
		}
	}
}

func envNumber(name string, fallback uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return fallback
}

package deployment

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// BenchmarkFill measures how long a new leader takes to load the table of a large
// deployment into its core before the first decision.
func BenchmarkFill(b *testing.B) {
	for _, workers := range []int{1000, 3000, 6400} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			settings := defaultSettings()
			i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.NewNop()})
			i.replica.keepAll()
			i.applyConfiguration([]workload.Row{entryRow("config", "pool", 1)})
			var stored, listed []workload.Row
			for n := range workers {
				id := fmt.Sprintf("i-%08x", uint32(n)*2654435761)
				stored = append(stored, workload.Row{Key: workerPrefix + id, Value: encode(workload.Worker{ID: id, Addr: id, Pool: "pool"}), Version: 4})
				listed = append(listed, entryRow(id, "pool", 1))
			}
			i.replica.apply(stored)
			i.workers.reload(listed, 0)
			c := &leader{instance: i, grant: &grant{epoch: 2, hasPredecessor: true, predecessorUntil: bootTime()}, logger: zap.NewNop()}
			for b.Loop() {
				c.fillCore(false)
			}
		})
	}
}

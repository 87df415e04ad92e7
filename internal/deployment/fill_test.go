package deployment

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestANewLeaderWaitsForStoredWorkers(t *testing.T) {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.NewNop()})
	i.replica.keepAll()
	i.applyConfiguration([]workload.Row{entryRow("config", "pool", 1)})
	i.workers.apply([]workload.Row{entryRow("listed", "pool", 1), entryRow("left", "pool", 2)})
	i.workers.apply([]workload.Row{{Key: "left", Version: 3, Deleted: true}})
	stored := workload.Worker{ID: "cut off", Addr: "cut off", Pool: "pool"}
	i.replica.apply([]workload.Row{{Key: workerPrefix + stored.ID, Value: encode(stored), Version: 4}})
	c := &leader{instance: i, grant: &grant{epoch: 2, hasPredecessor: true, predecessorUntil: bootTime().Add(time.Minute)}, logger: zap.NewNop()}
	c.fillCore(false)
	unsynced := make(map[string]bool)
	for _, id := range c.core.Unsynced() {
		unsynced[id] = true
	}
	// A worker that is listed but not stored was never given work, and one that left
	// the list was removed from the table when nothing could run there.
	assert.DeepEqual(t, unsynced, map[string]bool{"cut off": true})
}

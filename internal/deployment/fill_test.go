package deployment

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestANewHolderWaitsForWorkersThatMayRunSomething(t *testing.T) {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.NewNop()})
	i.replica.keepAll()
	i.takeConfiguration([]workload.Row{entryRow("config", "pool", 1)})
	i.workers.apply([]workload.Row{entryRow("listed", "pool", 1), entryRow("left", "pool", 2)})
	i.workers.apply([]workload.Row{{Key: "left", Version: 3, Deleted: true}})
	noted := workload.Worker{ID: "cut off", Addr: "cut off", Pool: "pool"}
	i.replica.apply([]workload.Row{{Key: workerPrefix + noted.ID, Value: encode(noted), Version: 4}})
	c := &leader{instance: i, grant: &grant{epoch: 2, earlier: true, overlap: bootTime().Add(time.Minute)}, logger: zap.NewNop()}
	c.fill()
	unsynced := make(map[string]bool)
	for _, id := range c.core.Unsynced() {
		unsynced[id] = true
	}
	// Nobody gave work to one that is listed and not in the table, and one that left was
	// taken out of it.
	assert.DeepEqual(t, unsynced, map[string]bool{"cut off": true})
}

package serve

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// shareInterval is the time between two counts of the instances that share the
// store.
const shareInterval = 5 * time.Second

// shareStore keeps this instance's share of the store's budget in line with the
// number of live instances.
func (i *instance) shareStore(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.platform.SetInstances(1 + len(i.fleet.Instances()))
		}
	}
}

// recordClaims records the ends of claims that the store missed. It never fails
// the shutdown: a store that is out leaves those keys with the outcome unknown.
func (i *instance) recordClaims(ctx context.Context) {
	if err := i.claims.Drain(ctx); err != nil {
		i.logger.Warn("claims not recorded", zap.Error(err))
	}
}

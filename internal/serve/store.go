package serve

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// storeShareInterval is the time between two counts of the instances that share
// the store.
const storeShareInterval = 5 * time.Second

// updateStoreShare adjusts this instance's share of the store's budget to the
// number of live instances until ctx is done.
func (i *instance) updateStoreShare(ctx context.Context) {
	ticker := time.NewTicker(storeShareInterval)
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

// recordClaimOutcomes records the claim outcomes that the store has not received
// yet. It never fails the shutdown: if the store is unavailable, the outcome of
// these keys stays unknown.
func (i *instance) recordClaimOutcomes(ctx context.Context) {
	if err := i.claims.Drain(ctx); err != nil {
		i.logger.Warn("claims not recorded", zap.Error(err))
	}
}

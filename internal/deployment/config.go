package deployment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// configVersion returns the version of the configuration in force, or zero if there is
// none.
func (i *Instance) configVersion() int64 {
	if config := i.configuration.Load(); config != nil {
		return config.Version
	}
	return 0
}

// applyConfiguration puts a newer configuration in force. Older ones, which a slow
// route may deliver late, are ignored.
func (i *Instance) applyConfiguration(rows []workload.Row) {
	for _, row := range rows {
		if row.Deleted || !i.decoder.IsConfiguration(row.Key) {
			continue
		}
		config, err := i.decoder.Configuration(row.Value)
		if err != nil {
			if i.unreadable.shouldLog(row.Key, row.Version) {
				i.logger.Error("configuration cannot be read", zap.Error(err))
			}
			continue
		}
		i.activate(config, row)
	}
}

func (i *Instance) activate(config *workload.Configuration, row workload.Row) {
	i.configMu.Lock()
	defer i.configMu.Unlock()
	if config.Version <= i.configVersion() {
		return
	}
	i.configuration.Store(config)
	i.configRow.Store(&row)
	i.logger.Info("configuration in force", zap.Int64("config_version", config.Version),
		zap.Int("queues", len(config.Queues)), zap.Int("client_accounts", len(config.Accounts)))
	if i.lifecycle != nil {
		i.lifecycle.Configured()
	}
	if leader := i.leader.Load(); leader != nil {
		leader.post(func(core *dispatch.Core, _ time.Time, _ int64) { core.Configure(config) })
	}
	i.workersChanged() // the set of pools may have changed
}

// readsConfiguration reports whether this instance reads the configuration from the
// store. A leaf receives it from the hubs of its zone, as long as one of them reaches
// the store.
func (i *Instance) readsConfiguration() bool {
	if i.followsTable() || i.configuration.Load() == nil {
		return true
	}
	return len(i.peers.recent(func(v peerView) bool {
		return v.hub && v.storeReachable && v.zone == i.settings.AvailabilityZone
	})) == 0
}

// rereadConfiguration polls the operators' table in addition to its feed, which may
// miss changes for a while.
func (i *Instance) rereadConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, rereadInterval)
		if !i.readsConfiguration() {
			continue
		}
		if err := i.readOperatorTable(ctx); err != nil {
			i.logger.Debug("reading the operators' table failed", zap.Error(err))
		}
	}
}

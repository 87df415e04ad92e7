package deployment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// configVersion is the version in force here; zero for none.
func (i *Instance) configVersion() int64 {
	if config := i.configuration.Load(); config != nil {
		return config.Version
	}
	return 0
}

// takeConfiguration puts a newer configuration in force; an older one, which a
// slow path may bring later, changes nothing.
func (i *Instance) takeConfiguration(rows []workload.Row) {
	for _, row := range rows {
		if row.Deleted || !i.decoder.IsConfiguration(row.Key) {
			continue
		}
		config, err := i.decoder.Configuration(row.Value)
		if err != nil {
			if i.unread.first(row.Key, row.Version) {
				i.logger.Error("configuration cannot be read", zap.Error(err))
			}
			continue
		}
		i.force(config, row)
	}
}

func (i *Instance) force(config *workload.Configuration, row workload.Row) {
	i.configMu.Lock()
	defer i.configMu.Unlock()
	if config.Version <= i.configVersion() {
		return
	}
	i.configuration.Store(config)
	i.configRow.Store(&row)
	i.logger.Info("configuration in force", zap.Int64("config_version", config.Version),
		zap.Int("queues", len(config.Queues)), zap.Int("client_accounts", len(config.Accounts)))
	if i.life != nil {
		i.life.Configured()
	}
	if leader := i.leader.Load(); leader != nil {
		leader.post(func(core *dispatch.Core, _ time.Time, _ int64) { core.Configure(config) })
	}
	i.workersChanged() // its pools may be others
}

// readsConfiguration reports whether this instance reads the configuration by itself. A
// leaf has it from the hubs of its zone, as long as one of them reaches the store.
func (i *Instance) readsConfiguration() bool {
	if i.follows() || i.configuration.Load() == nil {
		return true
	}
	return len(i.peers.fresh(func(v peerView) bool {
		return v.hub && v.storeReachable && v.zone == i.settings.AvailabilityZone
	})) == 0
}

// rereadConfiguration reads the operators' table beside its feed, which may be
// silent while there are changes.
func (i *Instance) rereadConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, readEvery)
		if !i.readsConfiguration() {
			continue
		}
		if err := i.readOperatorTable(ctx); err != nil {
			i.logger.Debug("reading the operators' table failed", zap.Error(err))
		}
	}
}

package standin

import (
	"context"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
)

// announceInterval is the time between announcements.
const announceInterval = time.Second

// announceTimeout bounds one call to the platform.
const announceTimeout = 2 * time.Second

// Announcer keeps one stand-in on the platform's instance list by announcing it
// periodically. It is safe for concurrent use.
type Announcer struct {
	client *resty.Client
	logger *zap.Logger

	mu       sync.Mutex // guards instance
	instance api.ListedInstance
}

// NewAnnouncer returns an announcer of instance that uses the platform at addr.
func NewAnnouncer(addr string, instance api.ListedInstance, logger *zap.Logger) *Announcer {
	client := resty.New().SetBaseURL("http://" + addr).SetTimeout(announceTimeout)
	return &Announcer{client: client, instance: instance, logger: logger}
}

// Run announces the instance at once and then every announceInterval until ctx
// is done.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetLeaving sets whether the instance is leaving and, if that changed, announces
// it at once.
func (a *Announcer) SetLeaving(leaving bool) {
	a.mu.Lock()
	changed := a.instance.Leaving != leaving
	a.instance.Leaving = leaving
	a.mu.Unlock()
	if changed {
		a.announce(context.Background())
	}
}

// Remove removes the instance from the list.
func (a *Announcer) Remove() {
	instance := a.currentInstance()
	body := LeaveRequest{ID: instance.ID, Incarnation: instance.Incarnation}
	if _, err := a.client.R().SetBody(body).Post("/v1/leave"); err != nil {
		a.logger.Warn("leave not announced", zap.Error(err))
	}
}

func (a *Announcer) currentInstance() api.ListedInstance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instance
}

func (a *Announcer) announce(ctx context.Context) {
	_, err := a.client.R().SetContext(ctx).SetBody(a.currentInstance()).Post("/v1/announce")
	if err != nil && ctx.Err() == nil {
		a.logger.Warn("not announced", zap.Error(err))
	}
}

package standin

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
)

// checkpointTimeout bounds one call to the platform's object store.
const checkpointTimeout = 2 * time.Second

// Progress is the content of a checkpoint: how far the tasks had run.
type Progress struct {
	ProgressMS int64 `json:"progress_ms"`
}

// CheckpointStore stores progress under names that are written once.
type CheckpointStore interface {
	Save(ctx context.Context, name string, progress Progress) error
	Load(ctx context.Context, name string) (Progress, error)
}

// ObjectCheckpointStore stores checkpoints in the platform's object store.
type ObjectCheckpointStore struct {
	client *resty.Client
}

// NewObjectCheckpointStore returns a store that keeps checkpoints at the platform at
// addr.
func NewObjectCheckpointStore(addr string) *ObjectCheckpointStore {
	return &ObjectCheckpointStore{client: resty.New().SetBaseURL("http://" + addr).SetTimeout(checkpointTimeout)}
}

// Save implements CheckpointStore.
func (c *ObjectCheckpointStore) Save(ctx context.Context, name string, progress Progress) error {
	response, err := c.client.R().SetContext(ctx).SetBody(progress).Put("/v1/objects/" + name)
	if err != nil || response.IsError() {
		return api.NewError(api.KindStoreUnavailable, "checkpoint %s not written", name)
	}
	return nil
}

// Load implements CheckpointStore.
func (c *ObjectCheckpointStore) Load(ctx context.Context, name string) (Progress, error) {
	var progress Progress
	response, err := c.client.R().SetContext(ctx).SetResult(&progress).ForceContentType("application/json").Get("/v1/objects/" + name)
	if err != nil || response.IsError() {
		return Progress{}, api.NewError(api.KindStoreUnavailable, "checkpoint %s not read", name)
	}
	return progress, nil
}

package deployment

import (
	"context"
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file keeps a replaced leader from storing start intents apart from records. A leader that takes
// the lease while its predecessor may still be active writes a fence row into each part with jobs
// before it reads that part. A separate intent expects the version of the fence that its leader has
// read, so the store refuses it from then on, and one that was stored before is in the part that is read.

// fencePrefix is followed by the part of the fence row. Its value is the epoch of the leader that wrote it.
const fencePrefix = "a/fence/"

// fencePart returns the part of a fence row.
func fencePart(key string) (part string, found bool) { return strings.CutPrefix(key, fencePrefix) }

// fence is a fence row as a leader knows it.
type fence struct{ epoch, version int64 }

// decodeFence returns the fence of a row, or the zero fence if there is none.
func decodeFence(rows []workload.Row, key string) fence {
	for _, row := range rows {
		if row.Key == key {
			f := fence{version: row.Version}
			_ = json.Unmarshal(row.Value, &f.epoch) // a fence of no known epoch is replaced like an older one
			return f
		}
	}
	return fence{}
}

// writeFences fences all parts with jobs; false if one of them is not certain to be fenced.
func (c *leader) writeFences() bool {
	ctx, cancel := context.WithTimeout(c.ctx, leaseRouteTimeout)
	defer cancel()
	results := make(chan bool, jobParts)
	for n := range uint64(jobParts) {
		go func() { results <- c.writeFence(ctx, jobPart(n)) }()
	}
	all := true
	for range jobParts {
		all = <-results && all
	}
	return all
}

// writeFence fences a part. It ends the grant if a later leader has fenced it.
func (c *leader) writeFence(ctx context.Context, part string) bool {
	key := fencePrefix + part
	known := fence{version: c.instance.replica.version(key)}
	for ctx.Err() == nil {
		written, err := c.instance.store.Write(ctx, workload.Write{
			Part: part, Expect: []workload.Row{{Key: key, Version: known.version}}, Put: []workload.Row{{Key: key, Value: encode(c.grant.epoch)}},
		})
		switch {
		case err != nil:
			c.logger.Debug("writing a fence failed", zap.String("part", part), zap.Error(err))
			return false
		case !written.Conflict:
			return true
		}
		known = decodeFence(written.Rows, key)
		if known.epoch == c.grant.epoch {
			return true // an earlier copy of this write
		}
		if !c.admitFence(known) {
			return false
		}
	}
	return false
}

// admitFence ends the grant if the fence is that of a later leader, and reports whether it is not.
func (c *leader) admitFence(f fence) bool {
	if f.epoch <= c.grant.epoch {
		return true
	}
	c.logger.Warn("a part is fenced by a higher epoch", zap.Int64("epoch", c.grant.epoch), zap.Int64("higher_epoch", f.epoch))
	c.grant.end()
	return false
}

// readFences takes the fences from the rows of a whole read. What the feed brings later is not used:
// it may be the fence of the next leader.
func (c *leader) readFences(rows []workload.Row) {
	c.fences = make(map[string]fence, jobParts)
	for n := range uint64(jobParts) {
		c.fences[jobPart(n)] = fence{}
	}
	for _, row := range rows {
		if part, found := fencePart(row.Key); found {
			c.fences[part] = decodeFence([]workload.Row{row}, row.Key)
			c.admitFence(c.fences[part])
		}
	}
}

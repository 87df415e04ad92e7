package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

const table = "leases"

// marginDivisor sets the safety margin: the holder stops relying on the lease
// 1/marginDivisor of the lease duration before it expires by the store's clock.
// The margin covers clocks that run at different speeds (10% is far beyond any
// real drift) and slow scheduling.
const marginDivisor = 10

// leaseRow is the value of a lease row. An empty holder means that the lease is
// free. The row is never deleted, so that the epoch never decreases.
type leaseRow struct {
	Holder string `json:"holder"`
	// Process distinguishes two processes that use the same instance id.
	Process string `json:"process"`
	Epoch   int64  `json:"epoch"`
	// ExpiresAt is measured by the store's clock.
	ExpiresAt time.Time `json:"expires_at"`
}

// Store implements Leases on the platform's tables. It is safe for concurrent
// use.
type Store struct {
	tables   platform.Tables
	duration time.Duration
	process  string
}

var _ Leases = (*Store)(nil)

// New returns a Store that keeps leases of the given duration in tables. The
// epoch increases when another process takes a lease, even under the same
// instance id.
func New(tables platform.Tables, duration time.Duration) *Store {
	return &Store{tables: tables, duration: duration, process: platform.NewWriteID()}
}

// Acquire implements Leases. The lease expires one duration after the store's
// clock at the read. Until is measured from the local time before the read,
// which is earlier, so the holder's own view always ends first, however long
// the calls take.
func (s *Store) Acquire(ctx context.Context, zone, instance string) (Held, error) {
	requestedAt := time.Now()
	current, now, err := s.read(ctx, zone)
	if err != nil {
		return Held{}, err
	}
	next, err := s.nextRow(current.value, instance, now)
	if err != nil {
		return Held{}, err
	}
	if err := s.write(ctx, current.row, next); err != nil {
		return Held{}, err
	}
	return Held{Zone: zone, Epoch: next.Epoch, Until: requestedAt.Add(s.duration - s.duration/marginDivisor)}, nil
}

// nextRow returns the row that acquires or renews the lease. It returns
// KindConflict if another instance holds it.
func (s *Store) nextRow(current leaseRow, instance string, now time.Time) (leaseRow, error) {
	free := current.Holder == "" || !current.ExpiresAt.After(now)
	if !free && current.Holder != instance {
		return leaseRow{}, api.NewError(api.KindConflict, "the lease is held by %s", current.Holder)
	}
	next := leaseRow{Holder: instance, Process: s.process, Epoch: current.Epoch, ExpiresAt: now.Add(s.duration)}
	if current.Process != s.process || current.Holder != instance {
		next.Epoch++
	}
	return next, nil
}

// Release implements Leases. It does nothing if another process holds the lease
// or the epoch has changed.
func (s *Store) Release(ctx context.Context, held Held, instance string) error {
	current, _, err := s.read(ctx, held.Zone)
	if err != nil {
		return err
	}
	value := current.value
	if value.Holder != instance || value.Process != s.process || value.Epoch != held.Epoch {
		return nil
	}
	return s.write(ctx, current.row, leaseRow{Epoch: value.Epoch})
}

// storedRow is a lease row as read, with its decoded value.
type storedRow struct {
	row   api.Row
	value leaseRow
}

func (s *Store) read(ctx context.Context, zone string) (storedRow, time.Time, error) {
	rows, err := s.tables.Read(ctx, platform.PurposeLease, api.Ref{Table: table, Key: zone})
	if err != nil {
		return storedRow{}, time.Time{}, err
	}
	current := storedRow{row: rows.Rows[0]}
	if current.row.Version != 0 {
		err = json.Unmarshal(current.row.Value, &current.value)
	}
	if err != nil {
		return storedRow{}, time.Time{}, api.NewError(api.KindInternal, "lease row of %s: %w", zone, err)
	}
	return current, rows.Now, nil
}

func (s *Store) write(ctx context.Context, current api.Row, next leaseRow) error {
	value, err := json.Marshal(next)
	if err != nil {
		return api.NewError(api.KindInternal, "lease row: %w", err)
	}
	op := api.Op{Ref: current.Ref, IfVersion: current.Version, Value: value}
	result := s.tables.Commit(ctx, platform.PurposeLease, api.Tx{WriteID: platform.NewWriteID(), Ops: []api.Op{op}})
	if len(result.Conflicts) == 1 {
		return api.NewError(api.KindConflict, "the lease is held by %s", holderOf(result.Conflicts[0]))
	}
	if err := platform.ErrorOf(result); err != nil {
		return api.NewError(api.KindStoreUnavailable, "lease of %s: %w", current.Key, err)
	}
	return nil
}

func holderOf(conflict api.Row) string {
	var value leaseRow
	if json.Unmarshal(conflict.Value, &value) != nil || value.Holder == "" {
		return "nobody any more"
	}
	return value.Holder
}

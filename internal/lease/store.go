package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

const table = "leases"

// marginShare is the part of the lease length, one in so many, by which the
// holder stops before the store's clock says so. It covers clocks that run at
// different speed (10% is far beyond any real drift) and slow scheduling.
const marginShare = 10

// row is the value of a lease row. An empty holder means that it is free. The
// row is never deleted, so that the epoch never falls.
type row struct {
	Holder string `json:"holder"`
	// Process tells two processes under one instance id apart.
	Process string `json:"process"`
	Epoch   int64  `json:"epoch"`
	// ExpiresAt is in the store's time.
	ExpiresAt time.Time `json:"expires_at"`
}

// Store is the implementation of Leases. It is safe for concurrent use.
type Store struct {
	tables  platform.Tables
	length  time.Duration
	process string
}

var _ Leases = (*Store)(nil)

// New returns leases of the given length, kept in tables. The epoch rises when
// another process takes a lease, even one under the same instance id.
func New(tables platform.Tables, length time.Duration) *Store {
	return &Store{tables: tables, length: length, process: platform.NewWriteID()}
}

// Acquire implements Leases. The lease ends length after the store's clock at
// the read, which is later than the local time before the read; so the
// holder's own view ends first whatever the calls take.
func (s *Store) Acquire(ctx context.Context, zone, instance string) (Held, error) {
	before := time.Now()
	present, now, err := s.read(ctx, zone)
	if err != nil {
		return Held{}, err
	}
	next, err := s.next(present.value, instance, now)
	if err != nil {
		return Held{}, err
	}
	if err := s.write(ctx, present.row, next); err != nil {
		return Held{}, err
	}
	return Held{Zone: zone, Epoch: next.Epoch, Until: before.Add(s.length - s.length/marginShare)}, nil
}

// next returns the row that takes or renews the lease.
func (s *Store) next(present row, instance string, now time.Time) (row, error) {
	free := present.Holder == "" || !present.ExpiresAt.After(now)
	if !free && present.Holder != instance {
		return row{}, api.NewError(api.KindConflict, "the lease is held by %s", present.Holder)
	}
	next := row{Holder: instance, Process: s.process, Epoch: present.Epoch, ExpiresAt: now.Add(s.length)}
	if present.Process != s.process || present.Holder != instance {
		next.Epoch++
	}
	return next, nil
}

// Release implements Leases. A lease that has changed hands is left alone.
func (s *Store) Release(ctx context.Context, held Held, instance string) error {
	present, _, err := s.read(ctx, held.Zone)
	if err != nil {
		return err
	}
	value := present.value
	if value.Holder != instance || value.Process != s.process || value.Epoch != held.Epoch {
		return nil
	}
	return s.write(ctx, present.row, row{Epoch: value.Epoch})
}

// seen is a lease row as read.
type seen struct {
	row   api.Row
	value row
}

func (s *Store) read(ctx context.Context, zone string) (seen, time.Time, error) {
	rows, err := s.tables.Read(ctx, platform.PurposeLease, api.Ref{Table: table, Key: zone})
	if err != nil {
		return seen{}, time.Time{}, err
	}
	present := seen{row: rows.Rows[0]}
	if present.row.Version != 0 {
		err = json.Unmarshal(present.row.Value, &present.value)
	}
	if err != nil {
		return seen{}, time.Time{}, api.NewError(api.KindInternal, "lease row of %s: %w", zone, err)
	}
	return present, rows.Now, nil
}

func (s *Store) write(ctx context.Context, present api.Row, next row) error {
	value, err := json.Marshal(next)
	if err != nil {
		return api.NewError(api.KindInternal, "lease row: %w", err)
	}
	op := api.Op{Ref: present.Ref, IfVersion: present.Version, Value: value}
	result := s.tables.Commit(ctx, platform.PurposeLease, api.Tx{WriteID: platform.NewWriteID(), Ops: []api.Op{op}})
	if len(result.Conflicts) == 1 {
		return api.NewError(api.KindConflict, "the lease is held by %s", holderOf(result.Conflicts[0]))
	}
	if err := platform.ErrorOf(result); err != nil {
		return api.NewError(api.KindStoreUnavailable, "lease of %s: %w", present.Key, err)
	}
	return nil
}

func holderOf(conflict api.Row) string {
	var value row
	if json.Unmarshal(conflict.Value, &value) != nil || value.Holder == "" {
		return "nobody any more"
	}
	return value.Holder
}

package deployment

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// memoryStore is an in-memory store with a single table.
type memoryStore struct {
	mu   sync.Mutex
	ver  int64
	rows map[string]workload.Row
	// fail, if set, is called before each call and its error is returned.
	fail  func() error
	calls int
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: make(map[string]workload.Row)} }

func (s *memoryStore) beforeCall() error {
	s.calls++
	if s.fail != nil {
		return s.fail()
	}
	return nil
}

// Write implements workload.Store.
func (s *memoryStore) Write(_ context.Context, write workload.Write) (workload.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beforeCall(); err != nil {
		return workload.WriteResult{}, err
	}
	var current []workload.Row
	conflict := false
	for _, e := range write.Expect {
		now := s.rows[e.Key]
		conflict = conflict || now.Version != e.Version
		if now.Version != 0 {
			current = append(current, now)
		}
	}
	if conflict {
		return workload.WriteResult{Conflict: true, Rows: current}, nil
	}
	s.ver++
	for _, row := range write.Put {
		row.Version = s.ver
		s.rows[row.Key] = row
	}
	for _, key := range write.Remove {
		delete(s.rows, key)
	}
	return workload.WriteResult{Version: s.ver}, nil
}

// Read implements workload.Store.
func (s *memoryStore) Read(_ context.Context, source workload.Source, part, from, to string) (workload.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beforeCall(); err != nil {
		return workload.Page{}, err
	}
	page := workload.Page{Version: s.ver}
	for key, row := range s.rows {
		if source == workload.SourceOwn && partOf(key) != part {
			continue
		}
		if key >= from && (to == "" || key < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Key < page.Rows[b].Key })
	return page, nil
}

// Follow implements workload.Store.
func (s *memoryStore) Follow(context.Context, workload.Source, int64, time.Duration) (workload.Page, error) {
	return workload.Page{}, fmt.Errorf("%w: not implemented", workload.ErrNotDone)
}

// rowsMessage returns rows of the operators' table as a peer sends them.
func rowsMessage(rows ...workload.Row) *peerpb.RowsNote {
	return &peerpb.RowsNote{Source: string(workload.SourceConfiguration), Rows: rowsToProto(rows)}
}

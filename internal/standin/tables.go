package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// maxRememberedWrites bounds the transactions whose answer is kept for a
// repeated write id. The oldest is forgotten first.
const maxRememberedWrites = 200_000

// maxScanRows bounds one page of a scan.
const maxScanRows = 1000

// tables is a transactional table service in memory. Versions come from one
// counter, so that a row which is deleted and written again never gets an old
// version back. It is safe for concurrent use.
type tables struct {
	mu       sync.Mutex
	rows     map[api.Ref]api.Row
	revision int64
	answers  map[string]api.TxAnswer
	order    []string
	now      func() time.Time
}

func newTables(now func() time.Time) *tables {
	return &tables{rows: make(map[api.Ref]api.Row), answers: make(map[string]api.TxAnswer), now: now}
}

// commit applies all operations of tx or none. A write id that was answered
// before gets the same answer again.
func (t *tables) commit(tx api.Tx) api.TxAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer, ok := t.answers[tx.WriteID]; ok {
		answer.Now = t.now()
		return answer
	}
	answer := api.TxAnswer{Conflicts: t.conflicts(tx.Ops), Now: t.now()}
	if len(answer.Conflicts) == 0 {
		answer.Done = true
		t.apply(tx)
	}
	t.remember(tx.WriteID, answer)
	return answer
}

func (t *tables) conflicts(ops []api.Op) []api.Row {
	var conflicts []api.Row
	for _, op := range ops {
		row := t.rows[op.Ref]
		if row.Version != op.IfVersion {
			row.Ref = op.Ref
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}

func (t *tables) apply(tx api.Tx) {
	t.revision++
	for _, op := range tx.Ops {
		switch {
		case op.Check:
		case op.Delete:
			delete(t.rows, op.Ref)
		default:
			t.rows[op.Ref] = api.Row{Ref: op.Ref, Version: t.revision, WriteID: tx.WriteID, Value: op.Value}
		}
	}
}

func (t *tables) remember(writeID string, answer api.TxAnswer) {
	t.answers[writeID] = answer
	t.order = append(t.order, writeID)
	if len(t.order) > maxRememberedWrites {
		delete(t.answers, t.order[0])
		t.order = t.order[1:]
	}
}

// read returns one row for each ref, with version 0 where there is none.
func (t *tables) read(refs []api.Ref) api.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := api.Rows{Rows: make([]api.Row, 0, len(refs)), Now: t.now()}
	for _, ref := range refs {
		row := t.rows[ref]
		row.Ref = ref
		answer.Rows = append(answer.Rows, row)
	}
	return answer
}

// scan returns a page of a table in the order of keys.
func (t *tables) scan(query api.ScanQuery) api.Rows {
	limit := query.Limit
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := api.Rows{Rows: []api.Row{}, Now: t.now()}
	for ref, row := range t.rows {
		if ref.Table == query.Table && strings.HasPrefix(ref.Key, query.Prefix) && ref.Key > query.After {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > limit {
		answer.Rows = answer.Rows[:limit]
		answer.More = true
	}
	return answer
}

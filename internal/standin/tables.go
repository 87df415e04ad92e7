package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// maxStoredAnswers bounds the answers that are kept for repeated write ids. The
// oldest answer is dropped first.
const maxStoredAnswers = 200_000

// maxScanRows bounds the rows of one page of a scan.
const maxScanRows = 1000

// tables is an in-memory transactional table service. All versions come from
// one counter, so that a row that is deleted and written again never reuses an
// old version. It is safe for concurrent use.
type tables struct {
	mu         sync.Mutex // guards the fields below, except now
	rows       map[api.Ref]api.Row
	revision   int64
	answers    map[string]api.TxAnswer
	writeOrder []string // write ids in answers, oldest first
	now        func() time.Time
}

func newTables(now func() time.Time) *tables {
	return &tables{rows: make(map[api.Ref]api.Row), answers: make(map[string]api.TxAnswer), now: now}
}

// commit applies all operations of tx or none. A repeated write id gets the
// same answer as before, with the current time.
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
	t.storeAnswer(tx.WriteID, answer)
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

func (t *tables) storeAnswer(writeID string, answer api.TxAnswer) {
	t.answers[writeID] = answer
	t.writeOrder = append(t.writeOrder, writeID)
	if len(t.writeOrder) > maxStoredAnswers {
		delete(t.answers, t.writeOrder[0])
		t.writeOrder = t.writeOrder[1:]
	}
}

// read returns one row for each ref. A row that does not exist has version 0.
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

// scan returns a page of a table, sorted by key.
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

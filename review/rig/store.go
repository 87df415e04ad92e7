package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	operatorTable = "op"
	runnerTable   = "servers"
	// txTime is the time that a transaction takes, pageRows the most rows of a response.
	txTime       = 3 * time.Millisecond
	pageRows     = 500
	maxTxEntries = 100
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type transaction struct {
	ExpectedRev []storeRow `json:"expectedRev"`
	Puts        []storeRow `json:"puts"`
	Remove      []storeRow `json:"remove"`
	Across      bool       `json:"across"`
}

// store is the platform's table store.
type store struct {
	rec     *record
	began   time.Time
	server  *http.Server
	address string
	// lose returns by how much a transaction is late that gets no answer; zero if it is answered.
	lose func(tx *transaction) time.Duration

	mu      sync.Mutex
	ver     int64
	rows    map[string]storeRow
	changed chan struct{}
	// writes counts the system's transactions.
	writes int
}

func newStore(rec *record) (*store, error) {
	s := &store{rec: rec, began: time.Now(), rows: make(map[string]storeRow), changed: make(chan struct{}), lose: func(*transaction) time.Duration { return 0 }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.handleTx)
	mux.HandleFunc("GET /api/rows-get", s.handleGet)
	mux.HandleFunc("GET /api/rows-feed", s.handleFeed)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) handleTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := tx.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	if late := s.lateness(&tx); late > 0 {
		s.rec.add("store", "a write of %s gets no answer and is done %d ms later", tx.keys(), late.Milliseconds())
		time.AfterFunc(late, func() {
			conflict, _ := s.apply(&tx)
			s.rec.add("store", "the late write of %s is done now, condition holds: %t", tx.keys(), conflict == nil)
		})
		<-r.Context().Done()
		return
	}
	time.Sleep(txTime)
	conflict, ver := s.apply(&tx)
	if conflict != nil {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": conflict, "ver": ver})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": ver})
}

// check returns the status of a transaction that the store does not take, or zero.
func (t *transaction) check() int {
	entries := slices.Concat(t.ExpectedRev, t.Puts, t.Remove)
	if len(entries) == 0 || len(entries) > maxTxEntries {
		return http.StatusBadRequest
	}
	for _, e := range entries {
		if e.Part != entries[0].Part && !t.Across {
			return http.StatusBadRequest
		}
	}
	for _, e := range slices.Concat(t.Puts, t.Remove) {
		if e.Table == operatorTable || e.Table == runnerTable {
			return http.StatusForbidden
		}
	}
	return 0
}

func (t *transaction) keys() string {
	var keys []string
	for _, p := range slices.Concat(t.Puts, t.Remove) {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, ", ")
}

// apply applies a transaction. It returns the current rows if its condition does not hold.
func (s *store) apply(tx *transaction) (conflict []storeRow, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.ExpectedRev {
		if s.current(e).Ver != e.Ver {
			conflict = []storeRow{}
		}
	}
	if conflict != nil {
		for _, e := range tx.ExpectedRev {
			if row := s.current(e); row.Ver != 0 {
				conflict = append(conflict, row)
			}
		}
		return conflict, s.ver
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver, p.Deleted = s.ver, false
		s.rows[p.id()] = p
	}
	for _, p := range tx.Remove {
		if s.current(p).Ver != 0 {
			s.rows[p.id()] = storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.ver
}

// current returns the row with the same key, of version zero if there is none. The caller holds mu.
func (s *store) current(e storeRow) storeRow {
	if row := s.rows[e.id()]; !row.Deleted {
		return row
	}
	return storeRow{}
}

// put writes a row of the operator or of a runner, remove removes it.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value) // maps and lists of plain values always encode
	s.apply(&transaction{Puts: []storeRow{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}}})
}

func (s *store) remove(table, key string) {
	s.apply(&transaction{Remove: []storeRow{{Table: table, Key: key}}})
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	list := s.selectRows(func(row storeRow) bool {
		return !row.Deleted && row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("target") == "" || row.Key < q.Get("target"))
	})
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": list[:min(len(list), limit)], "hasMore": more, "ver": ver})
}

func (s *store) selectRows(match func(storeRow) bool) []storeRow {
	list := []storeRow{}
	for _, row := range s.rows {
		if match(row) {
			list = append(list, row)
		}
	}
	return list
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timer := time.After(time.Duration(waitMS) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		list := s.selectRows(func(row storeRow) bool { return row.Table == q.Get("table") && row.Ver > after })
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 || over {
			slices.SortFunc(list, func(a, b storeRow) int { return int(a.Ver - b.Ver) })
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timer:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.began).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}

func (s *store) setLose(lose func(tx *transaction) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// lateness returns by how much a transaction is late that gets no answer; zero if it is answered.
func (s *store) lateness(tx *transaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.lose(tx)
}

// writeCount returns the number of the system's transactions so far.
func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

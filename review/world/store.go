package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store, from the settings and PROTOCOL.md.
const (
	maxRowBytes   = 65536
	maxCallBytes  = 1 << 20
	maxEntries    = 100
	maxPageRows   = 500
	maxNameBytes  = 200
	maxFeedWait   = 30 * time.Second
	retention     = 20 * time.Second
	transactionMS = 3
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// change is a change of a row and its time.
type change struct {
	row
	at time.Time
}

// store is the platform's store. It is safe for concurrent use.
type store struct {
	record  *record
	start   time.Time
	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []change
	// goneVer is the newest version that is no longer in the history.
	goneVer int64
	changed chan struct{}
	// silentUntil is the time until which the store answers nobody.
	silentUntil time.Time
	// refused counts the transactions that were over a limit.
	refused int
}

func newStore(r *record) *store {
	return &store{record: r, start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row of the operator or of a runner.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value) // the values are maps of plain values
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: data, Ver: s.ver})
}

// remove removes a row of a runner.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

// set applies a row. The caller holds mu.
func (s *store) set(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > retention {
		s.goneVer = s.history[0].Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes the store answer nobody for a while. What arrives meanwhile isn't done.
func (s *store) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	close(s.changed) // feeds that wait are lost as well
	s.changed = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		s.hang(r)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.handleTransaction(w, r)
	case "/api/rows-get":
		s.handleRead(w, r)
	case "/api/rows-feed":
		s.handleFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hang leaves a call without an answer, and breaks the connection at the end of the silence.
func (s *store) hang(r *http.Request) {
	for s.isSilent() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// transaction is the body of a call to rows-tx.
type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Puts        []row `json:"puts"`
	Remove      []row `json:"remove"`
	Across      bool  `json:"across"`
}

// excess returns which limit of the store a transaction exceeds, or "".
func (t *transaction) excess() string {
	all := slices.Concat(t.ExpectedRev, t.Puts, t.Remove)
	if len(all) > maxEntries {
		return strconv.Itoa(len(all)) + " entries"
	}
	for _, r := range all {
		switch {
		case len(r.Value) > maxRowBytes:
			return "row " + r.Key + " of " + strconv.Itoa(len(r.Value)) + " bytes"
		case len(r.Key) > maxNameBytes || len(r.Table) > maxNameBytes || len(r.Part) > maxNameBytes:
			return "a name of more than 200 bytes"
		case r.Part != all[0].Part && !t.Across:
			return "several parts"
		case r.Table == "op" || r.Table == "servers":
			return "table " + r.Table
		}
	}
	return ""
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	body := http.MaxBytesReader(w, r.Body, maxCallBytes)
	if err := json.NewDecoder(body).Decode(&tx); err != nil {
		s.refuse("a call that can't be read or has more than 1 MB: " + err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if excess := tx.excess(); excess != "" {
		s.refuse(excess)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionMS * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []row{}, false
	for _, expected := range tx.ExpectedRev {
		known := s.rows[expected.id()]
		conflict = conflict || known.Ver != expected.Ver
		if known.Ver != 0 {
			current = append(current, known)
		}
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answer(w, current, false)
		return
	}
	s.ver++
	for _, put := range tx.Puts {
		put.Ver, put.Deleted = s.ver, false
		s.set(put)
	}
	for _, removed := range tx.Remove {
		s.set(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Ver: s.ver, Deleted: true})
	}
	s.answer(w, nil, false)
}

// refuse records a transaction that is over a limit. Nothing of it is done.
func (s *store) refuse(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if s.refused <= 3 || s.refused%100 == 0 {
		s.record.printf("store refuses transaction %d over its limits: %s", s.refused, reason)
	}
}

// answer writes an answer with rows. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.start).Milliseconds()})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, row := range s.rows {
		inRange := row.Key >= query.Get("from") && (query.Get("target") == "" || row.Key < query.Get("target"))
		if row.Table == query.Get("table") && row.Part == query.Get("part") && inRange {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < len(rows) && count < maxPageRows && (count == 0 || size+len(rows[count].Value) < maxCallBytes*3/4) {
		size += len(rows[count].Value)
		count++
	}
	s.answer(w, rows[:count], count < len(rows))
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for last := false; ; {
		if s.isSilent() {
			s.hang(r)
		}
		s.mu.Lock()
		if after < s.goneVer {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.changesAfter(query.Get("table"), after)
		if len(rows) > 0 || last {
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version. The caller holds mu.
func (s *store) changesAfter(table string, after int64) []row {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, ver int64) int { return int(c.Ver - ver) })
	var rows []row
	for _, c := range s.history[first:] {
		if c.Table == table {
			rows = append(rows, c.row)
		}
	}
	return rows
}

func writeJSON(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller is gone
}

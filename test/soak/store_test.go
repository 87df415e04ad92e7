package soak

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/platform/standin"
)

const workersTable = "servers"

// storeTime is how long a transaction takes.
const storeTime = 3 * time.Millisecond

// storeFaults is what happens to the calls of one instance. Each holds until its time.
type storeFaults struct {
	// silent leaves calls undone and unanswered; with part not zero only those of a share of the parts.
	silent time.Time
	part   uint32
	// slow makes each call take longer.
	slow  time.Time
	delay time.Duration
	// lost loses four answers of ten; late does such writes only seconds later.
	lost time.Time
	late bool
	// refused answers 503.
	refused time.Time
	// notes delays the answers of the feed.
	notes     time.Time
	noteDelay time.Duration
}

// partShares is how many shares the parts are divided into.
const partShares = 4

// store is the stand-in of the store, with a door for each instance that can be disturbed.
type store struct {
	*standin.Store
	record *record

	mu    sync.Mutex // guards doors
	doors map[int]storeFaults
	all   time.Time // until then nobody reaches it
}

func newStore(c *record) *store {
	s := &store{Store: standin.NewStore(), record: c, doors: make(map[int]storeFaults)}
	s.SetTransactionTime(storeTime)
	return s
}

// change changes the faults of some instances.
func (s *store) change(hosts []int, set func(*storeFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		f := s.doors[host]
		set(&f)
		s.doors[host] = f
	}
}

// silence makes the store reach nobody, workers included.
func (s *store) silence(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = until
}

func (s *store) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.all)
}

func (s *store) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors, s.all = make(map[int]storeFaults), time.Time{}
}

func (s *store) faults(host int) storeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.doors[host]
	if s.all.After(f.silent) {
		f.silent, f.part = s.all, 0
	}
	return f
}

// door serves the calls of one instance.
func (s *store) door(host int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.record.mu.Lock()
		s.record.count("calls of the store", 1)
		s.record.mu.Unlock()
		s.serve(w, r, host, body)
	})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, host int, body []byte) {
	s.hangWhileSilent(r, host, body)
	f, now := s.faults(host), time.Now()
	if now.Before(f.refused) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if now.Before(f.slow) {
		time.Sleep(f.delay)
	}
	answer := httptest.NewRecorder()
	if r.URL.Path == "/api/rows-tx" && now.Before(f.lost) && rand.IntN(10) < 4 {
		late := time.Duration(0)
		if f.late {
			late = time.Duration(1000+rand.IntN(5000)) * time.Millisecond
		}
		time.AfterFunc(late, func() { s.ServeHTTP(answer, r) })
		time.Sleep(unansweredFor)
		panic(http.ErrAbortHandler)
	}
	s.ServeHTTP(answer, r)
	s.hangWhileSilent(r, host, body)
	if f = s.faults(host); r.URL.Path == "/api/rows-feed" && time.Now().Before(f.notes) {
		time.Sleep(f.noteDelay)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// hangWhileSilent holds a call that gets no answer, and ends its connection once the silence is over.
func (s *store) hangWhileSilent(r *http.Request, host int, body []byte) {
	silent := func() bool {
		f := s.faults(host)
		return time.Now().Before(f.silent) && (f.part == 0 || shareOf(r, body) == f.part)
	}
	if !silent() {
		return
	}
	for silent() && r.Context().Err() == nil {
		time.Sleep(holdPoll)
	}
	panic(http.ErrAbortHandler)
}

// shareOf returns the share, from 1, that the part of a call belongs to. Feeds belong to none.
func shareOf(r *http.Request, body []byte) uint32 {
	part := r.URL.Query().Get("part")
	switch r.URL.Path {
	case "/api/rows-feed":
		return 0
	case "/api/rows-tx":
		var tx struct {
			ExpectedRev, Puts, Remove []struct{ Part string }
		}
		_ = json.Unmarshal(body, &tx) // the store rejects what isn't JSON
		for _, row := range append(append(tx.Puts, tx.ExpectedRev...), tx.Remove...) {
			part = row.Part
			break
		}
	}
	return share(part)
}

func share(part string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(part))
	return 1 + h.Sum32()%partShares
}

// leaderPart is the part that holds the row of the lease.
const leaderPart = ""

// leader returns the address that the row of the lease names, and the epoch.
func (s *store) leader() (addr string, epoch int) {
	var row struct {
		Leader string
		Epoch  int
	}
	_ = json.Unmarshal(s.Row(leaderTable, leaderKey), &row) // there is none at first
	return row.Leader, row.Epoch
}

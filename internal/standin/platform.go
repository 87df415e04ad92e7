package standin

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// PlatformFaults is the body of POST /v1/faults on the platform. The whole set
// is replaced.
type PlatformFaults struct {
	// Down drops the connection of every call but this one.
	Down bool `json:"down"`
	// SlowMS delays every call.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many commits and puts take effect but get no answer;
	// a negative number means all of them.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is how old the instance list may be.
	ListLagMS int64 `json:"list_lag_ms"`
	// FailRate is the share of calls, 0 to 1, that are refused and do nothing.
	FailRate float64 `json:"fail_rate"`
}

// Leave is the body of POST /v1/leave: the instance drops out of the list.
type Leave struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
}

// DefaultListTTL is how long an instance stays listed without an announcement.
const DefaultListTTL = 5 * time.Second

// Platform is a stand-in for the platform's tables, object store and instance
// list. All state is in memory. It is safe for concurrent use.
type Platform struct {
	tables  *tables
	objects sync.Map // name to []byte
	list    *instanceList

	mu     sync.Mutex // guards faults and random
	faults PlatformFaults
	random *rand.Rand
}

// NewPlatform returns an empty platform. Listed instances time out after ttl.
func NewPlatform(ttl time.Duration) *Platform {
	return &Platform{
		tables: newTables(time.Now),
		list:   newInstanceList(ttl, time.Now),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tables/commit", p.faulty(p.commit))
	mux.HandleFunc("POST /v1/tables/read", p.faulty(p.read))
	mux.HandleFunc("POST /v1/tables/scan", p.faulty(p.scan))
	mux.HandleFunc("PUT /v1/objects/{name...}", p.faulty(p.put))
	mux.HandleFunc("GET /v1/objects/{name...}", p.faulty(p.get))
	mux.HandleFunc("GET /v1/instances", p.faulty(p.instances))
	mux.HandleFunc("POST /v1/announce", p.faulty(p.announce))
	mux.HandleFunc("POST /v1/leave", p.faulty(p.leave))
	mux.HandleFunc("POST /v1/faults", p.setFaults)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// SetFaults replaces the faults that the platform plays.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// faulty plays being down, slow or failing in front of next.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, fails := p.draw()
		pause(r, milliseconds(faults.SlowMS))
		if faults.Down {
			dropConnection()
		}
		if fails {
			writeError(w, api.NewError(api.KindStoreUnavailable, "the platform refuses this call"))
			return
		}
		next(w, r)
	}
}

func (p *Platform) draw() (faults PlatformFaults, fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faults.FailRate > 0 && p.random.Float64() < p.faults.FailRate
}

// losesAnswer uses up one lost answer, if there is one left.
func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return true
	}
	return p.faults.LoseAnswers < 0
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var tx api.Tx
	if !readJSON(w, r, &tx) {
		return
	}
	if tx.WriteID == "" || len(tx.Ops) == 0 {
		writeError(w, api.NewError(api.KindInvalidField, "write_id and ops are needed"))
		return
	}
	answer := p.tables.commit(tx)
	if p.losesAnswer() {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var query api.ReadQuery
	if readJSON(w, r, &query) {
		writeJSON(w, http.StatusOK, p.tables.read(query.Refs))
	}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var query api.ScanQuery
	if readJSON(w, r, &query) {
		writeJSON(w, http.StatusOK, p.tables.scan(query))
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, api.NewError(api.KindBodyTooLarge, "%v", err))
		return
	}
	name := r.PathValue("name")
	present, loaded := p.objects.LoadOrStore(name, data)
	if loaded && !bytes.Equal(present.([]byte), data) {
		writeError(w, api.NewError(api.KindConflict, "object %s exists with other bytes", name))
		return
	}
	if p.losesAnswer() {
		dropConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	data, ok := p.objects.Load(name)
	if !ok {
		writeError(w, api.NewError(api.KindNotFound, "no object %s", name))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data.([]byte))
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	faults, _ := p.draw()
	writeJSON(w, http.StatusOK, p.list.published(milliseconds(faults.ListLagMS)))
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var instance api.ListedInstance
	if !readJSON(w, r, &instance) {
		return
	}
	if instance.ID == "" || instance.Role == "" {
		writeError(w, api.NewError(api.KindInvalidField, "id and role are needed"))
		return
	}
	p.list.announce(instance)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) leave(w http.ResponseWriter, r *http.Request) {
	var leave Leave
	if readJSON(w, r, &leave) {
		p.list.leave(leave)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// instanceList is the list of live and leaving instances.
type instanceList struct {
	mu        sync.Mutex
	ttl       time.Duration
	now       func() time.Time
	entries   map[string]listEntry
	lastShown api.InstanceList
}

type listEntry struct {
	instance api.ListedInstance
	heardAt  time.Time
}

func newInstanceList(ttl time.Duration, now func() time.Time) *instanceList {
	return &instanceList{ttl: ttl, now: now, entries: make(map[string]listEntry)}
}

// announce lists the instance, unless a later incarnation is listed already.
func (l *instanceList) announce(instance api.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[instance.ID].instance.Incarnation > instance.Incarnation {
		return
	}
	l.entries[instance.ID] = listEntry{instance, l.now()}
}

// leave takes the instance off the list, unless a later incarnation is listed.
func (l *instanceList) leave(leave Leave) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if leave.Incarnation != 0 && l.entries[leave.ID].instance.Incarnation > leave.Incarnation {
		return
	}
	delete(l.entries, leave.ID)
}

// published returns the list as it was shown last, or afresh when that is at
// least lag old.
func (l *instanceList) published(lag time.Duration) api.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.lastShown.AsOf) < lag {
		return l.lastShown
	}
	l.lastShown = api.InstanceList{Instances: l.live(now), AsOf: now}
	return l.lastShown
}

func (l *instanceList) live(now time.Time) []api.ListedInstance {
	live := []api.ListedInstance{}
	for id, entry := range l.entries {
		if now.Sub(entry.heardAt) > l.ttl {
			delete(l.entries, id)
			continue
		}
		live = append(live, entry.instance)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

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

// PlatformFaults is the body of POST /v1/faults on the platform. It replaces all
// faults.
type PlatformFaults struct {
	// Down drops the connection of every call except POST /v1/faults and
	// GET /healthz.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of commits and puts that take effect but get no
	// answer; a negative number applies to all of them.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is the maximum age of the published instance list, in
	// milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
	// FailRate is the fraction of calls, from 0 to 1, that are refused without
	// any effect.
	FailRate float64 `json:"fail_rate"`
}

// LeaveRequest is the body of POST /v1/leave, which removes an instance from the
// list.
type LeaveRequest struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
}

// DefaultListTTL is the time for which an instance stays listed after its last
// announcement.
const DefaultListTTL = 5 * time.Second

// Platform simulates the platform's tables, object store and instance list. All
// state is in memory. It is safe for concurrent use.
type Platform struct {
	tables  *tables
	objects sync.Map // name to []byte
	list    *instanceList

	mu     sync.Mutex // guards faults and random
	faults PlatformFaults
	random *rand.Rand
}

// NewPlatform returns an empty platform. Instances are dropped from the list
// when they have not been announced for longer than ttl.
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
	mux.HandleFunc("POST /v1/tables/commit", p.withFaults(p.handleCommit))
	mux.HandleFunc("POST /v1/tables/read", p.withFaults(p.handleRead))
	mux.HandleFunc("POST /v1/tables/scan", p.withFaults(p.handleScan))
	mux.HandleFunc("PUT /v1/objects/{name...}", p.withFaults(p.handlePut))
	mux.HandleFunc("GET /v1/objects/{name...}", p.withFaults(p.handleGet))
	mux.HandleFunc("GET /v1/instances", p.withFaults(p.handleInstances))
	mux.HandleFunc("POST /v1/announce", p.withFaults(p.handleAnnounce))
	mux.HandleFunc("POST /v1/leave", p.withFaults(p.handleLeave))
	mux.HandleFunc("POST /v1/faults", p.handleFaults)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// withFaults returns a handler that applies SlowMS, Down and FailRate and then
// calls next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, refused := p.drawFaults()
		sleep(r, milliseconds(faults.SlowMS))
		if faults.Down {
			dropConnection()
		}
		if refused {
			writeError(w, api.NewError(api.KindStoreUnavailable, "the platform refuses this call"))
			return
		}
		next(w, r)
	}
}

func (p *Platform) drawFaults() (faults PlatformFaults, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faults.FailRate > 0 && p.random.Float64() < p.faults.FailRate
}

// consumeLostAnswer reports whether LoseAnswers applies to this call, and
// decrements the count if it is positive.
func (p *Platform) consumeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return true
	}
	return p.faults.LoseAnswers < 0
}

func (p *Platform) handleCommit(w http.ResponseWriter, r *http.Request) {
	var tx api.Tx
	if !readJSON(w, r, &tx) {
		return
	}
	if tx.WriteID == "" || len(tx.Ops) == 0 {
		writeError(w, api.NewError(api.KindInvalidField, "write_id and ops are needed"))
		return
	}
	answer := p.tables.commit(tx)
	if p.consumeLostAnswer() {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	var query api.ReadQuery
	if readJSON(w, r, &query) {
		writeJSON(w, http.StatusOK, p.tables.read(query.Refs))
	}
}

func (p *Platform) handleScan(w http.ResponseWriter, r *http.Request) {
	var query api.ScanQuery
	if readJSON(w, r, &query) {
		writeJSON(w, http.StatusOK, p.tables.scan(query))
	}
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, api.NewError(api.KindBodyTooLarge, "%v", err))
		return
	}
	name := r.PathValue("name")
	existing, loaded := p.objects.LoadOrStore(name, data)
	if loaded && !bytes.Equal(existing.([]byte), data) {
		writeError(w, api.NewError(api.KindConflict, "object %s exists with other bytes", name))
		return
	}
	if p.consumeLostAnswer() {
		dropConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	data, ok := p.objects.Load(name)
	if !ok {
		writeError(w, api.NewError(api.KindNotFound, "no object %s", name))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data.([]byte))
}

func (p *Platform) handleInstances(w http.ResponseWriter, _ *http.Request) {
	faults, _ := p.drawFaults()
	writeJSON(w, http.StatusOK, p.list.published(milliseconds(faults.ListLagMS)))
}

func (p *Platform) handleAnnounce(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) handleLeave(w http.ResponseWriter, r *http.Request) {
	var request LeaveRequest
	if readJSON(w, r, &request) {
		p.list.leave(request)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// instanceList is the platform's list of announced instances, including those
// that are leaving. It is safe for concurrent use.
type instanceList struct {
	mu            sync.Mutex // guards entries and lastPublished
	ttl           time.Duration
	now           func() time.Time
	entries       map[string]listEntry
	lastPublished api.InstanceList
}

type listEntry struct {
	instance    api.ListedInstance
	announcedAt time.Time
}

func newInstanceList(ttl time.Duration, now func() time.Time) *instanceList {
	return &instanceList{ttl: ttl, now: now, entries: make(map[string]listEntry)}
}

// announce lists the instance unless a later incarnation is already listed.
func (l *instanceList) announce(instance api.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[instance.ID].instance.Incarnation > instance.Incarnation {
		return
	}
	l.entries[instance.ID] = listEntry{instance, l.now()}
}

// leave removes the instance from the list unless a later incarnation is listed.
// Without an incarnation in the request, it removes any.
func (l *instanceList) leave(request LeaveRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.Incarnation != 0 && l.entries[request.ID].instance.Incarnation > request.Incarnation {
		return
	}
	delete(l.entries, request.ID)
}

// published returns the last published list, or publishes a new one if the last
// is at least lag old.
func (l *instanceList) published(lag time.Duration) api.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.lastPublished.AsOf) < lag {
		return l.lastPublished
	}
	l.lastPublished = api.InstanceList{Instances: l.liveInstances(now), AsOf: now}
	return l.lastPublished
}

func (l *instanceList) liveInstances(now time.Time) []api.ListedInstance {
	live := []api.ListedInstance{}
	for id, entry := range l.entries {
		if now.Sub(entry.announcedAt) > l.ttl {
			delete(l.entries, id)
			continue
		}
		live = append(live, entry.instance)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

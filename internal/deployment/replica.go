package deployment

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// The keys of the product's table; parts.go says where they lie.
const (
	epochKey       = "a/epoch"
	leaderKey      = "a/leader"
	cancelPrefix   = "c/"
	recordPrefix   = "e/"
	jobPrefix      = "j/"
	instancePrefix = "n/"
	workerPrefix   = "w/"
)

// knownJob is what an instance knows of one job.
type knownJob struct {
	job       *workload.Job
	cancelled bool
	record    dispatch.Record
	// announced says that the record comes from a leader that could not store it yet.
	announced bool
	// unread jobs have a record that cannot be read.
	unread bool
}

// leaderRow says who holds the lease.
type leaderRow struct {
	Leader string `json:"leader"`
	Epoch  int64  `json:"epoch"`
	// Released leases can be taken at once.
	Released bool `json:"released,omitempty"`
	// Beat changes with each renewal.
	Beat int64 `json:"beat"`
	// Begins promises that the record of a job that was ever started says so.
	Begins bool `json:"begins,omitempty"`
}

// seenLeader is the leader row as an instance has seen it.
type seenLeader struct {
	leaderRow
	version int64
	// since is when this version was first seen.
	since time.Time
}

// change is something new in the replica that the leader's core must know.
type change struct {
	job       string
	cancelled bool
}

// replica is the product's table as this instance knows it. Rows come from the
// feed, from reads and from peers, in any order; a row's version decides which
// is newer. It is safe for concurrent use.
type replica struct {
	logger *zap.Logger
	// changed is called, without the lock, for new jobs and cancels.
	changed func(change)

	mu       sync.Mutex
	versions map[string]int64
	jobs     map[string]*knownJob
	began    map[string]bool
	// beganEpoch is the epoch that began comes from.
	beganEpoch int64
	leader     seenLeader
	peers      map[string]instanceRow
	// workers are those that may run something, by id.
	workers map[string]workload.Worker
	// loaded says that the table was read whole, and is followed since.
	loaded bool
	// whole says that all rows are kept: a leaf keeps those of the instances alone.
	whole bool
	// pinned says that this instance leads, and that no row may be dropped.
	pinned bool
}

// instanceRow is what an instance writes of itself; its key is its address for
// peers.
type instanceRow struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cores is what it may use of the processor.
	Cores float64 `json:"cores,omitempty"`
}

func newReplica(logger *zap.Logger) *replica {
	return &replica{
		logger: logger, versions: make(map[string]int64), jobs: make(map[string]*knownJob),
		began: make(map[string]bool), peers: make(map[string]instanceRow), workers: make(map[string]workload.Worker), changed: func(change) {}, whole: true,
	}
}

// apply takes rows in.
func (r *replica) apply(rows []workload.Row) {
	var changes []change
	r.mu.Lock()
	for _, row := range rows {
		if row.Version <= r.versions[row.Key] || !r.whole && !strings.HasPrefix(row.Key, instancePrefix) {
			continue
		}
		r.versions[row.Key] = row.Version
		if c, ok := r.take(row); ok {
			changes = append(changes, c)
		}
	}
	changed := r.changed
	r.mu.Unlock()
	for _, c := range changes {
		changed(c)
	}
}

func (r *replica) take(row workload.Row) (change, bool) {
	prefix, id := row.Key[:min(2, len(row.Key))], row.Key[min(2, len(row.Key)):]
	if row.Deleted {
		r.drop(prefix, id, row.Key)
		return change{}, false
	}
	switch prefix {
	case jobPrefix:
		return change{job: id}, r.takeJob(id, row)
	case cancelPrefix:
		r.known(id).cancelled = true
		return change{job: id, cancelled: true}, true
	case recordPrefix:
		record, err := dispatch.DecodeRecord(row.Value)
		if err != nil {
			r.logger.Error("record cannot be read", zap.String("job", id), zap.Error(err))
			r.known(id).unread = true // what of it is done is not known: it must not run
			return change{}, false
		}
		known := r.known(id)
		if known.announced && record.Final == "" {
			break // an older record that came late: the announced end stands
		}
		known.record, known.announced, known.unread = record, false, false
	case instancePrefix:
		var peer instanceRow
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			r.logger.Error("instance's row cannot be read", zap.String("peer", id), zap.Error(err))
			return change{}, false
		}
		r.peers[id] = peer
	case workerPrefix:
		var worker workload.Worker
		if err := json.Unmarshal(row.Value, &worker); err != nil || worker.ID != id {
			// It may run something all the same: whoever schedules next waits for it.
			r.logger.Error("stored worker cannot be read", zap.String("worker", id), zap.Error(err))
			worker = workload.Worker{ID: id}
		}
		r.workers[id] = worker
	default:
		r.takeLeader(row)
	}
	return change{}, false
}

func (r *replica) takeJob(id string, row workload.Row) bool {
	var job workload.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		r.logger.Error("job cannot be read", zap.String("job", id), zap.Error(err))
		return false
	}
	if err := job.Check(); err != nil || job.ID != id {
		r.logger.Error("job cannot be read", zap.String("job", id), zap.String("id_inside", job.ID), zap.Error(err))
		return false
	}
	known := r.known(id)
	if known.job != nil {
		return false
	}
	known.job = &job
	return true
}

// announce takes the final records of jobs that a leader could not store yet. What
// the store has goes before.
func (r *replica) announce(rows []workload.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		known := r.jobs[row.Key]
		record, err := dispatch.DecodeRecord(row.Value)
		if err != nil || record.Final == "" {
			r.logger.Error("announced record cannot be read", zap.String("job", row.Key), zap.Error(err))
			continue
		}
		if known != nil && known.job != nil && known.record.Final == "" {
			known.record, known.announced = record, true
		}
	}
}

func (r *replica) takeLeader(row workload.Row) {
	if row.Key != leaderKey {
		return
	}
	seen := seenLeader{version: row.Version, since: bootTime()}
	if err := json.Unmarshal(row.Value, &seen.leaderRow); err != nil {
		r.logger.Error("leader row cannot be read", zap.Error(err))
		return
	}
	r.leader = seen
}

func (r *replica) drop(prefix, id, key string) {
	switch prefix {
	case jobPrefix:
		delete(r.jobs, id)
		delete(r.began, id)
	case instancePrefix:
		delete(r.peers, id)
	case workerPrefix:
		delete(r.workers, id)
	}
	if prefix != "a/" {
		delete(r.versions, key)
	}
}

func (r *replica) known(id string) *knownJob {
	known := r.jobs[id]
	if known == nil {
		known = &knownJob{}
		r.jobs[id] = known
	}
	return known
}

// version returns the version of a row; zero if it is not known.
func (r *replica) version(key string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[key]
}

// reload brings the replica in line with a whole read, taken at a version:
// rows that are missing there and not newer were removed.
func (r *replica) reload(rows []workload.Row, at int64) {
	r.keepAll()
	r.apply(rows)
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, version := range r.versions {
		if !present[key] && version <= at {
			r.drop(key[:2], key[2:], key)
		}
	}
	r.loaded = true
}

func (r *replica) keepAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = true
}

// pin keeps all rows from being dropped until unpin. A leader that found some of them
// missing would take jobs of an earlier epoch for new ones.
func (r *replica) pin() { r.setPinned(true) }

func (r *replica) unpin() { r.setPinned(false) }

func (r *replica) setPinned(pinned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinned = pinned
}

// keepInstances drops all rows but those of the instances, and takes no others, unless
// the rows are pinned.
func (r *replica) keepInstances() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinned || !r.whole {
		return
	}
	r.whole, r.loaded = false, false
	r.jobs, r.began, r.workers = make(map[string]*knownJob), make(map[string]bool), make(map[string]workload.Worker)
	r.leader = seenLeader{}
	versions := make(map[string]int64)
	for key, version := range r.versions {
		if strings.HasPrefix(key, instancePrefix) {
			versions[key] = version
		}
	}
	r.versions = versions
}

func (r *replica) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

func (r *replica) seenLeader() seenLeader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// zones lists the known instances but one by their availability zones, the larger
// ones first.
func (r *replica) zones(but string) map[string][]peerSize {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := make(map[string][]peerSize)
	for addr, peer := range r.peers {
		if addr != but {
			zones[peer.Zone] = append(zones[peer.Zone], peerSize{addr, peer.Cores})
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, compareSize)
	}
	return zones
}

// sizes lists the known instances that match with their sizes.
func (r *replica) sizes(match func(addr string) bool) []peerSize {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []peerSize
	for addr, peer := range r.peers {
		if match(addr) {
			list = append(list, peerSize{addr, peer.Cores})
		}
	}
	return list
}

// setBegan takes the leader's word on which jobs have begun.
func (r *replica) setBegan(epoch int64, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.beganEpoch {
		return
	}
	if epoch > r.beganEpoch {
		r.beganEpoch = epoch
	}
	for _, id := range ids {
		r.began[id] = true
	}
}

// snapshot returns all jobs, oldest first, for a new leader's core.
func (r *replica) snapshot() []knownJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]knownJob, 0, len(r.jobs))
	for _, known := range r.jobs {
		if known.job != nil && !known.unread {
			list = append(list, *known)
		}
	}
	slices.SortFunc(list, func(a, b knownJob) int {
		if a.job.AcceptedMS != b.job.AcceptedMS {
			return int(a.job.AcceptedMS - b.job.AcceptedMS)
		}
		return strings.Compare(a.job.ID, b.job.ID)
	})
	return list
}

// get returns what is known of one job.
func (r *replica) get(id string) (knownJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.jobs[id]
	if known == nil || known.job == nil {
		return knownJob{}, false
	}
	return *known, true
}

// expired lists jobs that ended before a time, in milliseconds since 1970, also those of
// which only the record is left.
func (r *replica) expired(beforeMS int64, limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, known := range r.jobs {
		if known.record.Final != "" && known.record.EndedMS < beforeMS && len(ids) < limit {
			ids = append(ids, id)
		}
	}
	return ids
}

// storedWorkers lists the workers that are in the table.
func (r *replica) storedWorkers() []workload.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.workers))
}

// beganList lists the jobs that have begun and are not final.
func (r *replica) beganList() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.began {
		if known := r.jobs[id]; known != nil && known.record.Final == "" && !known.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// otherZones lists the known instances of each zone but one, the larger ones first.
func (r *replica) otherZones(own string) [][]string {
	members := r.zones("")
	delete(members, own)
	var zones [][]string
	for _, zone := range slices.Sorted(maps.Keys(members)) {
		var addrs []string
		for _, instance := range members[zone] {
			addrs = append(addrs, instance.addr)
		}
		zones = append(zones, addrs)
	}
	return zones
}

// zoneOf is the zone of a known instance.
func (r *replica) zoneOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[id].Zone
}

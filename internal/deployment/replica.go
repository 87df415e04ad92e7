package deployment

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/knowledge"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// The keys of the product's table; parts.go assigns them to parts.
const (
	epochKey        = "a/epoch"
	leaderKey       = "a/leader"
	cancelPrefix    = "c/"
	recordPrefix    = "e/"
	jobPrefix       = "j/"
	knowledgePrefix = "k/"
	instancePrefix  = "n/"
	intentPrefix    = "b/"
	workerPrefix    = "w/"
)

// knownJob is the state of one job as this instance has it.
type knownJob struct {
	job *workload.Job
	// cancelled is set if the job's client account has cancelled it.
	cancelled bool
	// cancellation is nil if no account has cancelled the id.
	cancellation *cancellation
	// record is the stored record.
	record dispatch.Record
	// cancelledVersion and finalVersion are those of the rows with which this instance first had the
	// cancellation and the final state.
	cancelledVersion, finalVersion int64
	// finalSince is the time at which this instance first had the stored final record; zero if there
	// is none.
	finalSince time.Time
	// recordParts holds the parts of a large record as stored, by the rest of their keys.
	recordParts map[string][]byte
	// announced is the final record that the leader of announcedEpoch could not store yet; nil if
	// there is none. A restart of all instances loses it, so callers are not shown it.
	announced      *dispatch.Record
	announcedEpoch int64
	// begun is set if the start intent is stored apart from the record.
	begun bool
	// unreadable is set if the record of the job cannot be decoded.
	unreadable bool
}

// leaderRow is the row that names the holder of the lease.
type leaderRow struct {
	Leader string `json:"leader"`
	Epoch  int64  `json:"epoch"`
	// Released is set if the lease was given up and can be taken at once.
	Released bool `json:"released,omitempty"`
	// Beat changes with each renewal.
	Beat int64 `json:"beat"`
	// StoresIntents promises that the record of every started job has its start
	// intent. Leaders that may store intents apart from records promise StoresIntentsAnywhere
	// instead, so that an instance that does not know of these trusts neither. Leaders whose separate
	// intents expect the fence of their part promise StoresIntentsFenced, for the same reason.
	StoresIntents         bool `json:"begins,omitempty"`
	StoresIntentsAnywhere bool `json:"begins_anywhere,omitempty"`
	StoresIntentsFenced   bool `json:"begins_fenced,omitempty"`
}

// promisesIntents reports whether every started job has its start intent stored.
func (r leaderRow) promisesIntents() bool {
	return r.StoresIntents || r.StoresIntentsAnywhere || r.StoresIntentsFenced
}

// promisesRefusableIntents reports whether, besides, none is stored any more once the next leader has
// written its epoch and its fences.
func (r leaderRow) promisesRefusableIntents() bool { return r.StoresIntents || r.StoresIntentsFenced }

// seenLeader is the leader row as this instance has seen it.
type seenLeader struct {
	leaderRow
	version int64
	// firstSeen is the time at which this version was first seen.
	firstSeen time.Time
}

// change is a new job or cancellation that is passed to the leader's core.
type change struct {
	job       string
	cancelled bool
}

// replica is this instance's copy of the product's table. Rows arrive from the feed,
// from reads and from peers, in any order; the version of a row decides which is newer.
// It is safe for concurrent use.
type replica struct {
	logger *zap.Logger
	// onChange is called, without the lock held, for new jobs and cancellations.
	onChange func(change)

	mu sync.Mutex
	// versions holds the newest known version of each row, by key.
	versions map[string]int64
	jobs     map[string]*knownJob
	// started holds the jobs that a leader has reported as started.
	started map[string]bool
	// startedEpoch is the highest epoch from which started was reported.
	startedEpoch int64
	leader       seenLeader
	instances    map[string]instanceRow
	// instancesVersion is the version of the store up to which the instances are known, on a
	// leaf those that it needs. newestInstanceRow is the version of their newest row.
	instancesVersion, newestInstanceRow int64
	// workers holds the workers that may run something, by id.
	workers map[string]workload.Worker
	// knowledge holds the rows of what earlier leaders learned, by key.
	knowledge map[string][]byte
	// tableVersion is the version of the store up to which all rows are known, zero if not all are
	// kept. An older row that is not known was removed.
	tableVersion int64
	// loaded is set once the whole table was read, and while it is followed.
	loaded bool
	// allRows is set if all rows are kept. A leaf keeps only those of the instances.
	allRows bool
	// pinned is set while this instance leads and keepOnlyInstances has no effect.
	pinned bool
}

// instanceRow is the row that an instance writes about itself; its key is its address
// for peers.
type instanceRow struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cores is the processor time that the instance may use, in cores.
	Cores float64 `json:"cores,omitempty"`
}

func newReplica(logger *zap.Logger) *replica {
	return &replica{
		logger: logger, versions: make(map[string]int64), jobs: make(map[string]*knownJob),
		started: make(map[string]bool), instances: make(map[string]instanceRow), workers: make(map[string]workload.Worker), knowledge: make(map[string][]byte), onChange: func(change) {}, allRows: true,
	}
}

// apply applies rows that are newer than the known ones.
func (r *replica) apply(rows []workload.Row) { r.applyUpTo(rows, 0) }

// applyFeed applies the next changes of the table.
func (r *replica) applyFeed(rows []workload.Row) {
	newest := int64(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	r.applyUpTo(rows, newest)
}

// applyUpTo applies rows; with them, all rows are known up to a version.
func (r *replica) applyUpTo(rows []workload.Row, version int64) {
	var changes []change
	r.mu.Lock()
	for _, row := range rows {
		if row.Version <= r.versions[row.Key] || r.isRemoved(row) || !r.allRows && !strings.HasPrefix(row.Key, instancePrefix) {
			continue
		}
		r.versions[row.Key] = row.Version
		if c, ok := r.applyRow(row); ok {
			changes = append(changes, c)
		}
	}
	r.advanceTable(version)
	onChange := r.onChange
	r.mu.Unlock()
	for _, c := range changes {
		onChange(c)
	}
}

// isRemoved reports whether a row is an old copy of one that was removed, as a late note or a read from
// before may hold. With such a row, a job that has ended would come back without its record.
func (r *replica) isRemoved(row workload.Row) bool {
	return row.Version <= r.tableVersion && r.versions[row.Key] == 0 && !strings.HasPrefix(row.Key, instancePrefix)
}

func (r *replica) advanceTable(version int64) {
	if r.loaded {
		r.tableVersion = max(r.tableVersion, version)
	}
}

// advance records that all rows are known up to a version of the store.
func (r *replica) advance(version int64) {
	r.advanceInstances(version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceTable(version)
}

func (r *replica) applyRow(row workload.Row) (change, bool) {
	prefix, id := row.Key[:min(2, len(row.Key))], row.Key[min(2, len(row.Key)):]
	if row.Deleted {
		r.drop(prefix, id, row.Key)
		return change{}, false
	}
	switch prefix {
	case jobPrefix:
		isNew := r.applyJob(id, row)
		return change{job: id, cancelled: isNew && r.jobs[id].cancelled}, isNew
	case cancelPrefix:
		known := r.ensureJob(id)
		if known.cancellation == nil {
			known.cancellation = &cancellation{since: bootTime()}
		}
		known.cancellation.add(decodeCancelRow(row.Value), row.Version)
		known.applyCancellation()
		return change{job: id, cancelled: known.cancelled}, known.cancelled
	case recordPrefix:
		record, err := dispatch.DecodeRecord(row.Value)
		if err != nil {
			r.logger.Error("record cannot be read", zap.String("job", id), zap.Error(err))
			r.ensureJob(id).unreadable = true // the job must not run, because what it has completed is unknown
			return change{}, false
		}
		known := r.ensureJob(id)
		known.record, known.unreadable = record, false
		if record.Final != "" {
			known.announced = nil
			known.finalVersion = cmp.Or(known.finalVersion, row.Version)
			if known.finalSince.IsZero() {
				known.finalSince = bootTime()
			}
		}
	case instancePrefix:
		var peer instanceRow
		if err := json.Unmarshal(row.Value, &peer); err != nil {
			r.logger.Error("instance's row cannot be read", zap.String("peer", id), zap.Error(err))
			return change{}, false
		}
		r.instances[id] = peer
		r.newestInstanceRow = max(r.newestInstanceRow, row.Version)
	case workerPrefix:
		var worker workload.Worker
		if err := json.Unmarshal(row.Value, &worker); err != nil || worker.ID != id {
			// The worker may run something all the same, so the next leader waits for
			// it.
			r.logger.Error("stored worker cannot be read", zap.String("worker", id), zap.Error(err))
			worker = workload.Worker{ID: id}
		}
		r.workers[id] = worker
	case recordPartPrefix:
		job, part := splitPartKey(id)
		known := r.ensureJob(job)
		if known.recordParts == nil {
			known.recordParts = make(map[string][]byte)
		}
		known.recordParts[part] = row.Value
	case knowledgePrefix:
		r.knowledge[id] = row.Value
	case intentPrefix:
		r.ensureJob(id).begun = true
	default:
		r.applyLeader(row)
	}
	return change{}, false
}

func (r *replica) applyJob(id string, row workload.Row) bool {
	var job workload.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		r.logger.Error("job cannot be read", zap.String("job", id), zap.Error(err))
		return false
	}
	if err := job.Check(); err != nil || job.ID != id {
		r.logger.Error("job cannot be read", zap.String("job", id), zap.String("id_inside", job.ID), zap.Error(err))
		return false
	}
	known := r.ensureJob(id)
	if known.job != nil {
		return false
	}
	known.job = &job
	known.applyCancellation()
	return true
}

// applyAnnounced applies the final records of jobs that a leader could not store yet; their
// versions are its epoch. Stored final records take precedence.
func (r *replica) applyAnnounced(rows []workload.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		known := r.jobs[row.Key]
		record, err := dispatch.DecodeRecord(row.Value)
		if err != nil || record.Final == "" {
			r.logger.Error("announced record cannot be read", zap.String("job", row.Key), zap.Error(err))
			continue
		}
		if known != nil && known.job != nil && known.record.Final == "" && row.Version >= known.announcedEpoch {
			known.announced, known.announcedEpoch = &record, row.Version
		}
	}
}

func (r *replica) applyLeader(row workload.Row) {
	if row.Key != leaderKey {
		return
	}
	seen := seenLeader{version: row.Version, firstSeen: bootTime()}
	if err := json.Unmarshal(row.Value, &seen.leaderRow); err != nil {
		r.logger.Error("leader row cannot be read", zap.Error(err))
		return
	}
	r.leader = seen
}

func (r *replica) drop(prefix, id, key string) {
	if prefix != "a/" {
		delete(r.versions, key)
	}
	switch prefix {
	case jobPrefix, cancelPrefix, intentPrefix, recordPrefix, recordPartPrefix:
		job, part := id, ""
		if prefix == recordPartPrefix {
			job, part = splitPartKey(id)
		}
		if known := r.jobs[job]; known != nil {
			known.drop(prefix, part)
			if known.isEmpty() && r.versions[recordPrefix+job] == 0 {
				delete(r.jobs, job)
			}
		}
		if prefix == jobPrefix {
			delete(r.started, job)
		}
	case instancePrefix:
		delete(r.instances, id)
	case workerPrefix:
		delete(r.workers, id)
	case knowledgePrefix:
		delete(r.knowledge, id)
	}
}

// drop drops what one row said of a job. The rest stays: a job whose row comes back without its record
// would run again.
func (k *knownJob) drop(prefix, part string) {
	switch prefix {
	case jobPrefix:
		k.job, k.announced = nil, nil
		k.cancelled, k.cancelledVersion = false, 0
	case cancelPrefix:
		k.cancellation = nil
		k.cancelled, k.cancelledVersion = false, 0
	case intentPrefix:
		k.begun = false
	case recordPrefix:
		k.record, k.unreadable, k.finalSince, k.finalVersion = dispatch.Record{}, false, time.Time{}, 0
	case recordPartPrefix:
		delete(k.recordParts, part)
	}
}

// isEmpty reports whether nothing is known of a job but perhaps its record.
func (k *knownJob) isEmpty() bool {
	return k.job == nil && k.cancellation == nil && !k.begun && len(k.recordParts) == 0
}

func (r *replica) ensureJob(id string) *knownJob {
	known := r.jobs[id]
	if known == nil {
		known = &knownJob{}
		r.jobs[id] = known
	}
	return known
}

// version returns the version of a row, or zero if it is not known.
func (r *replica) version(key string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[key]
}

// reload applies a whole read at a version: known rows that are missing from it and not
// newer were removed.
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
	r.advanceTable(at)
	r.instancesVersion = max(r.instancesVersion, at)
}

func (r *replica) keepAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allRows = true
}

// pin keeps keepOnlyInstances from dropping rows until unpin. A leader with missing rows
// would treat jobs of an earlier epoch as new.
func (r *replica) pin() { r.setPinned(true) }

func (r *replica) unpin() { r.setPinned(false) }

func (r *replica) setPinned(pinned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinned = pinned
}

// keepOnlyInstances drops all rows except those of the instances and ignores others
// from then on, unless the rows are pinned.
func (r *replica) keepOnlyInstances() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinned || !r.allRows {
		return
	}
	r.allRows, r.loaded, r.tableVersion = false, false, 0
	r.jobs, r.started, r.workers = make(map[string]*knownJob), make(map[string]bool), make(map[string]workload.Worker)
	r.knowledge = make(map[string][]byte)
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

// zones returns the known instances by availability zone, without the one at the given
// address, sorted by compareSize.
func (r *replica) zones(except string) map[string][]peerSize {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := make(map[string][]peerSize)
	for addr, peer := range r.instances {
		if addr != except {
			zones[peer.Zone] = append(zones[peer.Zone], peerSize{addr, peer.Cores})
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, compareSize)
	}
	return zones
}

// sizes returns the matching known instances with their sizes.
func (r *replica) sizes(match func(addr string) bool) []peerSize {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []peerSize
	for addr, peer := range r.instances {
		if match(addr) {
			list = append(list, peerSize{addr, peer.Cores})
		}
	}
	return list
}

// setStarted records the jobs that the leader of an epoch reports as started. Reports
// of earlier epochs are ignored.
func (r *replica) setStarted(epoch int64, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.startedEpoch {
		return
	}
	if epoch > r.startedEpoch {
		r.startedEpoch = epoch
	}
	for _, id := range ids {
		r.started[id] = true
	}
}

// snapshot returns all readable jobs, oldest first, for a new leader's core.
func (r *replica) snapshot() []knownJob {
	return r.snapshotExcept(func(string) bool { return false })
}

// snapshotExcept returns the readable jobs that are not known, oldest first.
func (r *replica) snapshotExcept(isKnown func(id string) bool) []knownJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]knownJob, 0, len(r.jobs))
	for _, known := range r.jobs {
		if known.job == nil || isKnown(known.job.ID) {
			continue
		}
		if k, ok := r.whole(known); ok {
			list = append(list, k)
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

// whole returns a job with all that is stored of its progress; false if that cannot be read, because
// what the job has completed would be unknown.
func (r *replica) whole(known *knownJob) (knownJob, bool) {
	if known == nil || known.job == nil || known.unreadable {
		return knownJob{}, false
	}
	record, err := known.wholeRecord()
	if err != nil {
		r.logger.Error("record cannot be read", zap.String("job", known.job.ID), zap.Error(err))
		return knownJob{}, false
	}
	k := *known
	k.record = record
	k.record.StartIntent = k.record.StartIntent || k.begun
	return k, true
}

// jobForLeader returns a job as snapshot does.
func (r *replica) jobForLeader(id string) (knownJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.whole(r.jobs[id])
}

// get returns the state of one job; false if the job is not known.
func (r *replica) get(id string) (knownJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.jobs[id]
	if known == nil || known.job == nil {
		return knownJob{}, false
	}
	return *known, true
}

// expired returns up to limit jobs whose stored final record this instance has had since before a time,
// including those whose record is all that is left. The time at which the job ended does not count: it
// comes from the wall clock of another instance, and either clock may jump.
func (r *replica) expired(before time.Time, limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, known := range r.jobs {
		if known.record.Final != "" && known.finalSince.Before(before) && len(ids) < limit {
			ids = append(ids, id)
		}
	}
	return ids
}

// storedWorkers returns the workers in the table.
func (r *replica) storedWorkers() []workload.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.workers))
}

// knowledgeRows returns the rows of what earlier leaders learned.
func (r *replica) knowledgeRows() []knowledge.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []knowledge.Row
	for _, key := range slices.Sorted(maps.Keys(r.knowledge)) {
		rows = append(rows, knowledge.Row{Key: key, Value: r.knowledge[key]})
	}
	return rows
}

// startedJobs returns the jobs that have started and are neither final nor cancelled.
func (r *replica) startedJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.started {
		if known := r.jobs[id]; known != nil && known.record.Final == "" && !known.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// otherZones returns the known instances of each zone except one, the larger ones
// first.
func (r *replica) otherZones(ownZone string) [][]string {
	members := r.zones("")
	delete(members, ownZone)
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

// zoneOf returns the zone of a known instance.
func (r *replica) zoneOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[id].Zone
}

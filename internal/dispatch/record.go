package dispatch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// Final is the final state of a job, empty while it has none.
type Final string

// The final states of a job.
const (
	FinalCompleted Final = "completed"
	FinalFailed    Final = "failed"
	FinalCancelled Final = "cancelled"
)

// Record is the stored progress of a job. It is written before the completions it contains are
// acknowledged to a worker, so a new leader needs only the record and what workers still list.
type Record struct {
	Final Final `json:"final,omitempty"`
	// StartIntent is the job's start intent: tasks of the job may have been started.
	StartIntent bool `json:"began,omitempty"`
	// EndedMS is the time at which the job became final, in milliseconds since 1970.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// Done maps occurrence and step ("0.1") to the bit set of done tasks in hexadecimal.
	Done map[string]string `json:"done,omitempty"`
	// Failed maps occurrence, step and task ("0.1.7"; without a task for gangs: "0.1") to the
	// attempts that failed.
	Failed map[string][]int64 `json:"failed,omitempty"`
	// Crashed maps occurrence, step and task, also for gangs, to the attempts during which the
	// task's worker crashed.
	Crashed map[string][]int64 `json:"crashed,omitempty"`
	// Isolated maps the same keys to those among the crashed attempts whose worker ran no other
	// job.
	Isolated map[string][]int64 `json:"alone,omitempty"`
	// Attempts maps the same keys to the attempts that may be in progress, for tasks whose
	// worker may have crashed before.
	Attempts map[string][]int64 `json:"attempts,omitempty"`
	// SharedCrashes maps the same keys to the attempts that ended in a crash of many workers at once.
	SharedCrashes map[string][]int64 `json:"shared,omitempty"`
	// Unanswered maps the same keys to the attempts that were lost with their worker and that
	// the worker never confirmed.
	Unanswered map[string][]int64 `json:"unanswered,omitempty"`
	// ObservedMS maps the same keys to the time, in milliseconds, for which the worker had
	// reported the run before it was lost, by attempt. An attempt for which it is not known is
	// missing.
	ObservedMS map[string]map[int64]int64 `json:"observed_ms,omitempty"`
	// SurvivedMS maps the same keys to the longest time, in milliseconds, for which a run of the
	// task has been observed.
	SurvivedMS map[string]int64 `json:"survived_ms,omitempty"`
	// Checkpoints maps the keys of Failed to the last checkpoint.
	Checkpoints map[string]string `json:"saved,omitempty"`
	// Parts is the number of parts that hold the maps, zero if the record itself does.
	Parts int `json:"parts,omitempty"`
}

// Encode returns the stored form of the record.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return data
}

// DecodeRecord parses the stored form of a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	switch r.Final {
	case "", FinalCompleted, FinalFailed, FinalCancelled:
		return r, nil
	}
	return Record{}, fmt.Errorf("unknown final state %q", r.Final)
}

func (r *Record) clone() Record {
	c := *r
	c.Done, c.Checkpoints, c.Failed = maps.Clone(r.Done), maps.Clone(r.Checkpoints), maps.Clone(r.Failed)
	c.Crashed, c.Attempts = maps.Clone(r.Crashed), maps.Clone(r.Attempts)
	c.SharedCrashes, c.Unanswered = maps.Clone(r.SharedCrashes), maps.Clone(r.Unanswered)
	c.Isolated = maps.Clone(r.Isolated)
	c.ObservedMS, c.SurvivedMS = maps.Clone(r.ObservedMS), maps.Clone(r.SurvivedMS)
	return c
}

func stepKey(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

func taskKey(occurrence, step, index int) string {
	return fmt.Sprintf("%d.%d.%d", occurrence, step, index)
}

// doneBits returns which of count tasks are done.
func (r *Record) doneBits(key string, count int) []bool {
	bits := make([]bool, count)
	raw, err := hex.DecodeString(r.Done[key])
	if err != nil {
		return bits
	}
	for i := range bits {
		if i/8 < len(raw) {
			bits[i] = raw[i/8]&(1<<(i%8)) != 0
		}
	}
	return bits
}

func (r *Record) setDone(key string, index, count int) {
	raw, err := hex.DecodeString(r.Done[key])
	if err != nil || len(raw) != (count+7)/8 {
		raw = make([]byte, (count+7)/8)
	}
	raw[index/8] |= 1 << (index % 8)
	if r.Done == nil {
		r.Done = make(map[string]string)
	}
	r.Done[key] = hex.EncodeToString(raw)
}

// addFailed records a failed attempt and reports whether it is new.
func (r *Record) addFailed(key string, attempt int64) bool {
	return addAttempt(&r.Failed, key, attempt)
}

// addCrash records an attempt during which the task's worker crashed. isolated is set if the worker
// ran no other job.
func (r *Record) addCrash(key string, attempt int64, isolated bool) {
	addAttempt(&r.Crashed, key, attempt)
	if isolated {
		addAttempt(&r.Isolated, key, attempt)
	}
}

// addSharedCrash records an attempt whose worker crashed together with many others.
func (r *Record) addSharedCrash(key string, attempt int64) {
	addAttempt(&r.SharedCrashes, key, attempt)
}

// Crashes returns the counted crashes of a task.
func (r *Record) Crashes(key string) quarantine.Crashes {
	return quarantine.Crashes{
		Survived:       time.Duration(r.SurvivedMS[key]) * time.Millisecond,
		Confirmed:      len(r.Crashed[key]),
		Isolated:       len(r.Isolated[key]),
		Correlated:     len(r.SharedCrashes[key]),
		Unacknowledged: len(r.Unanswered[key]),
	}
}

// setSurvived records the longest time for which a run of the task has been observed.
func (r *Record) setSurvived(key string, survived time.Duration) {
	if r.SurvivedMS == nil {
		r.SurvivedMS = make(map[string]int64)
	}
	r.SurvivedMS[key] = survived.Milliseconds()
}

// setObserved records for how long a run had been observed before it was lost.
func (r *Record) setObserved(key string, attempt int64, observed time.Duration) {
	if r.ObservedMS == nil {
		r.ObservedMS = make(map[string]map[int64]int64)
	}
	byAttempt := make(map[int64]int64, len(r.ObservedMS[key])+1)
	maps.Copy(byAttempt, r.ObservedMS[key])
	byAttempt[attempt] = observed.Milliseconds()
	r.ObservedMS[key] = byAttempt
}

// discardOutlived removes the crashes of a task that a run of it has outlived, and reports whether
// there were any.
func (r *Record) discardOutlived(key string, survived time.Duration) bool {
	kept := make(map[int64]int64, len(r.ObservedMS[key]))
	for attempt, ms := range r.ObservedMS[key] {
		if !quarantine.Outlived(survived, time.Duration(ms)*time.Millisecond) {
			kept[attempt] = ms
			continue
		}
		for _, crashes := range []map[string][]int64{r.Crashed, r.Isolated, r.SharedCrashes, r.Unanswered} {
			removeAttempt(crashes, key, attempt)
		}
	}
	if len(kept) == len(r.ObservedMS[key]) {
		return false
	}
	r.ObservedMS[key] = kept
	if len(kept) == 0 {
		delete(r.ObservedMS, key)
	}
	return true
}

// forgetCrashes removes all recorded crashes of a task.
func (r *Record) forgetCrashes(key string) {
	delete(r.Crashed, key)
	delete(r.Isolated, key)
	delete(r.SharedCrashes, key)
	delete(r.Unanswered, key)
	delete(r.ObservedMS, key)
}

// addUnanswered records an attempt that was lost and may never have started.
func (r *Record) addUnanswered(key string, attempt int64) { addAttempt(&r.Unanswered, key, attempt) }

// addAttempt records an attempt and reports whether it is new.
func addAttempt(attempts *map[string][]int64, key string, attempt int64) bool {
	if slices.Contains((*attempts)[key], attempt) {
		return false
	}
	if *attempts == nil {
		*attempts = make(map[string][]int64)
	}
	(*attempts)[key] = append(slices.Clone((*attempts)[key]), attempt)
	return true
}

// beginAttempt records an attempt that may be in progress from now on.
func (r *Record) beginAttempt(key string, attempt int64) { addAttempt(&r.Attempts, key, attempt) }

// endAttempt removes an attempt that is over.
func (r *Record) endAttempt(key string, attempt int64) {
	removeAttempt(r.Attempts, key, attempt)
}

func removeAttempt(attempts map[string][]int64, key string, attempt int64) {
	left := slices.DeleteFunc(slices.Clone(attempts[key]), func(a int64) bool { return a == attempt })
	if len(left) == 0 {
		delete(attempts, key)
		return
	}
	attempts[key] = left
}

// forgetProgress removes what only a further start of a task would need.
func (r *Record) forgetProgress(key string) {
	delete(r.Checkpoints, key)
	delete(r.Failed, key)
}

func (r *Record) setCheckpoint(key, checkpoint string) {
	if r.Checkpoints == nil {
		r.Checkpoints = make(map[string]string)
	}
	r.Checkpoints[key] = checkpoint
}

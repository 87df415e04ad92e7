package dispatch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Final is how a job ended, empty while it has not.
type Final string

// The final states of a job.
const (
	FinalCompleted Final = "completed"
	FinalFailed    Final = "failed"
	FinalCancelled Final = "cancelled"
)

// Record is what the store keeps of a job's progress. It is written before the
// ends that it holds are acknowledged to a worker, so it is all that a new
// leader needs besides what workers still list.
type Record struct {
	Final Final `json:"final,omitempty"`
	// Began says that tasks of the job may have been started.
	Began bool `json:"began,omitempty"`
	// EndedMS is when it became final, in milliseconds since 1970.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// Done holds, by occurrence and step ("0.1"), the bits of the done tasks in
	// hexadecimal.
	Done map[string]string `json:"done,omitempty"`
	// Failed holds, by occurrence, step and task ("0.1.7"; a gang has no
	// task: "0.1"), the attempts that ended failed.
	Failed map[string][]int64 `json:"failed,omitempty"`
	// Crashed holds, by occurrence, step and task, also of a gang, the attempts under
	// which the task's worker went down.
	Crashed map[string][]int64 `json:"crashed,omitempty"`
	// Attempts holds, by the same names, those that may be under way of tasks under
	// which a worker may have gone down before.
	Attempts map[string][]int64 `json:"attempts,omitempty"`
	// Shared holds, by the same names, such attempts where many workers went down at once.
	Shared map[string][]int64 `json:"shared,omitempty"`
	// Unanswered holds, by the same names, the attempts that were lost with their worker and
	// of which it never said that they were there.
	Unanswered map[string][]int64 `json:"unanswered,omitempty"`
	// Saved holds, by the names of Failed, the last checkpoint.
	Saved map[string]string `json:"saved,omitempty"`
}

// Encode returns the stored form.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return data
}

// DecodeRecord reads the stored form.
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
	c.Done, c.Saved, c.Failed = maps.Clone(r.Done), maps.Clone(r.Saved), maps.Clone(r.Failed)
	c.Crashed, c.Attempts = maps.Clone(r.Crashed), maps.Clone(r.Attempts)
	c.Shared, c.Unanswered = maps.Clone(r.Shared), maps.Clone(r.Unanswered)
	return c
}

func stepName(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

func taskName(occurrence, step, index int) string {
	return fmt.Sprintf("%d.%d.%d", occurrence, step, index)
}

// doneBits returns which of count tasks are done.
func (r *Record) doneBits(name string, count int) []bool {
	bits := make([]bool, count)
	raw, err := hex.DecodeString(r.Done[name])
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

func (r *Record) setDone(name string, index, count int) {
	raw, err := hex.DecodeString(r.Done[name])
	if err != nil || len(raw) != (count+7)/8 {
		raw = make([]byte, (count+7)/8)
	}
	raw[index/8] |= 1 << (index % 8)
	if r.Done == nil {
		r.Done = make(map[string]string)
	}
	r.Done[name] = hex.EncodeToString(raw)
}

// addFailed notes a failed attempt; false if it was noted before.
func (r *Record) addFailed(name string, attempt int64) bool {
	return addAttempt(&r.Failed, name, attempt)
}

// addCrash notes an attempt under which the task's worker went down.
func (r *Record) addCrash(name string, attempt int64) { addAttempt(&r.Crashed, name, attempt) }

// addShared notes one under which it went down among many others.
func (r *Record) addShared(name string, attempt int64) { addAttempt(&r.Shared, name, attempt) }

// forgetCrashes forgets all of them.
func (r *Record) forgetCrashes(name string) {
	delete(r.Crashed, name)
	delete(r.Shared, name)
	delete(r.Unanswered, name)
}

// addUnanswered notes an attempt that was lost and may never have begun.
func (r *Record) addUnanswered(name string, attempt int64) { addAttempt(&r.Unanswered, name, attempt) }

// addAttempt notes an attempt; false if it was noted before.
func addAttempt(attempts *map[string][]int64, name string, attempt int64) bool {
	if slices.Contains((*attempts)[name], attempt) {
		return false
	}
	if *attempts == nil {
		*attempts = make(map[string][]int64)
	}
	(*attempts)[name] = append(slices.Clone((*attempts)[name]), attempt)
	return true
}

// beginAttempt notes an attempt that may be under way from now on.
func (r *Record) beginAttempt(name string, attempt int64) { addAttempt(&r.Attempts, name, attempt) }

// endAttempt notes that it is over.
func (r *Record) endAttempt(name string, attempt int64) {
	left := slices.DeleteFunc(slices.Clone(r.Attempts[name]), func(a int64) bool { return a == attempt })
	if len(left) == 0 {
		delete(r.Attempts, name)
		return
	}
	r.Attempts[name] = left
}

func (r *Record) setSaved(name, checkpoint string) {
	if r.Saved == nil {
		r.Saved = make(map[string]string)
	}
	r.Saved[name] = checkpoint
}

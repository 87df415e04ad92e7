// Package decision logs every routing and placement decision and keeps recent ones in
// memory, so that they can be explained by the ID of their request or job.
package decision

import (
	"sync"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/logging"
)

// maxPerSubject bounds the decisions kept for one request or job. The decisions on a
// job that waits for days are repetitive; the first and the last ones are enough to
// explain it.
const maxPerSubject = 64

// Recorder logs decisions and keeps those of the most recent subjects. It is safe for
// concurrent use.
type Recorder struct {
	logger   *zap.Logger
	instance string
	capacity int

	mu        sync.Mutex
	bySubject map[string][]api.Decision
	order     []string // ring of subjects in order of arrival
	next      int
}

// NewRecorder returns a Recorder that keeps the decisions on the newest capacity
// subjects.
func NewRecorder(logger *zap.Logger, instance string, capacity int) *Recorder {
	return &Recorder{logger: logger, instance: instance, capacity: capacity, bySubject: make(map[string][]api.Decision)}
}

// Record logs d and keeps it. If d repeats the last decision on its subject (same
// step, choice and reason), it is neither logged nor kept.
func (r *Recorder) Record(d api.Decision) {
	d.Instance = r.instance
	if r.keep(d) {
		logging.LogDecision(r.logger, d)
	}
}

func (r *Recorder) keep(d api.Decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, known := r.bySubject[d.Subject]
	if !known {
		r.addSubject(d.Subject)
	}
	if len(kept) > 0 && repeats(kept[len(kept)-1], d) {
		return false
	}
	if len(kept) >= maxPerSubject {
		kept = append(kept[:maxPerSubject/2:maxPerSubject/2], kept[maxPerSubject/2+1:]...)
	}
	r.bySubject[d.Subject] = append(kept, d)
	return true
}

// addSubject adds a subject and evicts the oldest one if the recorder is full. The
// caller must hold mu.
func (r *Recorder) addSubject(subject string) {
	if len(r.order) < r.capacity {
		r.order = append(r.order, subject)
		return
	}
	delete(r.bySubject, r.order[r.next])
	r.order[r.next] = subject
	r.next = (r.next + 1) % r.capacity
}

func repeats(a, b api.Decision) bool {
	return a.Step == b.Step && a.Choice == b.Choice && a.Reason == b.Reason
}

// Explain returns the decisions kept on a subject, in order.
func (r *Recorder) Explain(subject string) []api.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]api.Decision(nil), r.bySubject[subject]...)
}

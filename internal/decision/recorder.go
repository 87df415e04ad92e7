// Package decision logs every routing and placement decision and keeps the
// recent ones in memory, so that they can be explained by the id of their
// request or job.
package decision

import (
	"sync"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/logging"
)

// maxPerSubject bounds the decisions kept for one request or job. A job that
// waits for days repeats itself; the first and the last ones explain it.
const maxPerSubject = 64

// Recorder is safe for concurrent use.
type Recorder struct {
	logger   *zap.Logger
	instance string
	capacity int

	mu        sync.Mutex
	bySubject map[string][]api.Decision
	order     []string // ring of subjects in order of arrival
	next      int
}

// NewRecorder returns a recorder that keeps the newest capacity subjects.
func NewRecorder(logger *zap.Logger, instance string, capacity int) *Recorder {
	return &Recorder{logger: logger, instance: instance, capacity: capacity, bySubject: make(map[string][]api.Decision)}
}

// Record logs d and keeps it. A decision that repeats the subject's last one
// (same step, choice and reason) is neither logged nor kept again.
func (r *Recorder) Record(d api.Decision) {
	d.Instance = r.instance
	if r.keep(d) {
		logging.Decision(r.logger, d)
	}
}

func (r *Recorder) keep(d api.Decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, known := r.bySubject[d.Subject]
	if !known {
		r.admit(d.Subject)
	}
	if len(kept) > 0 && same(kept[len(kept)-1], d) {
		return false
	}
	if len(kept) >= maxPerSubject {
		kept = append(kept[:maxPerSubject/2:maxPerSubject/2], kept[maxPerSubject/2+1:]...)
	}
	r.bySubject[d.Subject] = append(kept, d)
	return true
}

// admit makes room for one more subject. The caller holds mu.
func (r *Recorder) admit(subject string) {
	if len(r.order) < r.capacity {
		r.order = append(r.order, subject)
		return
	}
	delete(r.bySubject, r.order[r.next])
	r.order[r.next] = subject
	r.next = (r.next + 1) % r.capacity
}

func same(a, b api.Decision) bool {
	return a.Step == b.Step && a.Choice == b.Choice && a.Reason == b.Reason
}

// Explain returns the kept decisions on a subject, in order.
func (r *Recorder) Explain(subject string) []api.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]api.Decision(nil), r.bySubject[subject]...)
}

package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobs"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// Limits on the fields that callers send.
const (
	maxNameBytes       = 64
	maxKeyBytes        = 256
	maxDeclaredRunTime = 90 * 24 * time.Hour
	maxJobWait         = time.Minute
	maxListLimit       = 1000
	defaultListLimit   = 100
)

func (s *Server) postRequest(w http.ResponseWriter, r *http.Request) {
	id := request.NewID()
	var submission api.RequestSubmission
	release, err := s.admitRequest(w, r, &submission)
	defer release()
	if err != nil {
		s.writeRequest(w, request.Refusal(id, "", err))
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), settings.Milliseconds(submission.DeadlineMS))
	defer cancel()
	s.writeRequest(w, s.opts.Requests.Execute(ctx, id, submission))
}

// admitRequest checks whether the instance can accept a request, and decodes and
// validates its body, which the caller releases.
func (s *Server) admitRequest(w http.ResponseWriter, r *http.Request, submission *api.RequestSubmission) (release func(), err error) {
	if err := s.opts.Ready(); err != nil {
		return func() {}, err
	}
	if s.inFlight.Load() >= int64(s.opts.Settings.Limits.MaxRequests) {
		return func() {}, api.NewError(api.KindQueueFull, "%d requests are under way in this instance", s.inFlight.Load())
	}
	release, err = s.decode(w, r, submission, 1)
	if err != nil {
		return release, err
	}
	return release, s.validateRequest(submission)
}

// validateRequest checks the fields and sets the default deadline if there is none.
func (s *Server) validateRequest(submission *api.RequestSubmission) error {
	if err := validateNames(submission.Account, submission.Kind, submission.IdempotencyKey); err != nil {
		return err
	}
	timing := s.opts.Settings.Timing
	if submission.DeadlineMS < 0 {
		return api.NewError(api.KindPastDeadline, "deadline_ms is negative")
	}
	if submission.DeadlineMS > timing.MaxDeadlineMS {
		return api.NewError(api.KindInvalidField, "deadline_ms exceeds %d", timing.MaxDeadlineMS)
	}
	if submission.DeadlineMS == 0 {
		submission.DeadlineMS = timing.DefaultDeadlineMS
	}
	return nil
}

func validateNames(account, kind, key string) error {
	switch {
	case account == "" || len(account) > maxNameBytes:
		return api.NewError(api.KindInvalidField, "account must have 1 to %d bytes", maxNameBytes)
	case kind == "" || len(kind) > maxNameBytes:
		return api.NewError(api.KindInvalidField, "kind must have 1 to %d bytes", maxNameBytes)
	case len(key) > maxKeyBytes:
		return api.NewError(api.KindInvalidField, "idempotency_key exceeds %d bytes", maxKeyBytes)
	}
	return nil
}

func (s *Server) writeRequest(w http.ResponseWriter, answer api.RequestAnswer) {
	s.countAnswer("request", answer.Outcome, answer.ErrorKind)
	w.Header().Set(api.HeaderRequestID, answer.ID)
	setRetryAfter(w, answer.RetryAfterS)
	writeJSON(w, statusOf(answer.Outcome, answer.ErrorKind), answer)
}

func (s *Server) countAnswer(work string, outcome api.Outcome, kind api.Kind) {
	name := `corianderbank_answers_total{work="` + work + `",outcome="` + string(outcome) + `",error_kind="` + string(kind) + `"}`
	s.answers.GetOrCreateCounter(name).Inc()
}

func (s *Server) postJob(w http.ResponseWriter, r *http.Request) {
	var job api.JobSubmission
	release, err := s.admitJob(w, r, &job)
	defer release()
	if err != nil {
		s.writeJob(w, jobs.RefusalAnswer(api.JobAnswer{ID: request.NewID()}, err))
		return
	}
	answer, err := s.opts.Jobs.Submit(r.Context(), job)
	if err != nil {
		answer = jobs.RefusalAnswer(answer, err)
	}
	s.writeJob(w, answer)
}

// admitJob checks whether the instance can accept a job, and decodes and validates
// its body, which the caller releases. An accepted job stays in memory.
func (s *Server) admitJob(w http.ResponseWriter, r *http.Request, job *api.JobSubmission) (release func(), err error) {
	if err := s.opts.Ready(); err != nil {
		return func() {}, err
	}
	if release, err = s.decode(w, r, job, 1); err != nil {
		return release, err
	}
	if err := validateJob(job, time.Now()); err != nil {
		return release, err
	}
	if err := s.heap.Admit(int64(len(job.Payload))); err != nil {
		return release, api.NewError(api.KindOverloaded, "%w", err)
	}
	return release, nil
}

func validateJob(job *api.JobSubmission, now time.Time) error {
	if err := validateNames(job.Account, job.Kind, job.IdempotencyKey); err != nil {
		return err
	}
	shape := job.Shape
	switch {
	case shape.Tasks < 1 || shape.Tasks > api.MaxGangTasks:
		return api.NewError(api.KindInvalidShape, "tasks must be 1 to %d", api.MaxGangTasks)
	case shape.AcceleratorsPerTask < 1 || shape.AcceleratorsPerTask > api.MaxAcceleratorsPerTask:
		return api.NewError(api.KindInvalidShape, "accelerators_per_task must be 1 to %d", api.MaxAcceleratorsPerTask)
	case job.DeclaredRunS <= 0 || job.DeclaredRunS > maxDeclaredRunTime.Seconds():
		return api.NewError(api.KindInvalidField, "declared_run_s must be above 0 and at most %.0f", maxDeclaredRunTime.Seconds())
	case job.Deadline != nil && !job.Deadline.After(now):
		return api.NewError(api.KindPastDeadline, "the deadline %s has passed", job.Deadline.UTC().Format(time.RFC3339))
	}
	return nil
}

func (s *Server) writeJob(w http.ResponseWriter, answer api.JobAnswer) {
	s.countAnswer("job", answer.Outcome, answer.ErrorKind)
	setRetryAfter(w, answer.RetryAfterS)
	writeJSON(w, statusOf(answer.Outcome, answer.ErrorKind), answer)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := s.awaitJob(r.Context(), r.PathValue("id"), wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// maxWaitSlice bounds how long a waiting reader can delay a shutdown.
const maxWaitSlice = 2 * time.Second

// awaitJob waits until the job ends, in slices of at most maxWaitSlice. If the
// instance shuts down meanwhile, it returns the job's current state, and the
// caller can ask another instance.
func (s *Server) awaitJob(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	waitEnds := time.Now().Add(wait)
	for {
		remaining := max(0, time.Until(waitEnds))
		answer, err := s.opts.Jobs.Get(ctx, id, min(remaining, maxWaitSlice))
		if err != nil || answer.Outcome != api.OutcomeAccepted {
			return answer, err
		}
		waitOver := ctx.Err() != nil || !time.Now().Before(waitEnds)
		if waitOver || api.IsKind(s.opts.Ready(), api.KindStopping) {
			return answer, nil
		}
	}
}

func parseWait(r *http.Request) (time.Duration, error) {
	value := r.URL.Query().Get("wait_ms")
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxJobWait.Milliseconds() {
		return 0, api.NewError(api.KindInvalidField, "wait_ms must be 0 to %d", maxJobWait.Milliseconds())
	}
	return settings.Milliseconds(ms), nil
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	answer, err := s.opts.Jobs.Cancel(r.Context(), r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	limit := defaultListLimit
	if value := r.URL.Query().Get("limit"); value != "" {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < 1 || parsed > maxListLimit {
			writeError(w, api.NewError(api.KindInvalidField, "limit must be 1 to %d", maxListLimit))
			return
		}
		limit = parsed
	}
	answers, err := s.opts.Jobs.List(r.Context(), r.URL.Query().Get("account"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.JobList{Jobs: answers})
}

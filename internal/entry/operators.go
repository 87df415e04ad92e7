package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
)

// configDocumentName is the document name in the problems of a refused
// configuration.
const configDocumentName = "configuration"

// configCopies is what a configuration takes while it is checked, with the position of each value and
// its problems, as a multiple of its size.
const configCopies = 16

func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request) {
	var apply api.ConfigApply
	release, err := s.decode(w, r, &apply, configCopies)
	defer release()
	if err != nil {
		writeOperatorError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	select {
	case s.publishing <- struct{}{}:
		defer func() { <-s.publishing }()
	case <-ctx.Done():
		writeOperatorError(w, api.NewError(api.KindOverloaded, "other configurations are being published"))
		return
	}
	version, err := s.opts.Config.Publish(ctx, apply.Expect, configDocumentName, apply.Document)
	if err != nil {
		writeOperatorError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, version)
}

func writeOperatorError(w http.ResponseWriter, err error) {
	setRetryAfter(w, api.RetryAfterS(err))
	writeJSON(w, api.AnswerFor(api.KindOf(err)).Status, api.OperatorError{
		ErrorBody: api.BodyOf(err), Problems: config.Problems(err), Version: config.ConflictingVersion(err),
	})
}

func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request) {
	number, digest, document := s.opts.Config.CurrentDocument()
	if number == 0 {
		writeError(w, api.NewError(api.KindNotFound, "no configuration has been accepted yet"))
		return
	}
	writeJSON(w, http.StatusOK, api.ConfigVersion{Version: number, Digest: digest, Document: document})
}

func (s *Server) configHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	history, err := s.opts.Config.History(ctx)
	if err != nil {
		writeOperatorError(w, err)
		return
	}
	slices.Reverse(history)
	writeJSON(w, http.StatusOK, api.ConfigHistory{Versions: history})
}

// configStatus reports the configuration version in force on each instance.
func (s *Server) configStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	number, _, _ := s.opts.Config.CurrentDocument()
	status := api.ConfigStatus{Head: number, Everywhere: true, Instances: s.opts.Fleet.Status(ctx).Instances}
	for _, instance := range status.Instances {
		status.Head = max(status.Head, instance.ConfigVersion)
	}
	for _, instance := range status.Instances {
		status.Everywhere = status.Everywhere && instance.ConfigVersion == status.Head
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, s.opts.Fleet.Status(ctx))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	explanation := s.opts.Fleet.Explain(ctx, r.PathValue("id"))
	if len(explanation.Decisions) == 0 {
		writeError(w, api.NewError(api.KindNotFound, "no instance that answers remembers %q", explanation.ID))
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

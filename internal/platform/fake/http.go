package fake

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// Handler serves the platform's protocol over the fake, for contract tests. A
// lost answer drops the connection.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tables/commit", p.serveCommit)
	mux.HandleFunc("POST /v1/tables/read", p.serveRead)
	mux.HandleFunc("POST /v1/tables/scan", p.serveScan)
	mux.HandleFunc("PUT /v1/objects/{name}", p.servePut)
	mux.HandleFunc("GET /v1/objects/{name}", p.serveGet)
	mux.HandleFunc("GET /v1/instances", p.serveList)
	return mux
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx api.Tx
	if !decode(w, r, &tx) {
		return
	}
	result := p.Commit(r.Context(), platform.PurposeOther, tx)
	switch {
	case result.State == platform.CommitUnknown:
		panic(http.ErrAbortHandler)
	case result.Err != nil:
		answerError(w, result.Err)
	default:
		done := result.State == platform.CommitDone
		answer(w, api.TxAnswer{Done: done, Conflicts: result.Conflicts, Now: result.Now})
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var query api.ReadQuery
	if decode(w, r, &query) {
		rows, err := p.Read(r.Context(), platform.PurposeOther, query.Refs...)
		answerOr(w, rows, err)
	}
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var query api.ScanQuery
	if decode(w, r, &query) {
		rows, err := p.Scan(r.Context(), platform.PurposeOther, query)
		answerOr(w, rows, err)
	}
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = p.Put(r.Context(), r.PathValue("name"), data)
	}
	answerOr(w, struct{}{}, err)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		answerError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	answerOr(w, list, err)
}

func decode(w http.ResponseWriter, r *http.Request, query any) bool {
	if err := json.NewDecoder(r.Body).Decode(query); err != nil {
		answerError(w, api.NewError(api.KindMalformedBody, "%w", err))
		return false
	}
	return true
}

func answerOr(w http.ResponseWriter, body any, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, body)
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func answerError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(api.AnswerFor(api.KindOf(err)).Status)
	_ = json.NewEncoder(w).Encode(api.BodyOf(err))
}

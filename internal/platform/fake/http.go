package fake

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
)

// Handler returns a handler that serves the platform's HTTP protocol, for
// contract tests. It closes the connection of a commit whose result is unknown.
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
	if !readJSON(w, r, &tx) {
		return
	}
	result := p.Commit(r.Context(), platform.PurposeOther, tx)
	switch {
	case result.State == platform.CommitUnknown:
		panic(http.ErrAbortHandler)
	case result.Err != nil:
		writeError(w, result.Err)
	default:
		done := result.State == platform.CommitDone
		writeJSON(w, api.TxAnswer{Done: done, Conflicts: result.Conflicts, Now: result.Now})
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var query api.ReadQuery
	if readJSON(w, r, &query) {
		rows, err := p.Read(r.Context(), platform.PurposeOther, query.Refs...)
		writeResult(w, rows, err)
	}
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var query api.ScanQuery
	if readJSON(w, r, &query) {
		rows, err := p.Scan(r.Context(), platform.PurposeOther, query)
		writeResult(w, rows, err)
	}
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = p.Put(r.Context(), r.PathValue("name"), data)
	}
	writeResult(w, struct{}{}, err)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	writeResult(w, list, err)
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		writeError(w, api.NewError(api.KindMalformedBody, "%w", err))
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(api.AnswerFor(api.KindOf(err)).Status)
	_ = json.NewEncoder(w).Encode(api.BodyOf(err))
}

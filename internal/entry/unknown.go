package entry

import (
	"net/http"
	"strings"

	"github.com/corianderbank/corianderbank/api"
)

// catchAllPattern matches the paths that no resource serves.
const catchAllPattern = "/"

// supportedMethods are the methods that at least one resource supports.
var supportedMethods = []string{http.MethodGet, http.MethodPost, http.MethodDelete}

// unknownResource handles calls that no other pattern of mux matches: a path
// that supports other methods gets KindMethodNotAllowed and the Allow header,
// any other path KindNotFound.
func unknownResource(mux *http.ServeMux) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		allowed := allowedMethods(mux, r)
		if len(allowed) == 0 {
			writeError(w, api.NewError(api.KindNotFound, "no resource %s", r.URL.Path))
			return
		}
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		writeError(w, api.NewError(api.KindMethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method))
	}
}

// allowedMethods returns the methods that the path of r supports.
func allowedMethods(mux *http.ServeMux, r *http.Request) []string {
	var allowed []string
	for _, method := range supportedMethods {
		probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := mux.Handler(probe); pattern != catchAllPattern && pattern != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

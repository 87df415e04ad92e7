package entry

import (
	"net/http"
	"strings"

	"github.com/corianderbank/corianderbank/api"
)

// anyPath is the pattern of what no resource answers.
const anyPath = "/"

// methods are those that some resource takes.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodDelete}

// unknownResource answers calls that no other pattern of mux matches: a path
// that takes other methods gets KindMethodNotAllowed and the header Allow, any
// other KindNotFound.
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

// allowedMethods returns the methods that the path of r takes.
func allowedMethods(mux *http.ServeMux, r *http.Request) []string {
	var allowed []string
	for _, method := range methods {
		other := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := mux.Handler(other); pattern != anyPath && pattern != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := NewClient(1, func(string, int64, bool) {})
	_, err := client.Execute(t.Context(), model.BackendServer{ID: "b", Addr: strings.TrimPrefix(server.URL, "http://")}, api.Execute{ID: "r"})
	assert.Assert(t, api.IsKind(err, api.KindAnswerNotWhole), "%v", err)
	assert.Equal(t, calls.Load(), int32(1))
}

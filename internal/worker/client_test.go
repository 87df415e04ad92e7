package worker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

// TestErrorKindShowsWhetherTheCallMayHaveRun calls workers that refuse, fail,
// redirect or abort the connection.
func TestErrorKindShowsWhetherTheCallMayHaveRun(t *testing.T) {
	refuseWith := func(kind api.Kind) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(api.AnswerFor(kind).Status)
			_ = json.NewEncoder(w).Encode(api.ErrorBody{Kind: kind, Message: "refused"})
		}
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		kind    api.Kind
	}{
		"the worker refuses the epoch":      {refuseWith(api.KindStaleEpoch), api.KindStaleEpoch},
		"the worker has no free capacity":   {refuseWith(api.KindNoCapacity), api.KindNoCapacity},
		"the gang is unknown to the worker": {refuseWith(api.KindNotFound), api.KindNotFound},
		"the worker returns no error kind":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, api.KindResultUnknown},
		"the worker aborts the connection":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, api.KindResultUnknown},
		"the worker redirects the call": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, api.KindResultUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.handler(w, r)
			}))
			defer server.Close()
			err := NewHTTP().Start(context.Background(), server.Listener.Addr().String(), api.Start{})
			assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

func TestRefusedConnectionIsNotReady(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	err = NewHTTP().Reserve(context.Background(), addr, api.Reserve{})
	assert.Assert(t, api.IsKind(err, api.KindNotReady), "%v", err)
}

func TestLateAnswerIsResultUnknown(t *testing.T) {
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer server.Close()
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewHTTP().Renew(ctx, server.Listener.Addr().String(), api.Renew{})
	assert.Assert(t, api.IsKind(err, api.KindResultUnknown), "%v", err)
}

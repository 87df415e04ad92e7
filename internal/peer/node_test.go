package peer_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handlerFunc adapts a function to peer.Handler.
type handlerFunc func(context.Context, *peerpb.Request) (*peerpb.Response, error)

func (f handlerFunc) Handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	return f(ctx, request)
}

// echo responds to a configuration query with the version in the query.
func echo(_ context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	version := &peerpb.ConfigVersion{Version: request.GetConfig().GetHave()}
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: version}}, nil
}

func configQuery(have int64) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_Config{Config: &peerpb.ConfigQuery{Have: have}}}
}

// addressBook maps the instances of a test to their peer addresses.
type addressBook map[string]string

func (b addressBook) resolve(instance string) (string, bool) {
	addr, ok := b[instance]
	return addr, ok
}

// startNode starts a node on a free port and adds it to the address book.
func startNode(t *testing.T, addresses addressBook, options peer.Options) *peer.Node {
	t.Helper()
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Handler == nil {
		options.Handler = handlerFunc(echo)
	}
	options.Resolve = addresses.resolve
	node := peer.New(options)
	assert.NilError(t, node.Start())
	t.Cleanup(node.Close)
	addresses[options.Instance] = node.Addr()
	return node
}

func TestBothPeersCallOverOneConnection(t *testing.T) {
	var connections atomic.Int64
	addresses := addressBook{}
	options := peer.Options{WrapConn: countConnections(&connections)}
	options.Instance, options.Incarnation = "a", 1
	a := startNode(t, addresses, options)
	b := startNode(t, addresses, peer.Options{Instance: "b", Incarnation: 1})

	for have := range int64(20) {
		caller, target := a, "b"
		if have%2 == 1 {
			caller, target = b, "a"
		}
		response, err := caller.Call(t.Context(), target, configQuery(have))
		assert.NilError(t, err)
		assert.Equal(t, response.GetConfig().GetVersion(), have)
	}
	assert.Equal(t, connections.Load(), int64(1))
}

func TestRemoteErrorsKeepTheirKind(t *testing.T) {
	kinds := []api.Kind{api.KindConflict, api.KindNotFound, api.KindNoPlacer, api.KindStopping, api.KindNotReady}
	addresses := addressBook{}
	handler := func(_ context.Context, request *peerpb.Request) (*peerpb.Response, error) {
		err := api.NewError(kinds[request.GetConfig().GetHave()], "because")
		return nil, api.WithRetryAfter(err, 7*time.Second)
	}
	a := startNode(t, addresses, peer.Options{Instance: "a"})
	startNode(t, addresses, peer.Options{Instance: "b", Handler: handlerFunc(handler)})
	for i, kind := range kinds {
		_, err := a.Call(t.Context(), "b", configQuery(int64(i)))
		assert.Equal(t, api.KindOf(err), kind)
		assert.Equal(t, api.RetryAfterS(err), 7.0)
		assert.Assert(t, strings.Contains(err.Error(), "because"))
	}
}

func TestCallErrorsShowWhetherTheRequestWasSent(t *testing.T) {
	cases := map[string]struct {
		// target is the id of the called instance.
		target  string
		handler handlerFunc
		request *peerpb.Request
		timeout time.Duration
		kind    api.Kind
	}{
		"instance without an address is not reached":                 {"nobody", echo, configQuery(1), time.Second, api.KindNotReady},
		"closed port is not reached":                                 {"closed", echo, configQuery(1), time.Second, api.KindNotReady},
		"other instance at the address is not called":                {"alias", echo, configQuery(1), time.Second, api.KindNotReady},
		"handler slower than the deadline may have run":              {"b", stall, configQuery(1), 50 * time.Millisecond, api.KindResultUnknown},
		"panicking handler causes an internal error":                 {"b", panicking, configQuery(1), time.Second, api.KindInternal},
		"request beyond the size limit is refused before it is sent": {"b", echo, oversizedRequest(), time.Second, api.KindBodyTooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			addresses := addressBook{"closed": "127.0.0.1:1"}
			a := startNode(t, addresses, peer.Options{Instance: "a", Limits: peer.Limits{MaxMessageBytes: 1 << 10}})
			startNode(t, addresses, peer.Options{Instance: "b", Handler: test.handler})
			addresses["alias"] = addresses["b"]
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			_, err := a.Call(ctx, test.target, test.request)
			assert.Equal(t, api.KindOf(err), test.kind, "%v", err)
		})
	}
}

func stall(ctx context.Context, _ *peerpb.Request) (*peerpb.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func panicking(context.Context, *peerpb.Request) (*peerpb.Response, error) { panic("planted") }

func oversizedRequest() *peerpb.Request {
	submission := make([]byte, 2<<10)
	return &peerpb.Request{Body: &peerpb.Request_Execute{Execute: &peerpb.ExecuteCall{Submission: submission}}}
}

func TestResultIsUnknownWhenThePeerCloses(t *testing.T) {
	addresses := addressBook{}
	entered := make(chan struct{})
	handler := func(ctx context.Context, _ *peerpb.Request) (*peerpb.Response, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := startNode(t, addresses, peer.Options{Instance: "a"})
	b := startNode(t, addresses, peer.Options{Instance: "b", Handler: handlerFunc(handler)})
	go func() {
		<-entered
		b.Close()
	}()
	_, err := a.Call(t.Context(), "b", configQuery(1))
	assert.Equal(t, api.KindOf(err), api.KindResultUnknown, "%v", err)
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	addresses := addressBook{}
	a := startNode(t, addresses, peer.Options{Instance: "a", Incarnation: 1})
	previous := startNode(t, addresses, peer.Options{Instance: "b", Incarnation: 1})
	_, err := a.Call(t.Context(), "b", configQuery(1))
	assert.NilError(t, err)
	previous.Close()
	startNode(t, addresses, peer.Options{Instance: "b", Incarnation: 2})
	callUntilAnswered(t, a, "b")
}

func contextWithin(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), d)
}

// callUntilAnswered retries a call until it succeeds, which may take as long as
// the backoff after a lost connection.
func callUntilAnswered(t *testing.T, node *peer.Node, target string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		_, err := node.Call(ctx, target, configQuery(2))
		if err == nil {
			return
		}
		assert.NilError(t, ctx.Err(), "last error: %v", err)
		time.Sleep(5 * time.Millisecond)
	}
}

func TestExcessWorkIsRefusedWhileControlCallsPass(t *testing.T) {
	addresses := addressBook{}
	handler := func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
		if request.GetExecute() == nil {
			return echo(ctx, request)
		}
		return stall(ctx, request)
	}
	a := startNode(t, addresses, peer.Options{Instance: "a"})
	limits := peer.Limits{MaxWork: 1}
	startNode(t, addresses, peer.Options{Instance: "b", Handler: handlerFunc(handler), Limits: limits})
	work := &peerpb.Request{Body: &peerpb.Request_Execute{Execute: &peerpb.ExecuteCall{}}}
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := a.Call(ctx, "b", work)
			results <- err
		}()
	}
	// One call runs, one waits in the queue of the pool, and the third is
	// refused.
	assert.Equal(t, api.KindOf(<-results), api.KindQueueFull)
	_, err := a.Call(t.Context(), "b", configQuery(3))
	assert.NilError(t, err)
	cancel()
	for range 2 {
		assert.Equal(t, api.KindOf(<-results), api.KindResultUnknown)
	}
}

func TestDrainWaitsForForwardedWork(t *testing.T) {
	addresses := addressBook{}
	entered, release := make(chan struct{}), make(chan struct{})
	handler := func(context.Context, *peerpb.Request) (*peerpb.Response, error) {
		close(entered)
		<-release
		return &peerpb.Response{Body: &peerpb.Response_Execute{Execute: &peerpb.ExecuteReply{}}}, nil
	}
	a := startNode(t, addresses, peer.Options{Instance: "a"})
	b := startNode(t, addresses, peer.Options{Instance: "b", Handler: handlerFunc(handler)})
	called := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), "b", &peerpb.Request{Body: &peerpb.Request_Execute{Execute: &peerpb.ExecuteCall{}}})
		called <- err
	}()
	<-entered
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, b.Drain(cancelled), "1 calls of peers in flight")
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(t.Context()) }()
	close(release)
	assert.NilError(t, <-drained)
	assert.NilError(t, <-called)
}

package invariants

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/backend"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/entry"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/request"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// misanswer is one way in which a backend server answers wrongly. It runs the
// work in any case.
type misanswer string

const (
	answersWell     misanswer = "well"
	answersLate     misanswer = "late"
	answersSwapped  misanswer = "with the answer to another request"
	answersBodyID   misanswer = "with another id in the body"
	answersHeaderID misanswer = "with another id in the header"
	answersHalf     misanswer = "with half a body of the right length"
	answersCut      misanswer = "with a body cut off"
	answersTwice    misanswer = "with its body doubled"
	answersNothing  misanswer = "with a closed connection"
	answersEmpty    misanswer = "with an empty body"
)

// wholeCases name what the backend servers of a run do besides answering well.
var wholeCases = map[string][]misanswer{
	"every answer is right":       nil,
	"answers are late":            {answersLate},
	"answers are swapped":         {answersSwapped},
	"ids are wrong":               {answersBodyID, answersHeaderID},
	"answers are truncated":       {answersHalf, answersCut, answersEmpty},
	"answers are doubled":         {answersTwice},
	"connections are closed":      {answersNothing},
	"everything, again and again": {answersLate, answersSwapped, answersBodyID, answersHeaderID, answersHalf, answersCut, answersTwice, answersNothing, answersEmpty},
}

const (
	wholeCallers  = 16
	wholeRequests = 12 // by each caller
	wholeServers  = 4
)

// TestCallerGetsItsOwnWholeAnswer has callers send requests through a real entry
// server to backend servers that answer wrongly, over real connections.
func TestCallerGetsItsOwnWholeAnswer(t *testing.T) {
	for name, wrong := range wholeCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, done := playWholeAnswers(t, wrong, nil)
			assert.Assert(t, len(broken) == 0, "%s", strings.Join(broken, "\n"))
			assert.Assert(t, done > 0, "no request was answered at all")
		})
	}
}

// TestWholeAnswerCheckCatchesPlantedFaults shows that a product that trusts
// whatever a backend server answers is seen.
func TestWholeAnswerCheckCatchesPlantedFaults(t *testing.T) {
	broken, _ := playWholeAnswers(t, []misanswer{answersSwapped}, trustingClient{})
	assert.Assert(t, len(broken) > 0)
}

// trustingClient is a planted fault: it takes any answer for the right one.
type trustingClient struct{}

func (trustingClient) Execute(ctx context.Context, server model.BackendServer, call api.Execute) (api.ExecuteAnswer, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return api.ExecuteAnswer{}, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Addr+"/v1/execute", bytes.NewReader(body))
	if err != nil {
		return api.ExecuteAnswer{}, err
	}
	response, err := http.DefaultClient.Do(post)
	if err != nil {
		return api.ExecuteAnswer{}, api.NewError(api.KindResultUnknown, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer api.ExecuteAnswer
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// wrongServers are backend servers that misbehave, and their common record.
type wrongServers struct {
	wrong []misanswer

	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int // by the token in the payload
	last   api.ExecuteAnswer
}

// token is the payload of a request, and of the answer to it.
type token struct {
	Token string `json:"token"`
}

func (s *wrongServers) choose() misanswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.wrong) == 0 || s.random.IntN(2) == 0 {
		return answersWell
	}
	return s.wrong[s.random.IntN(len(s.wrong))]
}

// run records the work and returns its answer, and the answer before it.
func (s *wrongServers) run(call api.Execute) (own, other api.ExecuteAnswer) {
	var asked token
	_ = json.Unmarshal(call.Payload, &asked)
	own = api.ExecuteAnswer{ID: call.ID, Payload: call.Payload}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[asked.Token]++
	other, s.last = s.last, own
	return own, other
}

func (s *wrongServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call api.Execute
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		http.Error(w, "not a call", http.StatusBadRequest)
		return
	}
	own, other := s.run(call)
	header, how := call.ID, s.choose()
	switch how {
	case answersLate:
		time.Sleep(30 * time.Millisecond)
	case answersSwapped:
		if other.ID != "" {
			own, header = other, other.ID
		}
	case answersBodyID:
		own.ID = "r-other"
	case answersHeaderID:
		header = "r-other"
	}
	body, err := json.Marshal(own)
	if err != nil {
		panic(err)
	}
	w.Header().Set(api.HeaderRequestID, header)
	s.write(w, how, body)
}

func (s *wrongServers) write(w http.ResponseWriter, how misanswer, body []byte) {
	switch how {
	case answersHalf:
		body = body[:len(body)/2]
	case answersTwice:
		body = append(body, body...)
	case answersEmpty:
		body = nil
	case answersCut:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case answersNothing:
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// wholeFleet is one instance with its backend servers.
type wholeFleet struct{ servers []model.BackendServer }

func (f wholeFleet) Instances() []model.Instance                  { return nil }
func (f wholeFleet) BackendServers(string) []model.BackendServer  { return f.servers }
func (f wholeFleet) Workers(string) []model.Worker                { return nil }
func (f wholeFleet) ZoneMembers(string) []string                  { return []string{"entry-0"} }
func (f wholeFleet) PeerStates() map[string]membership.HeardState { return nil }

// playWholeAnswers returns every broken promise and the number of done answers.
func playWholeAnswers(t *testing.T, wrong []misanswer, client request.Backend) (broken []string, done int) {
	t.Helper()
	servers := &wrongServers{wrong: wrong, random: rand.New(rand.NewPCG(1, 1)), runs: make(map[string]int)}
	var fleet wholeFleet
	for i := range wholeServers {
		server := httptest.NewServer(servers)
		t.Cleanup(server.Close)
		fleet.servers = append(fleet.servers, model.BackendServer{
			ID: fmt.Sprintf("b-%d", i), Addr: server.Listener.Addr().String(), Zone: zoneOne, Incarnation: 1, Slots: 8, State: model.BackendReady,
		})
	}
	if client == nil {
		client = backend.NewClient(8, func(string, int64, bool) {})
	}
	address := serveWhole(t, fleet, client)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for caller := range wholeCallers {
		callers.Go(func() {
			for i := range wholeRequests {
				fault, isDone := askWhole(address, fmt.Sprintf("t-%d-%d", caller, i), i%2 == 0, servers)
				mu.Lock()
				if fault != "" {
					broken = append(broken, fault)
				}
				if isDone {
					done++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return broken, done
}

// serveWhole runs a real entry server with its dispatcher and executor.
func serveWhole(t *testing.T, fleet wholeFleet, client request.Backend) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	recorder := decision.NewRecorder(zap.NewNop(), "entry-0", 16)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: zoneOne, Instance: "entry-0", Incarnation: 1, Fleet: fleet, Config: fixedConfig{},
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: 1,
	})
	duties.Go(func() { dispatcher.Run(ctx) })
	executor := &request.Executor{
		Zone: zoneOne, Instance: "entry-0", Config: fixedConfig{}, Fleet: fleet, Dispatcher: dispatcher, Backend: client,
		Recorder: recorder, MaxAttempts: 100, PlatformReachable: func() bool { return true },
	}
	limits := settings.Default()
	store := fake.New()
	server := entry.New(entry.Options{
		Settings: &limits, Requests: executor, Logger: zap.NewNop(), Ready: func() error { return nil },
		Config: config.NewManager(config.Options{Tables: store, Objects: store}),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	duties.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		cancel()
		duties.Wait()
	})
	return listener.Addr().String()
}

// askWhole sends one request and judges its answer.
func askWhole(address, name string, idempotent bool, servers *wrongServers) (fault string, done bool) {
	payload := json.RawMessage(fmt.Sprintf(`{"token":%q}`, name))
	body, err := json.Marshal(api.RequestSubmission{Account: "a", Kind: "check", Idempotent: idempotent, Payload: payload})
	if err != nil {
		return err.Error(), false
	}
	response, err := http.Post("http://"+address+"/v1/requests", "application/json", bytes.NewReader(body))
	if err != nil {
		return name + ": no answer: " + err.Error(), false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return name + ": answer not whole: " + err.Error(), false
	}
	var answer api.RequestAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Sprintf("%s: answer not whole: %q", name, data), false
	}
	return judgeWhole(name, idempotent, answer, servers), answer.Outcome == api.OutcomeDone
}

func judgeWhole(name string, idempotent bool, answer api.RequestAnswer, servers *wrongServers) string {
	servers.mu.Lock()
	runs := servers.runs[name]
	servers.mu.Unlock()
	var got token
	_ = json.Unmarshal(answer.Payload, &got)
	switch {
	case answer.Outcome == api.OutcomeDone && got.Token != name:
		return fmt.Sprintf("%s got the answer of %s", name, got.Token)
	case answer.Outcome == api.OutcomeNotRun && runs > 0:
		return fmt.Sprintf("%s was told not_run and ran %d times", name, runs)
	case !idempotent && runs > 1:
		return fmt.Sprintf("%s is not idempotent and ran %d times", name, runs)
	case answer.Outcome != api.OutcomeDone && answer.ErrorKind == "":
		return name + " was refused without a kind"
	}
	return ""
}

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

// answerFault is a way in which a backend server answers incorrectly. The
// server runs the work in any case.
type answerFault string

const (
	answersCorrectly answerFault = "well"
	answersLate      answerFault = "late"
	answersSwapped   answerFault = "with the answer to another request"
	answersBodyID    answerFault = "with another id in the body"
	answersHeaderID  answerFault = "with another id in the header"
	answersHalfBody  answerFault = "with half a body of the right length"
	answersTruncated answerFault = "with a truncated body"
	answersDoubled   answerFault = "with its body doubled"
	answersClosed    answerFault = "with a closed connection"
	answersEmpty     answerFault = "with an empty body"
)

// wholeAnswerCases lists the faults that backend servers inject into some of
// their answers.
var wholeAnswerCases = map[string][]answerFault{
	"every answer is right":   nil,
	"answers are late":        {answersLate},
	"answers are swapped":     {answersSwapped},
	"ids are wrong":           {answersBodyID, answersHeaderID},
	"answers are truncated":   {answersHalfBody, answersTruncated, answersEmpty},
	"answers are doubled":     {answersDoubled},
	"connections are closed":  {answersClosed},
	"every fault, repeatedly": {answersLate, answersSwapped, answersBodyID, answersHeaderID, answersHalfBody, answersTruncated, answersDoubled, answersClosed, answersEmpty},
}

const (
	wholeAnswerCallers  = 16
	wholeAnswerRequests = 12 // per caller
	wholeAnswerServers  = 4
)

// TestCallerGetsItsOwnWholeAnswer sends requests through a real entry server to
// backend servers that answer incorrectly, over real connections.
func TestCallerGetsItsOwnWholeAnswer(t *testing.T) {
	for name, faults := range wholeAnswerCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violations, done := runWholeAnswers(t, faults, nil)
			assert.Assert(t, len(violations) == 0, "%s", strings.Join(violations, "\n"))
			assert.Assert(t, done > 0, "no request was answered at all")
		})
	}
}

// TestWholeAnswerCheckCatchesPlantedFaults verifies that the check above
// detects a client that trusts every answer of a backend server.
func TestWholeAnswerCheckCatchesPlantedFaults(t *testing.T) {
	violations, _ := runWholeAnswers(t, []answerFault{answersSwapped}, trustingClient{})
	assert.Assert(t, len(violations) > 0)
}

// trustingClient is a planted fault: it accepts any answer as the right one.
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

// faultyServers is the shared handler and record of the backend servers, which
// inject faults.
type faultyServers struct {
	faults []answerFault

	mu       sync.Mutex
	random   *rand.Rand
	runs     map[string]int // keyed by the token in the payload
	previous api.ExecuteAnswer
}

// token is the payload of a request and of its answer.
type token struct {
	Token string `json:"token"`
}

func (s *faultyServers) drawFault() answerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 || s.random.IntN(2) == 0 {
		return answersCorrectly
	}
	return s.faults[s.random.IntN(len(s.faults))]
}

// run records the work and returns its answer and the answer of the previous
// call.
func (s *faultyServers) run(call api.Execute) (own, previous api.ExecuteAnswer) {
	var requested token
	_ = json.Unmarshal(call.Payload, &requested)
	own = api.ExecuteAnswer{ID: call.ID, Payload: call.Payload}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[requested.Token]++
	previous, s.previous = s.previous, own
	return own, previous
}

func (s *faultyServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call api.Execute
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		http.Error(w, "not a call", http.StatusBadRequest)
		return
	}
	own, previous := s.run(call)
	header, fault := call.ID, s.drawFault()
	switch fault {
	case answersLate:
		time.Sleep(30 * time.Millisecond)
	case answersSwapped:
		if previous.ID != "" {
			own, header = previous, previous.ID
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
	s.write(w, fault, body)
}

func (s *faultyServers) write(w http.ResponseWriter, fault answerFault, body []byte) {
	switch fault {
	case answersHalfBody:
		body = body[:len(body)/2]
	case answersDoubled:
		body = append(body, body...)
	case answersEmpty:
		body = nil
	case answersTruncated:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case answersClosed:
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// singleInstanceFleet is the view of a single instance with its backend
// servers.
type singleInstanceFleet struct{ servers []model.BackendServer }

func (f singleInstanceFleet) Instances() []model.Instance                     { return nil }
func (f singleInstanceFleet) BackendServers(string) []model.BackendServer     { return f.servers }
func (f singleInstanceFleet) Workers(string) []model.Worker                   { return nil }
func (f singleInstanceFleet) ZoneMembers(string) []string                     { return []string{"entry-0"} }
func (f singleInstanceFleet) PeerStates() map[string]membership.ReceivedState { return nil }

// runWholeAnswers sends the requests of all callers, and returns every
// violation and the number of done answers.
func runWholeAnswers(t *testing.T, faults []answerFault, client request.Backend) (violations []string, done int) {
	t.Helper()
	servers := &faultyServers{faults: faults, random: rand.New(rand.NewPCG(1, 1)), runs: make(map[string]int)}
	var fleet singleInstanceFleet
	for i := range wholeAnswerServers {
		server := httptest.NewServer(servers)
		t.Cleanup(server.Close)
		fleet.servers = append(fleet.servers, model.BackendServer{
			ID: fmt.Sprintf("b-%d", i), Addr: server.Listener.Addr().String(), Zone: testZone, Incarnation: 1, Slots: 8, State: model.BackendReady,
		})
	}
	if client == nil {
		client = backend.NewClient(8, func(string, int64, bool) {})
	}
	address := startEntryServer(t, fleet, client)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for caller := range wholeAnswerCallers {
		callers.Go(func() {
			for i := range wholeAnswerRequests {
				violation, isDone := sendAndCheck(address, fmt.Sprintf("t-%d-%d", caller, i), i%2 == 0, servers)
				mu.Lock()
				if violation != "" {
					violations = append(violations, violation)
				}
				if isDone {
					done++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return violations, done
}

// startEntryServer runs a real entry server with its dispatcher and executor,
// and returns its address.
func startEntryServer(t *testing.T, fleet singleInstanceFleet, client request.Backend) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	recorder := decision.NewRecorder(zap.NewNop(), "entry-0", 16)
	dispatcher := request.NewDispatcher(request.DispatcherOptions{
		Zone: testZone, Instance: "entry-0", Incarnation: 1, Fleet: fleet, Config: fixedConfig{},
		Recorder: recorder, Logger: zap.NewNop(), MaxRequests: 1000, Seed: 1,
	})
	loops.Go(func() { dispatcher.Run(ctx) })
	executor := &request.Executor{
		Zone: testZone, Instance: "entry-0", Config: fixedConfig{}, Fleet: fleet, Dispatcher: dispatcher, Backend: client,
		Recorder: recorder, MaxConcurrentAttempts: 100, PlatformReachable: func() bool { return true },
	}
	defaults := settings.Default()
	store := fake.New()
	server := entry.New(entry.Options{
		Settings: &defaults, Requests: executor, Logger: zap.NewNop(), Ready: func() error { return nil },
		Config: config.NewManager(config.Options{Tables: store, Objects: store}),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	loops.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		cancel()
		loops.Wait()
	})
	return listener.Addr().String()
}

// sendAndCheck sends one request and checks its answer.
func sendAndCheck(address, name string, idempotent bool, servers *faultyServers) (violation string, done bool) {
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
		return name + ": answer not complete: " + err.Error(), false
	}
	var answer api.RequestAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Sprintf("%s: answer not complete: %q", name, data), false
	}
	return checkAnswer(name, idempotent, answer, servers), answer.Outcome == api.OutcomeDone
}

func checkAnswer(name string, idempotent bool, answer api.RequestAnswer, servers *faultyServers) string {
	servers.mu.Lock()
	runs := servers.runs[name]
	servers.mu.Unlock()
	var got token
	_ = json.Unmarshal(answer.Payload, &got)
	switch {
	case answer.Outcome == api.OutcomeDone && got.Token != name:
		return fmt.Sprintf("%s got the answer of %s", name, got.Token)
	case answer.Outcome == api.OutcomeNotRun && runs > 0:
		return fmt.Sprintf("%s was answered not_run but ran %d times", name, runs)
	case !idempotent && runs > 1:
		return fmt.Sprintf("%s is not idempotent and ran %d times", name, runs)
	case answer.Outcome != api.OutcomeDone && answer.ErrorKind == "":
		return name + " is not done and has no error kind"
	}
	return ""
}

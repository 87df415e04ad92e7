package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func call(t *testing.T, handler http.Handler, method, path string, body, result any) int {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(data)))
	if result != nil {
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), result), recorder.Body.String())
	}
	return recorder.Code
}

func op(key string, ifVersion int64) api.Op {
	return api.Op{Ref: api.Ref{Table: "t", Key: key}, IfVersion: ifVersion, Value: json.RawMessage(`1`)}
}

func TestCommitIsAtomicAndIdempotent(t *testing.T) {
	handler := NewPlatform(time.Minute).Handler()
	commit := func(tx api.Tx) (answer api.TxAnswer) {
		assert.Equal(t, call(t, handler, "POST", "/v1/tables/commit", tx, &answer), http.StatusOK)
		return answer
	}
	first := api.Tx{WriteID: "w1", Ops: []api.Op{op("a", 0), op("b", 0)}}
	assert.Assert(t, commit(first).Done)
	assert.Assert(t, commit(first).Done, "a repeated write id gets the same answer")
	refused := commit(api.Tx{WriteID: "w2", Ops: []api.Op{op("a", 0), op("c", 0)}})
	assert.Assert(t, !refused.Done)
	assert.Equal(t, refused.Conflicts[0].Key, "a")
	var rows api.Rows
	call(t, handler, "POST", "/v1/tables/scan", api.ScanQuery{Table: "t", Limit: 1}, &rows)
	assert.Assert(t, rows.More && len(rows.Rows) == 1 && rows.Rows[0].WriteID == "w1")
	call(t, handler, "POST", "/v1/tables/read", api.ReadQuery{Refs: []api.Ref{{Table: "t", Key: "c"}}}, &rows)
	assert.Equal(t, rows.Rows[0].Version, int64(0), "a refused transaction writes no rows")
}

func TestObjectsAreImmutable(t *testing.T) {
	handler := NewPlatform(time.Minute).Handler()
	assert.Equal(t, call(t, handler, "PUT", "/v1/objects/a/b", "x", nil), http.StatusNoContent)
	assert.Equal(t, call(t, handler, "PUT", "/v1/objects/a/b", "x", nil), http.StatusNoContent)
	assert.Equal(t, call(t, handler, "PUT", "/v1/objects/a/b", "y", nil), http.StatusConflict)
	assert.Equal(t, call(t, handler, "GET", "/v1/objects/a/c", nil, nil), http.StatusNotFound)
}

func TestCommitWithLostAnswerTakesEffect(t *testing.T) {
	platform := NewPlatform(time.Minute)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	platform.SetFaults(PlatformFaults{LoseAnswers: 1})
	body, err := json.Marshal(api.Tx{WriteID: "w", Ops: []api.Op{op("a", 0)}})
	assert.NilError(t, err)
	response, err := http.Post(server.URL+"/v1/tables/commit", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "the answer is lost")
	assert.Assert(t, platform.tables.commit(api.Tx{WriteID: "w", Ops: []api.Op{op("a", 0)}}).Done)
}

func TestInstanceListLagsAndTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newInstanceList(5*time.Second, time.Now)
		list.announce(api.ListedInstance{ID: "w", Role: api.RoleWorker, Incarnation: 2})
		assert.Equal(t, len(list.published(time.Second).Instances), 1)
		list.leave(LeaveRequest{ID: "w", Incarnation: 1})
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(list.published(time.Second).Instances), 1, "a leave of an earlier incarnation has no effect")
		list.leave(LeaveRequest{ID: "w", Incarnation: 2})
		assert.Equal(t, len(list.published(time.Second).Instances), 1, "the published list is delayed")
		list.announce(api.ListedInstance{ID: "v", Role: api.RoleWorker})
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(list.published(0).Instances), 0, "no instance announced within the TTL")
	})
}

func TestBackendAnswersUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults BackendFaults
		check  func(t *testing.T, answer api.ExecuteAnswer, header http.Header)
	}{
		"whole": {BackendFaults{}, func(t *testing.T, answer api.ExecuteAnswer, _ http.Header) {
			var result WorkResult
			assert.NilError(t, json.Unmarshal(answer.Payload, &result))
			assert.Equal(t, result.Key, "key-of-second")
			assert.Equal(t, answer.ID, "second")
		}},
		"swapped": {BackendFaults{SwapAnswers: -1}, func(t *testing.T, answer api.ExecuteAnswer, _ http.Header) {
			var result WorkResult
			assert.NilError(t, json.Unmarshal(answer.Payload, &result))
			assert.Equal(t, answer.ID, "first")
			assert.Equal(t, result.Key, "key-of-first", "the answer belongs to the first request")
		}},
		"failed": {BackendFaults{Fail: 2}, func(t *testing.T, answer api.ExecuteAnswer, _ http.Header) {
			assert.Assert(t, answer.Failed && !answer.NotRun)
		}},
		"leaving": {BackendFaults{Leave: true}, func(t *testing.T, _ api.ExecuteAnswer, header http.Header) {
			assert.Equal(t, header.Get(api.HeaderLeaving), "true")
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			backend := NewBackend("b", 1, 1, nil)
			backend.SetFaults(tc.faults)
			server := httptest.NewServer(backend.Handler())
			defer server.Close()
			var answer api.ExecuteAnswer
			header := http.Header{}
			for _, id := range []string{"first", "second"} {
				body := mustJSON(api.Execute{ID: id, Account: "a", Payload: json.RawMessage(`{"key":"key-of-` + id + `"}`)})
				response, err := http.Post(server.URL+"/v1/execute", "application/json", bytes.NewReader(body))
				assert.NilError(t, err)
				assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
				assert.NilError(t, response.Body.Close())
				header = response.Header
			}
			tc.check(t, answer, header)
			assert.Equal(t, len(backend.Executions()), 2)
			assert.Assert(t, backend.Executions()[1].Finished)
		})
	}
}

func TestTruncatedAnswerFailsToDecode(t *testing.T) {
	backend := NewBackend("b", 1, 1, nil)
	backend.SetFaults(BackendFaults{Truncate: 1})
	server := httptest.NewServer(backend.Handler())
	defer server.Close()
	response, err := http.Post(server.URL+"/v1/execute", "application/json", bytes.NewReader(mustJSON(api.Execute{ID: "x"})))
	assert.NilError(t, err)
	var answer api.ExecuteAnswer
	assert.Assert(t, json.NewDecoder(response.Body).Decode(&answer) != nil)
	assert.NilError(t, response.Body.Close())
}

func TestBusyBackendAnswersNotRun(t *testing.T) {
	backend := NewBackend("b", 1, 0, nil)
	var answer api.ExecuteAnswer
	status := call(t, backend.Handler(), "POST", "/v1/execute", api.Execute{ID: "x"}, &answer)
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Assert(t, answer.NotRun)
	assert.Equal(t, len(backend.Executions()), 0)
}

// memoryCheckpointStore stores checkpoints in a map.
type memoryCheckpointStore map[string]Progress

func (m memoryCheckpointStore) Save(_ context.Context, name string, progress Progress) error {
	m[name] = progress
	return nil
}

func (m memoryCheckpointStore) Load(_ context.Context, name string) (Progress, error) {
	return m[name], nil
}

func newTestWorker() *Worker {
	return NewWorker(WorkerConfig{ID: "w", Zone: "z", Rack: "r", Incarnation: 1, Accelerators: 8}, memoryCheckpointStore{}, nil)
}

func ref(epoch int64, gang string) api.GangRef {
	return api.GangRef{Epoch: epoch, Gang: gang, Attempt: 1}
}

func reserve(epoch int64, gang string, accelerators int) api.Reserve {
	return api.Reserve{GangRef: ref(epoch, gang), Accelerators: accelerators, Tasks: 1, TTLMS: 1000}
}

func start(epoch int64, gang string, payload string) api.Start {
	return api.Start{GangRef: ref(epoch, gang), LeaseMS: 5000, Payload: json.RawMessage(payload)}
}

func TestWorkerRejectsInvalidCalls(t *testing.T) {
	cases := map[string]struct {
		call func(worker *Worker) error
		kind api.Kind
	}{
		"a lower epoch": {func(worker *Worker) error {
			_, err := worker.Reserve(reserve(1, "h", 1))
			return err
		}, api.KindStaleEpoch},
		"more accelerators than are free": {func(worker *Worker) error {
			_, err := worker.Reserve(reserve(2, "h", 5))
			return err
		}, api.KindNoCapacity},
		"a start without a reservation": {func(worker *Worker) error {
			_, err := worker.Start(context.Background(), start(2, "h", `{}`))
			return err
		}, api.KindConflict},
		"a start of a released attempt": {func(worker *Worker) error {
			if err := worker.Release(api.Release{GangRef: ref(2, "g")}); err != nil {
				return err
			}
			_, err := worker.Start(context.Background(), start(2, "g", `{}`))
			return err
		}, api.KindConflict},
		"a reservation of a released attempt": {func(worker *Worker) error {
			if err := worker.Release(api.Release{GangRef: ref(2, "g")}); err != nil {
				return err
			}
			_, err := worker.Reserve(reserve(2, "g", 1))
			return err
		}, api.KindConflict},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			worker := newTestWorker()
			_, err := worker.Reserve(reserve(2, "g", 4))
			assert.NilError(t, err)
			assert.Assert(t, api.IsKind(tc.call(worker), tc.kind))
			assert.Equal(t, len(worker.Starts()), 0)
		})
	}
}

func TestStaleEpochErrorCarriesHighestEpoch(t *testing.T) {
	handler := newTestWorker().Handler()
	call(t, handler, "POST", "/v1/renew", api.Renew{Epoch: 7}, nil)
	var body api.ErrorBody
	assert.Equal(t, call(t, handler, "POST", "/v1/reserve", reserve(3, "g", 1), &body), http.StatusConflict)
	assert.Equal(t, body.Epoch, int64(7))
}

func TestUnstartedReservationExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newTestWorker()
		_, err := worker.Reserve(reserve(1, "g", 8))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.Report().Reservations), 0)
		_, err = worker.Start(context.Background(), start(1, "g", `{}`))
		assert.Assert(t, api.IsKind(err, api.KindConflict))
	})
}

func TestRunningTasksEndInExpectedState(t *testing.T) {
	cases := map[string]struct {
		payload string
		faults  WorkerFaults
		renew   bool
		state   api.TaskState
		ranS    float64
	}{
		"done after their run time":             {`{"run_ms":3000}`, WorkerFaults{}, false, api.TaskDone, 3},
		"failed because of the payload":         {`{"run_ms":3000,"fail":true}`, WorkerFaults{}, false, api.TaskFailed, 3},
		"failed because of an unhealthy worker": {`{"run_ms":3000}`, WorkerFaults{FailAll: true}, false, api.TaskFailed, 0.05},
		"expired without a renewal":             {`{"run_ms":9000}`, WorkerFaults{}, false, api.TaskLapsed, 5},
		"done after a renewal of the lease":     {`{"run_ms":7000}`, WorkerFaults{}, true, api.TaskDone, 7},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := newTestWorker()
				worker.SetFaults(tc.faults)
				_, err := worker.Reserve(reserve(1, "g", 8))
				assert.NilError(t, err)
				_, err = worker.Start(context.Background(), start(1, "g", tc.payload))
				assert.NilError(t, err)
				time.Sleep(4 * time.Second)
				if tc.renew {
					_, err = worker.Renew(api.Renew{Epoch: 1, LeaseMS: 5000, Gangs: []api.GangRef{ref(1, "g")}})
					assert.NilError(t, err)
				}
				time.Sleep(4 * time.Second)
				report := worker.Report().Reservations[0]
				assert.Equal(t, report.State, tc.state)
				assert.Equal(t, report.RanS, tc.ranS)
				assert.Equal(t, worker.Starts()[0].State, tc.state)
			})
		})
	}
}

func TestRestartResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newTestWorker()
		_, err := worker.Reserve(reserve(1, "g", 8))
		assert.NilError(t, err)
		_, err = worker.Start(context.Background(), start(1, "g", `{"run_ms":4000}`))
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		answer, err := worker.Checkpoint(context.Background(), api.Stop{GangRef: ref(1, "g")})
		assert.NilError(t, err)
		assert.Equal(t, worker.Report().Reservations[0].State, api.TaskStopped)
		second := api.GangRef{Epoch: 1, Gang: "g", Attempt: 2}
		_, err = worker.Reserve(api.Reserve{GangRef: second, Accelerators: 8, Tasks: 1, TTLMS: 1000})
		assert.NilError(t, err)
		_, err = worker.Start(context.Background(), api.Start{GangRef: second, LeaseMS: 5000, Checkpoint: answer.Checkpoint, Payload: json.RawMessage(`{"run_ms":4000}`)})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, worker.Report().Reservations[1].State, api.TaskDone)
		worker.SetFaults(WorkerFaults{RefuseCheckpoint: true})
		_, err = worker.Checkpoint(context.Background(), api.Stop{GangRef: second})
		assert.Assert(t, api.IsKind(err, api.KindConflict))
	})
}

func TestFreePortsDoesNotRepeatPorts(t *testing.T) {
	seen := make(map[int]bool)
	for range 100 {
		ports, err := FreePorts(5)
		assert.NilError(t, err)
		for _, port := range ports {
			assert.Assert(t, !seen[port] && port >= minPort && port < portLimit)
			seen[port] = true
		}
	}
}

package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
	"github.com/corianderbank/corianderbank/internal/standin"
)

// ports combines the platform interfaces that the contract tests cover.
type ports interface {
	platform.Tables
	platform.Objects
	platform.InstanceLister
}

// runContract runs check against the fake and against the HTTP client with a
// server backed by the fake.
func runContract(t *testing.T, check func(t *testing.T, service *fake.Platform, port ports)) {
	t.Helper()
	t.Run("fake", func(t *testing.T) {
		service := fake.New()
		check(t, service, service)
	})
	t.Run("http", func(t *testing.T) {
		service := fake.New()
		server := httptest.NewServer(service.Handler())
		defer server.Close()
		client := platform.NewHTTP(server.Listener.Addr().String())
		defer client.Close()
		check(t, service, client)
	})
}

// runFaultFreeContract runs check as runContract does and also against the HTTP
// client with the stand-in platform, where service is nil and check cannot inject
// faults.
func runFaultFreeContract(t *testing.T, check func(t *testing.T, service *fake.Platform, port ports)) {
	t.Helper()
	runContract(t, check)
	t.Run("stand-in", func(t *testing.T) {
		server := httptest.NewServer(standin.NewPlatform(standin.DefaultListTTL).Handler())
		defer server.Close()
		client := platform.NewHTTP(server.Listener.Addr().String())
		defer client.Close()
		check(t, nil, client)
	})
}

func ref(key string) api.Ref { return api.Ref{Table: "t", Key: key} }

func put(id, key string, version int64, value string) api.Tx {
	return api.Tx{WriteID: id, Ops: []api.Op{{Ref: ref(key), IfVersion: version, Value: json.RawMessage(value)}}}
}

func commit(t *testing.T, port ports, tx api.Tx) platform.CommitResult {
	t.Helper()
	return port.Commit(t.Context(), platform.PurposeOther, tx)
}

func readOne(t *testing.T, port ports, key string) api.Row {
	t.Helper()
	rows, err := port.Read(t.Context(), platform.PurposeOther, ref(key))
	assert.NilError(t, err)
	assert.Equal(t, len(rows.Rows), 1)
	return rows.Rows[0]
}

func TestTablesContract(t *testing.T) {
	cases := map[string]func(t *testing.T, service *fake.Platform, port ports){
		"an absent row has version 0": func(t *testing.T, _ *fake.Platform, port ports) {
			assert.Equal(t, readOne(t, port, "a").Version, int64(0))
		},
		"an insertion is read back with its write id": func(t *testing.T, _ *fake.Platform, port ports) {
			result := commit(t, port, put("w1", "a", 0, `{"n":1}`))
			assert.Equal(t, result.State, platform.CommitDone)
			assert.Assert(t, !result.Now.IsZero())
			row := readOne(t, port, "a")
			assert.Assert(t, row.Version > 0)
			assert.Equal(t, row.WriteID, "w1")
			assert.Equal(t, string(row.Value), `{"n":1}`)
		},
		"a version mismatch conflicts and returns the current row": func(t *testing.T, _ *fake.Platform, port ports) {
			commit(t, port, put("w1", "a", 0, `1`))
			result := commit(t, port, put("w2", "a", 0, `2`))
			assert.Equal(t, result.State, platform.CommitNotDone)
			assert.NilError(t, result.Err)
			assert.Equal(t, len(result.Conflicts), 1)
			assert.Equal(t, result.Conflicts[0].Ref, ref("a"))
			assert.Equal(t, string(result.Conflicts[0].Value), `1`)
		},
		"a conflict in one operation rejects the whole transaction": func(t *testing.T, _ *fake.Platform, port ports) {
			commit(t, port, put("w1", "a", 0, `1`))
			both := put("w2", "b", 0, `2`)
			both.Ops = append(both.Ops, put("", "a", 0, `2`).Ops...)
			assert.Equal(t, commit(t, port, both).State, platform.CommitNotDone)
			assert.Equal(t, readOne(t, port, "b").Version, int64(0))
		},
		"a repeated write id is not applied twice": func(t *testing.T, _ *fake.Platform, port ports) {
			commit(t, port, put("w1", "a", 0, `1`))
			first := readOne(t, port, "a")
			commit(t, port, put("w2", "a", first.Version, `2`))
			assert.Equal(t, commit(t, port, put("w1", "a", 0, `1`)).State, platform.CommitDone)
			assert.Equal(t, string(readOne(t, port, "a").Value), `2`)
		},
		"a reinserted row gets a higher version than the deleted one": func(t *testing.T, _ *fake.Platform, port ports) {
			commit(t, port, put("w1", "a", 0, `1`))
			first := readOne(t, port, "a")
			removal := api.Tx{WriteID: "w2", Ops: []api.Op{{Ref: ref("a"), IfVersion: first.Version, Delete: true}}}
			assert.Equal(t, commit(t, port, removal).State, platform.CommitDone)
			assert.Equal(t, readOne(t, port, "a").Version, int64(0))
			commit(t, port, put("w3", "a", 0, `1`))
			assert.Assert(t, readOne(t, port, "a").Version > first.Version)
		},
		"a check compares and writes nothing": func(t *testing.T, _ *fake.Platform, port ports) {
			check := put("w1", "b", 0, `1`)
			check.Ops = append(check.Ops, api.Op{Ref: ref("a"), Check: true})
			assert.Equal(t, commit(t, port, check).State, platform.CommitDone)
			assert.Equal(t, readOne(t, port, "a").Version, int64(0))
		},
		"a scan returns pages in key order": func(t *testing.T, _ *fake.Platform, port ports) {
			for _, key := range []string{"p/2", "q/1", "p/1", "p/3"} {
				commit(t, port, put("w"+key, key, 0, `1`))
			}
			query := api.ScanQuery{Table: "t", Prefix: "p/", Limit: 2}
			page, err := port.Scan(t.Context(), platform.PurposeOther, query)
			assert.NilError(t, err)
			assert.Assert(t, page.More)
			query.After = page.Rows[1].Key
			assert.Equal(t, query.After, "p/2")
			page, err = port.Scan(t.Context(), platform.PurposeOther, query)
			assert.NilError(t, err)
			assert.Assert(t, !page.More)
			assert.Equal(t, page.Rows[0].Key, "p/3")
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { runFaultFreeContract(t, check) })
	}
}

func TestTablesContractUnderFaults(t *testing.T) {
	cases := map[string]func(t *testing.T, service *fake.Platform, port ports){
		"a commit whose answer is lost after the write is unknown and the row is written": func(t *testing.T, service *fake.Platform, port ports) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{LoseAnswer: true} })
			assert.Equal(t, commit(t, port, put("w1", "a", 0, `1`)).State, platform.CommitUnknown)
			service.SetFault(nil)
			assert.Equal(t, readOne(t, port, "a").WriteID, "w1")
		},
		"a commit that is lost before the write is unknown and nothing is written": func(t *testing.T, service *fake.Platform, port ports) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{LoseRequest: true} })
			assert.Equal(t, commit(t, port, put("w1", "a", 0, `1`)).State, platform.CommitUnknown)
			service.SetFault(nil)
			assert.Equal(t, readOne(t, port, "a").Version, int64(0))
		},
		"a commit to an unreachable platform is definitely not done and queries fail": func(t *testing.T, service *fake.Platform, port ports) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			result := commit(t, port, put("w1", "a", 0, `1`))
			assert.Equal(t, result.State, platform.CommitNotDone)
			assert.Assert(t, api.IsKind(result.Err, api.KindStoreUnavailable))
			_, err := port.Read(t.Context(), platform.PurposeOther, ref("a"))
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
			_, err = port.Scan(t.Context(), platform.PurposeOther, api.ScanQuery{Table: "t"})
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
		},
		"a commit whose context has ended is not sent": func(t *testing.T, _ *fake.Platform, port ports) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.Equal(t, port.Commit(ctx, platform.PurposeOther, put("w1", "a", 0, `1`)).State, platform.CommitNotDone)
			assert.Equal(t, readOne(t, port, "a").Version, int64(0))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { runContract(t, check) })
	}
}

func TestObjectsContract(t *testing.T) {
	runFaultFreeContract(t, func(t *testing.T, _ *fake.Platform, port ports) {
		_, err := port.Get(t.Context(), "a")
		assert.Assert(t, api.IsKind(err, api.KindNotFound), "%v", err)
		data := bytes.Repeat([]byte{0, 1, 255}, 1000)
		assert.NilError(t, port.Put(t.Context(), "a", data))
		assert.NilError(t, port.Put(t.Context(), "a", data))
		err = port.Put(t.Context(), "a", []byte("other"))
		assert.Assert(t, api.IsKind(err, api.KindConflict), "%v", err)
		got, err := port.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data))
	})
	runContract(t, func(t *testing.T, service *fake.Platform, port ports) {
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
		_, err := port.Get(t.Context(), "a")
		assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable), "%v", err)
		assert.Assert(t, api.IsKind(port.Put(t.Context(), "b", []byte("x")), api.KindStoreUnavailable))
	})
}

func TestInstanceListerContract(t *testing.T) {
	runContract(t, func(t *testing.T, service *fake.Platform, port ports) {
		list, err := port.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Instances), 0)
		want := api.ListedInstance{ID: "b1", Role: api.RoleBackendServer, Addr: "127.0.0.1:1", Incarnation: 3, Leaving: true}
		service.SetInstances(api.InstanceList{Instances: []api.ListedInstance{want}, AsOf: time.Unix(1, 0).UTC()})
		list, err = port.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list.Instances, []api.ListedInstance{want})
		service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
		_, err = port.List(t.Context())
		assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
	})
}

func TestConnectionRefusedIsNotDone(t *testing.T) {
	server := httptest.NewServer(fake.New().Handler())
	client := platform.NewHTTP(server.Listener.Addr().String())
	server.Close()
	result := client.Commit(t.Context(), platform.PurposeOther, put("w1", "a", 0, `1`))
	assert.Equal(t, result.State, platform.CommitNotDone)
	assert.Assert(t, api.IsKind(result.Err, api.KindStoreUnavailable))
	assert.Assert(t, !client.Reachable())
}

func TestInstanceListerOfStandIn(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform(standin.DefaultListTTL).Handler())
	defer server.Close()
	client := platform.NewHTTP(server.Listener.Addr().String())
	defer client.Close()
	want := api.ListedInstance{ID: "w1", Role: api.RoleWorker, Addr: "127.0.0.1:1", AvailabilityZone: "z1", Incarnation: 7}
	body, err := json.Marshal(want)
	assert.NilError(t, err)
	response, err := server.Client().Post(server.URL+"/v1/announce", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	list, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Instances, []api.ListedInstance{want})
	assert.Assert(t, !list.AsOf.IsZero())
}

package config

import (
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

func document(account string) []byte {
	return fmt.Appendf(nil, `{"client_accounts": [{"name": %q}], "rules": [{"name": "all", "when": {}, "then": {}}]}`, account)
}

func newManager(service *fake.Platform) *Manager {
	return NewManager(Options{Tables: platform.NewResolvingTables(service), Objects: service, Check: Check})
}

func TestPublish(t *testing.T) {
	cases := map[string]struct {
		expect int64
		data   []byte
		fault  fake.Fault
		kind   api.Kind
		check  func(t *testing.T, err error)
	}{
		"the next version is accepted": {expect: 1, data: document("b")},
		"a conflict carries the version in force": {expect: 0, data: document("b"), kind: api.KindConfigConflict, check: func(t *testing.T, err error) {
			assert.Equal(t, ConflictingVersion(err), int64(1))
		}},
		"a document with errors is refused with all problems": {
			expect: 1, data: []byte(`{"client_accounts": [{"name": "a"}, {"name": "a"}], "rules": [{"name": "r", "when": {"urgent": true}, "then": {}}]}`),
			kind: api.KindConfigInvalid, check: func(t *testing.T, err error) {
				assert.Assert(t, len(Problems(err)) >= 2, "%v", Problems(err))
			},
		},
		"a document that is not JSON is refused": {expect: 1, data: []byte(`{`), kind: api.KindConfigInvalid},
		"nothing is applied while the store is down": {
			expect: 1, data: document("b"), fault: fake.Fault{Down: true}, kind: api.KindStoreUnavailable,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			service := fake.New()
			manager := newManager(service)
			_, err := manager.Publish(t.Context(), 0, "f", document("a"))
			assert.NilError(t, err)
			service.SetFault(func(fake.Call) fake.Fault { return test.fault })
			accepted, err := manager.Publish(t.Context(), test.expect, "f", test.data)
			service.SetFault(nil)
			if test.kind == "" {
				assert.NilError(t, err)
				assert.Equal(t, accepted.Version, int64(2))
				assert.Equal(t, manager.Version(), int64(2))
				return
			}
			assert.Assert(t, api.IsKind(err, test.kind), "%v", err)
			if test.check != nil {
				test.check(t, err)
			}
			assert.NilError(t, manager.Poll(t.Context()))
			assert.Equal(t, manager.Version(), int64(1))
		})
	}
}

func TestOfferNeverLowersTheVersion(t *testing.T) {
	manager := newManager(fake.New())
	assert.Assert(t, manager.Current() == nil)
	offers := []struct {
		version int64
		account string
		digest  string
		want    bool
		kind    api.Kind
		after   int64
	}{
		{version: 3, account: "c", want: true, after: 3},
		{version: 2, account: "b", want: false, after: 3},
		{version: 3, account: "c", want: false, after: 3},
		{version: 4, account: "d", digest: "of something else", kind: api.KindConfigInvalid, after: 3},
		{version: 5, account: "e", want: true, after: 5},
	}
	for _, offer := range offers {
		data := document(offer.account)
		digest := digestOf(data)
		if offer.digest != "" {
			digest = offer.digest
		}
		accepted, err := manager.Offer(offer.version, digest, data)
		assert.Equal(t, accepted, offer.want)
		assert.Assert(t, (err == nil) == (offer.kind == "") && (err == nil || api.IsKind(err, offer.kind)), "%v", err)
		assert.Equal(t, manager.Version(), offer.after)
	}
	version, digest, data := manager.CurrentDocument()
	assert.Equal(t, version, int64(5))
	assert.Equal(t, digest, digestOf(data))
	assert.Equal(t, manager.Current().Document.Accounts[0].Name, "e")
}

func TestHistoryAndGet(t *testing.T) {
	service := fake.New()
	manager := newManager(service)
	for i, name := range []string{"a", "b", "c"} {
		_, err := manager.Publish(t.Context(), int64(i), "f", document(name))
		assert.NilError(t, err)
	}
	history, err := manager.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 3)
	old, err := newManager(service).Get(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, string(old.Document), string(document("b")))
	_, err = manager.Get(t.Context(), 9)
	assert.Assert(t, api.IsKind(err, api.KindNotFound), "%v", err)
	current, err := manager.Get(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, current.Version, int64(3))
}

// TestInForceEverywhereWithinTwoSeconds publishes every 5 s (0.2 changes per second)
// and measures, in virtual time, how long it takes until eight polling instances have
// activated each version.
func TestInForceEverywhereWithinTwoSeconds(t *testing.T) {
	for name, latency := range map[string]time.Duration{"a store that answers in 5 ms": 5 * time.Millisecond, "a store that answers in 300 ms": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Delay: latency} })
				managers := make([]*Manager, 8)
				for i := range managers {
					managers[i] = newManager(service)
					go managers[i].Run(t.Context(), 500*time.Millisecond)
					time.Sleep(77 * time.Millisecond)
				}
				var durations []time.Duration
				for n := range 40 {
					_, err := managers[n%8].Publish(t.Context(), int64(n), "f", document(fmt.Sprintf("a%d", n)))
					assert.NilError(t, err)
					acceptedAt := time.Now()
					for _, manager := range managers {
						for manager.Version() <= int64(n) {
							time.Sleep(time.Millisecond)
						}
					}
					durations = append(durations, time.Since(acceptedAt))
					time.Sleep(5*time.Second - time.Since(acceptedAt))
				}
				sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
				t.Logf("in force on all eight: p50 %v, max %v", durations[20], durations[39])
				assert.Assert(t, durations[39] < 2*time.Second)
			})
		})
	}
}

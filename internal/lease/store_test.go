package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/platform/fake"
)

const length = 4 * time.Second

func TestLease(t *testing.T) {
	cases := map[string]func(t *testing.T, service *fake.Platform, a, b *lease.Store){
		"a renewal keeps the epoch": func(t *testing.T, _ *fake.Platform, a, _ *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(length / 2)
			again := acquire(t, a, "a")
			assert.Equal(t, again.Epoch, first.Epoch)
			assert.Assert(t, again.Until.After(first.Until))
		},
		"another instance is told the holder": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			acquire(t, a, "a")
			_, err := b.Acquire(t.Context(), "z", "b")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
			assert.ErrorContains(t, err, "held by a")
		},
		"a lapsed lease changes hands and the epoch rises": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(length)
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"a released lease is free at once, and its epoch is not used again": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			assert.NilError(t, a.Release(t.Context(), first, "a"))
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
		},
		"a late release does not touch the next holder": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(length)
			acquire(t, b, "b")
			assert.NilError(t, a.Release(t.Context(), first, "a"))
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"a new process under the same id gets a new epoch": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			assert.Equal(t, acquire(t, b, "a").Epoch, first.Epoch+1)
		},
		"a slow store shortens the holder's view, never the other way": func(t *testing.T, service *fake.Platform, a, b *lease.Store) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Delay: time.Second} })
			began := time.Now()
			held := acquire(t, a, "a")
			assert.Assert(t, !held.Until.After(began.Add(length)))
			service.SetFault(nil)
			time.Sleep(time.Until(held.Until))
			_, err := b.Acquire(t.Context(), "z", "b")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"a store that is down gives no lease": func(t *testing.T, service *fake.Platform, a, _ *lease.Store) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
		},
		"the store's clock may be far from the local one": func(t *testing.T, service *fake.Platform, a, b *lease.Store) {
			service.SetSkew(-time.Hour)
			first := acquire(t, a, "a")
			time.Sleep(length)
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				tables := platform.NewResolving(service)
				check(t, service, lease.New(tables, length), lease.New(tables, length))
			})
		})
	}
}

func acquire(t *testing.T, leases lease.Leases, instance string) lease.Held {
	t.Helper()
	held, err := leases.Acquire(t.Context(), "z", instance)
	assert.NilError(t, err)
	return held
}

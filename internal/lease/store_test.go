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

const leaseDuration = 4 * time.Second

func TestLease(t *testing.T) {
	cases := map[string]func(t *testing.T, service *fake.Platform, a, b *lease.Store){
		"renewal keeps the epoch": func(t *testing.T, _ *fake.Platform, a, _ *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(leaseDuration / 2)
			renewed := acquire(t, a, "a")
			assert.Equal(t, renewed.Epoch, first.Epoch)
			assert.Assert(t, renewed.Until.After(first.Until))
		},
		"conflict names the holder": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			acquire(t, a, "a")
			_, err := b.Acquire(t.Context(), "z", "b")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
			assert.ErrorContains(t, err, "held by a")
		},
		"expired lease can be acquired by another instance with a higher epoch": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(leaseDuration)
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"released lease is free at once and its epoch is not reused": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			assert.NilError(t, a.Release(t.Context(), first, "a"))
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
		},
		"late release does not affect the next holder": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			time.Sleep(leaseDuration)
			acquire(t, b, "b")
			assert.NilError(t, a.Release(t.Context(), first, "a"))
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"new process with the same id gets a new epoch": func(t *testing.T, _ *fake.Platform, a, b *lease.Store) {
			first := acquire(t, a, "a")
			assert.Equal(t, acquire(t, b, "a").Epoch, first.Epoch+1)
		},
		"slow store shortens the holder's view of the lease": func(t *testing.T, service *fake.Platform, a, b *lease.Store) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Delay: time.Second} })
			start := time.Now()
			held := acquire(t, a, "a")
			assert.Assert(t, !held.Until.After(start.Add(leaseDuration)))
			service.SetFault(nil)
			time.Sleep(time.Until(held.Until))
			_, err := b.Acquire(t.Context(), "z", "b")
			assert.Assert(t, api.IsKind(err, api.KindConflict))
		},
		"no lease while the store is down": func(t *testing.T, service *fake.Platform, a, _ *lease.Store) {
			service.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Down: true} })
			_, err := a.Acquire(t.Context(), "z", "a")
			assert.Assert(t, api.IsKind(err, api.KindStoreUnavailable))
		},
		"store clock may differ widely from the local clock": func(t *testing.T, service *fake.Platform, a, b *lease.Store) {
			service.SetClockSkew(-time.Hour)
			first := acquire(t, a, "a")
			time.Sleep(leaseDuration)
			assert.Equal(t, acquire(t, b, "b").Epoch, first.Epoch+1)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := fake.New()
				tables := platform.NewResolvingTables(service)
				check(t, service, lease.New(tables, leaseDuration), lease.New(tables, leaseDuration))
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

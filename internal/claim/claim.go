// Package claim provides claims, each the right to run one keyed request that
// is not idempotent. A claim is a row in the platform's tables that is inserted
// before the dispatch: only the process that inserted it may dispatch the
// request, and only once.
//
// Callers retry, so requests with the same key may arrive several times, also
// on different instances. Each such request is called an arrival of the key.
package claim

import (
	"context"

	"github.com/corianderbank/corianderbank/api"
)

// Request identifies the request that a claim is for.
type Request struct {
	Account string
	// Key is the caller's idempotency key, unique within the account.
	Key string
	// RequestID is the id of the arrival that requests the claim.
	RequestID string
	// BodyDigest is equal for two arrivals of a key if they request the same
	// work.
	BodyDigest string
	// Holder is the instance that requests the claim.
	Holder string
}

// Held is a claim held by this arrival. It is settled or released exactly once.
type Held interface {
	// Settle records the final answer for later arrivals of the key. An error
	// means that the record may be missing; the answer stays valid.
	Settle(ctx context.Context, answer api.RequestAnswer) error
	// Release releases the claim, so that a later arrival may run the work. The
	// holder must not have dispatched it, and must not dispatch it afterwards.
	Release(ctx context.Context) error
}

// Claims grants claims. Implementations are safe for concurrent use.
type Claims interface {
	// Claim returns a held claim, or the recorded answer of an earlier arrival.
	// It waits, within ctx, for an earlier arrival in progress; if that one
	// does not end in time, the answer has the outcome unknown.
	//
	// The errors are KindKeyReused if the key was used with another body,
	// KindStoreUnavailable if this arrival has no claim and never will (whether
	// an earlier arrival of the key ran cannot be known then), and
	// KindResultUnknown if the claim may have been inserted; such a claim is
	// never used, and it is released when the store returns.
	Claim(ctx context.Context, request Request) (Held, *api.RequestAnswer, error)
}

// Package claim keeps the right to run a keyed request that is not idempotent.
// The right is a row of the platform's tables, inserted before the dispatch:
// whoever inserted it may dispatch once; nobody else ever does.
package claim

import (
	"context"

	"github.com/corianderbank/corianderbank/api"
)

// Request identifies the work that a claim is for.
type Request struct {
	Account string
	// Key is the caller's idempotency key, unique within the account.
	Key string
	// RequestID is the id of the arrival that asks.
	RequestID string
	// BodyDigest tells whether two arrivals of a key ask for the same work.
	BodyDigest string
	// Holder is the instance that asks.
	Holder string
}

// Held is a claim that this arrival holds. It is settled exactly once.
type Held interface {
	// Settle records the final answer for later arrivals of the key. An error
	// means that the record may be missing; the answer stays valid.
	Settle(ctx context.Context, answer api.RequestAnswer) error
	// GiveUp removes the claim, so that a later arrival may run the work. The
	// holder must not have dispatched, and must not dispatch afterwards.
	GiveUp(ctx context.Context) error
}

// Claims gives out claims. Implementations are safe for concurrent use.
type Claims interface {
	// Claim returns a held claim, or the recorded answer of an earlier
	// arrival. It waits, within ctx, for an earlier arrival under way; if that
	// does not end, the answer has the outcome unknown. Errors: KindKeyReused
	// for another body, KindStoreUnavailable if this arrival has no claim and
	// never will (whether an earlier one of the key ran cannot be known then),
	// KindResultUnknown if the claim may have been made; it is never used, and
	// released when the store returns.
	Claim(ctx context.Context, request Request) (Held, *api.RequestAnswer, error)
}

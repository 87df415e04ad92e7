package platform

import (
	"crypto/rand"

	"github.com/corianderbank/corianderbank/api"
)

// Client is an instance's way to the platform: the HTTP adapter, behind the
// read-back of lost answers. It is safe for concurrent use.
type Client struct {
	Tables
	*objectsAndList
}

// objectsAndList promotes the methods of HTTP that Tables does not declare.
type objectsAndList struct {
	Objects
	InstanceLister
	http *HTTP
}

// Reachable reports whether the last call was answered by the platform.
func (o *objectsAndList) Reachable() bool { return o.http.Reachable() }

// Close closes the connections to the platform.
func (o *objectsAndList) Close() { o.http.Close() }

// NewClient returns a client of the platform at addr, an IP number and port.
func NewClient(addr string) *Client {
	adapter := NewHTTP(addr)
	return &Client{
		Tables:         NewResolving(adapter),
		objectsAndList: &objectsAndList{Objects: adapter, InstanceLister: adapter, http: adapter},
	}
}

// NewWriteID returns an id for one transaction.
func NewWriteID() string { return rand.Text() }

// ErrorOf returns the error of a commit that did not take effect: nil for
// CommitDone, KindConflict for a plain conflict, KindStoreUnavailable if it
// never reached the store, KindResultUnknown for CommitUnknown.
func ErrorOf(result CommitResult) error {
	switch {
	case result.State == CommitDone:
		return nil
	case result.State == CommitUnknown:
		return api.NewError(api.KindResultUnknown, "the store's answer is missing: %v", result.Err)
	case result.Err != nil:
		return api.NewError(api.KindStoreUnavailable, "the store was not reached: %w", result.Err)
	default:
		return api.NewError(api.KindConflict, "the row has another version")
	}
}

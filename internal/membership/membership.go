// Package membership knows the instances, backend servers and workers of the
// fleet from several signals that lag: the platform's instance list, peers'
// states, and what each server says of itself. Incarnation numbers order the
// signals, so that a late one brings nothing back.
package membership

import "github.com/corianderbank/corianderbank/internal/model"

// View is what an instance knows of the fleet. Implementations are safe for
// concurrent use; the returned slices are the caller's, in the order of ids.
type View interface {
	// Instances returns the live entry instances other than this one.
	Instances() []model.Instance
	// BackendServers returns the backend servers of a zone, leaving ones too.
	BackendServers(zone string) []model.BackendServer
	// Workers returns the workers of a zone that the instance list names.
	Workers(zone string) []model.Worker
}

// Package membership tracks the instances, backend servers and workers of the
// fleet. It combines several signals that may lag: the platform's instance
// list, the state messages of peers, and what each server reports about itself.
// Incarnation numbers order the signals, so that an outdated signal does not
// bring back an earlier incarnation.
package membership

import "github.com/corianderbank/corianderbank/internal/model"

// View provides an instance's current view of the fleet. Implementations are
// safe for concurrent use. The returned slices are sorted by id and belong to
// the caller.
type View interface {
	// Instances returns the live entry instances other than this one.
	Instances() []model.Instance
	// BackendServers returns the backend servers of a zone, including leaving
	// ones.
	BackendServers(zone string) []model.BackendServer
	// Workers returns the known workers of a zone, whatever their health. Only
	// the instance list adds workers.
	Workers(zone string) []model.Worker
}

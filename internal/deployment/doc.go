// Package deployment runs one instance of a deployment-wide scheduler. Every
// instance takes callers' jobs; the hubs among them know all jobs, and one of
// these holds the lease and drives the core (package dispatch) with it.
//
//	clock.go     steady time that counts suspensions
//	settings.go  the settings of a process
//	replica.go   what this instance knows of the product's table
//	jobstate.go  the state of a job as callers see it
//	config.go    the configuration, and who reads it
//	parts.go     which part of the table a row lies in
//	reach.go     the store by whatever path works
//	relay.go     the store through a peer
//	contacts.go  who is a hub, and who keeps in touch with whom
//	query.go     jobs that a leaf is asked for
//	follow.go    the duties that follow the store's tables
//	lease.go     who schedules
//	leader.go    the loop of the leader: core, orders, records
//	accept.go    what callers ask
//	gossip.go    what instances tell each other; peerviews.go: what they said last
//	instance.go  an instance put together, its start and its stop
package deployment

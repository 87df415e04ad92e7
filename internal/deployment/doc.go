// Package deployment runs one instance of a deployment-wide scheduler. Every
// instance accepts jobs from callers; the hubs among them have all jobs, and one of
// these holds the lease and drives the core (package dispatch) with it.
//
//	clock.go     monotonic time that includes suspensions
//	settings.go  the settings of a process
//	replica.go   this instance's copy of the product's table
//	jobstate.go  the state of a job as shown to callers
//	config.go    the configuration, and which instances read it
//	parts.go     the parts of the table and the keys in each
//	reach.go     access to the store by whatever route works
//	relay.go     access to the store through a peer
//	contacts.go  the choice of hubs, and the contacts between instances
//	query.go     job queries from leaves
//	follow.go    the loops that follow the store's tables
//	lease.go     the lease that decides which instance leads
//	leader.go    the loop of the leader: core, orders, records
//	accept.go    the requests of callers
//	gossip.go    the messages between instances; peerviews.go: their last reported states
//	instance.go  the assembly of an instance, its start and its stop
package deployment

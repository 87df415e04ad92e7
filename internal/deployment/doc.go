// Package deployment runs one instance of a deployment-wide scheduler. Every
// instance accepts jobs from callers. The hubs among them hold a copy of all jobs; the
// hub that holds the lease is the leader, and runs the core (package dispatch).
//
//	clock.go         monotonic time that includes suspensions
//	settings.go      the settings of a process; tuning.go: disabled mechanisms
//	replica.go       this instance's copy of the product's table; rows.go: rows in messages
//	workers.go       this instance's copy of the platform's list of workers
//	drains.go        the drained availability zones
//	jobstate.go      the state of a job as shown to callers
//	config.go        the configuration, and which instances read it
//	parts.go         the parts of the table and the keys in each
//	unread.go        which undecodable rows were logged
//	reach.go         access to the store, directly or through a peer
//	relay.go         access to the store through a peer
//	contacts.go      the choice of hubs, and the contacts between instances
//	cut.go           detection that the availability zone is cut off
//	rotation.go      the Retry-After while it is cut off
//	query.go         job queries from leaves
//	follow.go        the loops that follow the store's tables
//	lease.go         the lease that decides which instance leads
//	grant.go         the lease while this instance holds it
//	candidate.go     the conditions for taking it; succession.go: the ranking by size
//	leader.go        the loop of the leader
//	takeover.go      the leader's steps before the first decision
//	orders.go        the leader's orders, polls and requests to the advisor
//	records.go       the leader's writes; announce.go: completions that are not stored yet
//	begins.go        whether the leader stores start intents
//	worker_reach.go  the leader's calls to workers, directly or through a hub
//	worker_relay.go  the calls that a hub makes for the leader; batcher.go: batches of messages
//	accept.go        the requests of callers
//	gossip.go        the messages between instances; peerviews.go: their last reported states
//	instance.go      the assembly of an instance, its start and its stop
//	busyloop.go      detection of busy loops
package deployment

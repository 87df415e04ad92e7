// Package dispatch decides, for a whole deployment, which task runs where and
// when. It is a pure state machine: events and the current time are its input,
// actions its output. It has no clock, network, goroutine or randomness, so that a
// whole day can be replayed in a test. All calls must come from one goroutine.
//
//	core.go         the state, and a round of decisions
//	jobs.go         jobs: accepted, cancelled, final, recorded
//	runs.go         the states of a run, following charts/run.json
//	orders.go       runs: starts, stops, and the effects of their answers
//	poll.go         workers, and the reports they return to polls
//	completions.go  the effects of a completion on its task, gang and job
//	place.go        a round of placement
//	order.go        the order of pending work
//	room.go         the capacity of workers during a round
//	fit.go          the workers that a step fits on
//	rack.go         how long work waits for its rack
//	claim.go        capacity that is being freed for urgent gangs
//	reserve.go      capacity reserved for large work, and its use by other work
//	headroom.go     workers kept free for urgent work
//	forecast.go     the demand of urgent work
//	victims.go      preemption for urgent and guaranteed work
//	gangvictims.go  victims that share a gang
//	infeasible.go   steps that found no capacity in a round
//	advice.go       tickets of the placement advisor
//	evacuate.go     runs to stop before their worker leaves
//	estimate.go     expected run times
//	speed.go        speeds of workers
//	kinds.go        kinds of workers by their speed
//	intime.go       workers on which a step ends in time
//	knowledge.go    what a leader has learned, for the next one
//	health.go       workers with repeated failures, by count
//	unsound.go      workers that fail what they are given, by evidence
//	flapping.go     machines that crash repeatedly
//	crash.go        tasks that crash their workers
//	isolate.go      placement of tasks whose workers crashed
//	suspect.go      racks and zones with unresponsive workers
//	leases.go       when an unresponsive worker has definitely stopped
//	drain.go        availability zones drained by operators
//	begins.go       start intents stored before a job's first start
//	recorded.go     attempts stored before their start
//	record.go       the stored progress of a job
//	stored.go       the stored table of workers
//	repeat.go       orders that are sent again
//	window.go       limits on calls in flight
//	pollwindow.go   limits on polls in flight
//	startwindow.go  limits on starts in flight
//	reasons.go      reasons for the log
//	choices.go      decisions with several policies
//	tuning.go       mechanisms and constants that a measurement can change
package dispatch

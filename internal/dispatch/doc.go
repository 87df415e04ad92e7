// Package dispatch decides, for a whole deployment, which task runs where and
// when. It is pure: events and the time go in, actions come out; it has no
// clock, no network, no goroutine and no randomness, so that a whole day can be
// replayed in a test. Whoever drives it calls it from one goroutine.
//
//	core.go    the state, and a round of decisions
//	jobs.go    jobs: accepted, cancelled, over, recorded
//	runs.go    the states of a run, by charts/run.json
//	orders.go  runs: started, stopped, and what the answers mean
//	sight.go   what workers report
//	ends.go    what an end means for its task, gang and job
//	order.go   which work comes first
//	fit.go     which workers it fits on
//	rack.go    how long work waits for the rack that it belongs on
//	claim.go   room that is being freed for urgent gangs
//	reserve.go room kept for large work, and what may run beside it
//	victims.go what is stopped for guaranteed work
//	advice.go  tickets of the placement advisor
//	evacuate.go what leaves a worker before the worker does
//	estimate.go how long tasks take
//	health.go  which workers are trusted
//	stored.go  which workers the table has to have
//	doubt.go   racks and zones of which somebody does not answer
//	leases.go  when a silent worker has surely stopped
//	record.go  what of a job is stored
package dispatch

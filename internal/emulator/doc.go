// Package emulator simulates days of a deployment against the core of internal/dispatch
// in virtual time: callers, workers with leases, leader changes, zone partitions and
// store outages. Deployments and days are read from files; further deployments are
// drawn at random around those of the users. Within seconds, an experiment shows how a
// change of a scheduling decision affects callers, and on which deployments. The
// package does not model processor time, the network between instances, or delayed
// reads of rows.
//
//	deployment.go  deployments and their files
//	draw.go        randomly drawn deployments
//	day.go         days and their files: load, bursts, faults
//	arrivals.go    the jobs of a day, with properties hidden from the scheduler
//	player.go      a simulation: arrivals, orders, polls, records
//	leader.go      the leader and its changes
//	callers.go     how callers submit jobs
//	world.go       workers, runs, gangs, leases
//	crash.go       crashes and restarts of workers
//	tally.go       the results for callers
//	experiment.go  comparison of two variants over the same simulations
package emulator

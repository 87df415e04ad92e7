// Package emulator plays days of a deployment against the core of
// internal/dispatch, in virtual time: callers, workers with leases, changes of the
// leader, zones that are cut off, a store that is away. Deployments and days are
// files; further deployments are drawn at random around those of the users. It
// answers within seconds what a change of a decision is worth to callers, and on
// which deployments. What it leaves out: processor time, the network between
// instances, and rows that are read late.
//
//	deployment.go  deployments, their files
//	draw.go        deployments drawn at random
//	day.go         days: load, bursts, troubles, their files
//	arrivals.go    the jobs of a day, with what only a clairvoyant knows
//	player.go      one play: arrivals, orders, looks, records
//	leader.go      who schedules, and changes of it
//	callers.go     how callers get their jobs accepted
//	world.go       workers, runs, gangs, leases
//	tally.go       what callers got
//	experiment.go  two variants over the same plays
package emulator

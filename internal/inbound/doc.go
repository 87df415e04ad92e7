// Package inbound bounds what clients can make a process hold, whatever they send and however
// slowly: connections, bytes in receive queues, bodies and the values decoded from them.
//
//	limits.go    the limits, derived from the memory and the descriptors of the process
//	choose.go    which connection to close and which body to evict: decisions without a network
//	conns.go     a group of connections; conn.go: one connection and its progress
//	listen.go    listeners whose connections have small receive queues
//	pool.go      the bytes shared by bodies; body.go: the reading of one body
//	session.go   the messages that a session between instances holds
//	server.go    an HTTP server with these bounds
//	heap.go      the heap that is left for work that stays in memory
//	limitlog.go  the log lines of limits that are met
//
// A connection covers the first bytes of a body (smallBodyBytes), so that small requests need no
// room in the pool and are not refused for large ones.
package inbound

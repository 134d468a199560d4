package main

import (
	"log"

	"yardflow/internal/platform/console"
)

// reservedSockets is for descriptors that are neither a client's nor a loan worker's: the
// standard streams, the poller, the listeners, discovery's connections before and after a
// reload, the datagrams' socket, a file being read, and connections beyond the budget
// that are closed and still read from.
const reservedSockets = 27

// minClientSockets is the least for clients, whatever the limit.
const minClientSockets = 4

// sockets divides the descriptors that one of so many processes may hold: reservedSockets,
// a third to loan workers (clients hold at most a third with requests, and each takes one
// attempt at a time), the rest to clients.
func (n *node) sockets(processes int) (clients, workers int) {
	all := n.cfg.Limits.Sockets / processes
	workers = all / 3
	if clients = all - workers - reservedSockets; n.cfg.Console != "" {
		clients -= console.MaxSockets
	}
	return max(clients, minClientSockets), workers
}

// memory is what one of so many processes may use, in bytes: the heap's 70% of its share
// of the machine.
func (n *node) memory(processes int) int64 {
	return int64(n.cfg.Limits.MemoryMB) << 20 * 7 / 10 / int64(processes)
}

// shareMachine adapts to this process's share of the machine while there are so many
// processes of this dispatcher.
func (n *node) shareMachine(processes int) {
	log.Printf("%d processes share this dispatcher", processes)
	clients, workers := n.sockets(processes)
	n.connLimiter.Resize(clients)
	n.workerConns.Resize(workers)
	n.broker.SetReservationShare(1 / float64(processes))
	n.limitMemory(n.memory(processes))
}

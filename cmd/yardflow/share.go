package main

// This file owns what the processes of one dispatcher share of its machine and its bans.

import (
	"errors"
	"log"
	"slices"

	"yardflow/internal/platform/console"
)

// sockets parts the descriptors that one of n processes may hold: a few in
// reserve, a third to loan workers (clients hold at most a third with requests,
// and each takes one dispatch at a time), the rest to clients.
func (n *node) sockets(processes int) (clients, workers int) {
	all := n.cfg.Limits.Sockets / processes
	workers = all / 3
	if clients = all - workers - reserve; n.cfg.Console != "" {
		clients -= console.MaxSockets
	}
	return max(clients, 4), workers
}

// memory is what one of n processes may use: the heap's part of its share.
func (n *node) memory(processes int) int64 {
	return int64(n.cfg.Limits.MemoryMB) << 20 * 7 / 10 / int64(processes)
}

// share takes this process's part of the machine while there are n of them.
func (n *node) share(processes int) {
	log.Printf("%d processes share this dispatcher", processes)
	clients, workers := n.sockets(processes)
	n.guard.Resize(clients)
	n.lines.Resize(workers)
	n.broker.SetReservationShare(1 / float64(processes))
	n.limitMemory(n.memory(processes))
}

// rereadBans takes in what another process took out or called back.
func (n *node) rereadBans() {
	ids, err := n.bans.Reload()
	if err != nil {
		log.Print(err)
		return
	}
	n.takeOut(ids)
}

// ban takes a loan worker out or back in. The yes comes once the file has it and
// no new dispatch can pass.
func (n *node) ban(id string, out bool) error {
	if !n.serving.Load() {
		return errStarting
	}
	// One that was taken out may have left every list since: it can be called back.
	if !n.broker.KnowsWorker(id) && !n.sources.KnowsWorker(id) && (out || !n.bans.Contains(id)) {
		return errors.New("no such loan worker")
	}
	ids, err := n.bans.Set(id, out)
	if err != nil {
		return err
	}
	n.takeOut(ids)
	n.peers.NotifyBans()
	log.Printf("console: out of use now: %v", ids)
	return nil
}

// takeOut makes exactly these loan workers the ones that get nothing new.
func (n *node) takeOut(ids []string) {
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	n.sources.SetBanned(slices.Concat(ids, n.policy.BannedWorkers))
}

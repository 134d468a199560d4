package main

import (
	"errors"
	"log"
	"slices"
)

// reloadBans applies bans that another process of this dispatcher has changed.
func (n *node) reloadBans() {
	ids, err := n.bans.Reload()
	if err != nil {
		log.Print(err)
		return
	}
	n.setBanned(ids)
}

// ban takes a loan worker out, or back in. It returns once the file has it and no new
// attempt can start.
func (n *node) ban(id string, out bool) error {
	if !n.serving.Load() {
		return errStarting
	}
	// A banned worker may have left every list since: it can be taken back in.
	if !n.broker.KnowsWorker(id) && !n.sources.KnowsWorker(id) && (out || !n.bans.Contains(id)) {
		return errors.New("no such loan worker")
	}
	ids, err := n.bans.Set(id, out)
	if err != nil {
		return err
	}
	n.setBanned(ids)
	n.siblings.NotifyBans()
	log.Printf("console: out of use now: %v", ids)
	return nil
}

// setBanned replaces the operators' bans; those of the policy stand beside them.
func (n *node) setBanned(ids []string) {
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	n.sources.SetBanned(slices.Concat(ids, n.policy.BannedWorkers))
}

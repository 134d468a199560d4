package main

import (
	"log"
	"reflect"
	"slices"
	"time"

	"yardflow/internal/gateway/config"
)

// reload takes over a configuration that was replaced while the node runs. One that is
// not valid changes nothing.
func (n *node) reload(load func() (*config.Config, error)) {
	loaded, err := load()
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	before := n.base
	var next *config.Config
	if err == nil {
		next, err = before.Reloaded(loaded)
	}
	if err == nil {
		err = n.apply(next, n.policy)
	}
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	for _, key := range before.RestartKeys(loaded) {
		log.Printf("reload: %s: takes effect at the next start", key)
	}
	n.mu.Lock()
	n.longestDeadline = max(n.longestDeadline, longestDeadline(next))
	n.mu.Unlock()
	if !slices.Equal(before.Zones, next.Zones) || !slices.Equal(before.Kinds, next.Kinds) ||
		!reflect.DeepEqual(before.Membership, next.Membership) || !reflect.DeepEqual(before.SRV, next.SRV) {
		if err := n.sources.Reconfigure(); err != nil { // checked before; nothing has changed then
			log.Printf("reload: the sources stay as they were: %v", err)
		}
	}
	n.workerConns.Reconfigure()
	if next.Discovery != "" { // a fixed list of workers has none
		n.table.SwitchSource(next.Discovery)
	}
	log.Printf("reload: discovery at %s; classes %v, %d attempts", next.Discovery, next.Classes, next.Dispatch.Attempts.Max)
}

// longestDeadline is the longest deadline of a configuration's classes.
func longestDeadline(cfg *config.Config) (d time.Duration) {
	for _, c := range cfg.Dispatch.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

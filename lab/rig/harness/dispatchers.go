package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"yardflow/internal/testing/standin/listservice"
)

// This file owns what a dispatcher of the stage is given: its links, its files and the lists that
// tell it workers, one of its own or one that all share. It must never start one twice.

// AddDispatcher starts one more; change may alter its environment.
func (r *Rig) AddDispatcher(name string, change func(env []string) []string) (*Process, error) {
	p, err := r.MakeDispatcher(name, change)
	if err != nil {
		return nil, err
	}
	return p, p.Start()
}

// MakeDispatcher makes one more, which is not started yet.
func (r *Rig) MakeDispatcher(name string, change func(env []string) []string) (*Process, error) {
	dir := filepath.Join(r.Dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "deploy"), 0o700); err != nil {
		return nil, err
	}
	var addrs []string
	for _, k := range r.Coordinators {
		l, err := r.relay(name, k.Name)
		if err != nil {
			return nil, err
		}
		l.Target(k.Addr)
		addrs = append(addrs, strconv.Quote(l.Addr()))
	}
	discovery, err := r.discovery(name)
	if err != nil {
		return nil, err
	}
	op := fmt.Sprintf("[keepers]\nfleet = %q\naddresses = [%s]\nfence = %q\n[log]\ntrace = true\n", fleet, strings.Join(addrs, ", "), r.OnLeaseLoss)
	settings := r.Settings
	own := map[string]any{}
	if zone := len(r.Dispatchers) % max(r.Zones, 1); zone > 0 {
		own["Zone"] = zone
	}
	if r.Shared {
		own["Balancers"], own["MyNumber"] = r.Config.Dispatchers, len(r.Dispatchers)
	}
	if settings, err = with(settings, own); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": discovery, "settings": json.RawMessage(settings)})
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "deploy", "yardflow.toml"), []byte(op), 0o600)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600)
	}
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, rig: r, dir: dir, args: []string{filepath.Join(r.Bin, "yardflow")},
		env: []string{"NODE_CONFIG=config.json", "TMPDIR=" + dir}}
	if change != nil {
		p.env = change(p.env)
	}
	r.Dispatchers = append(r.Dispatchers, p)
	return p, nil
}

// with is settings in which some keys are others.
func with(settings []byte, own map[string]any) ([]byte, error) {
	if len(own) == 0 {
		return settings, nil
	}
	var all map[string]any
	if err := json.Unmarshal(settings, &all); err != nil {
		return nil, err
	}
	maps.Copy(all, own)
	return json.Marshal(all)
}

// discovery is the address at which a dispatcher asks for workers: a roster of its own with each
// worker behind its own relay, or the one that all share, behind a link of its own.
func (r *Rig) discovery(name string) (string, error) {
	if r.Shared {
		l := r.Link(name, "list")
		if l == nil {
			var err error
			if l, err = r.relay(name, "list"); err != nil {
				return "", err
			}
		}
		l.Target(r.List.Addr)
		return l.Addr(), nil
	}
	list := listservice.Start()
	r.rosters[name] = list
	return list.Addr, r.list(name, func(int) time.Time { return time.Time{} })
}

// list tells a dispatcher's roster all workers, each behind its relay.
func (r *Rig) list(name string, started func(worker int) time.Time) error {
	var all []listservice.Entry
	for i, w := range r.Workers {
		l := r.Link(name, w.ID)
		if l == nil {
			var err error
			if l, err = r.relay(name, w.ID); err != nil {
				return err
			}
			l.Target(w.Addr)
		}
		all = append(all, r.entry(i, l.Addr(), started(i)))
	}
	r.rosters[name].Set(all...)
	return nil
}

// PublishWorkers tells the one list service all workers, each at its own address.
func (r *Rig) PublishWorkers(started func(worker int) time.Time) error {
	var all []listservice.Entry
	for i, w := range r.Workers {
		all = append(all, r.entry(i, w.Addr, started(i)))
	}
	r.List.Set(all...)
	return nil
}

// entry is a worker as a list has it; the zero time where the list does not say when it was started.
func (r *Rig) entry(i int, addr string, started time.Time) listservice.Entry {
	e := listservice.Entry{ID: r.Workers[i].ID, Addr: addr, Zone: "praha-holesovice", Kind: "dual-fast", Lifecycle: "SERVING", Weight: 1, Cell: i % max(r.Cells, 1)}
	if r.Kinds > 1 && i%r.Kinds == 1 {
		e.Kind = "triple-slow"
	}
	if r.drained[e.ID] {
		e.Lifecycle = "DRAINING"
	}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	return e
}

// Drain has workers drain, or serve again, at every dispatcher.
func (r *Rig) Drain(drain bool, workers ...string) error {
	if r.drained == nil {
		r.drained = map[string]bool{}
	}
	for _, w := range workers {
		r.drained[w] = drain
	}
	for name := range r.rosters {
		if err := r.list(name, func(int) time.Time { return time.Time{} }); err != nil {
			return err
		}
	}
	return nil
}

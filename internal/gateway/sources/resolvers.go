package sources

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/discovery/srv"
	"yardflow/internal/gateway/config"
)

// resolverRun is one running resolver of a DNS list.
type resolverRun struct {
	cfg      config.SRV
	resolver *srv.Resolver
	stop     context.CancelFunc
	failing  bool // its last round got no answer
}

// SyncResolvers starts the resolvers of the DNS lists that the configuration in force
// names, and ends those of lists that it no longer does.
func (m *Merger) SyncResolvers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	configured := map[string]bool{}
	for _, cfg := range m.inForce.Get().SRV {
		configured[cfg.Name] = true
		if old := m.resolvers[cfg.Name]; old != nil {
			if reflect.DeepEqual(old.cfg, cfg) {
				continue
			}
			old.stop()
		}
		m.startResolver(cfg)
	}
	for name, r := range m.resolvers {
		if !configured[name] {
			r.stop()
			delete(m.resolvers, name)
		}
	}
}

// startResolver runs a resolver until its stop is called. The caller holds mu.
func (m *Merger) startResolver(cfg config.SRV) {
	ctx, stop := context.WithCancel(context.Background())
	r := &resolverRun{cfg: cfg, resolver: srv.New(cfg.ResolverConfig()), stop: stop}
	m.resolvers[cfg.Name] = r
	go r.resolver.Run(ctx, func(u srv.Update) { m.applyUpdate(r, u) })
}

// applyUpdate applies what a resolver has found.
func (m *Merger) applyUpdate(r *resolverRun, u srv.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := r.cfg.Name
	if m.closed || m.resolvers[name] != r {
		return // replaced meanwhile
	}
	if u.Err != nil {
		if m.catalog.SetUnresponsive(u.At, name, true); !r.failing {
			r.failing = true
			m.hooks.Log(fmt.Sprintf("source %s: no answer, going on with what is known: %s", name, oneLine(u.Err)))
		}
		m.publishOrDefer()
		return
	}
	if r.failing {
		r.failing = false
		m.hooks.Log(fmt.Sprintf("source %s: answers again", name))
	}
	if err := m.catalog.Update(u.At, name, true, workersFromSRV(r.cfg, u.Records)); err != nil {
		m.hooks.Log(fmt.Sprintf("source %s: %s", name, oneLine(err)))
	}
	m.publishOrDefer()
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// minWeight is the relative size of a worker whose SRV weight is 0. RFC 2782 asks for
// "a very small chance" of selection then, not for none.
const minWeight = 0.05

// workersFromSRV converts SRV records. A weight is taken relative to the mean of its
// priority, so that 1 is usual, as it is in a roster.
func workersFromSRV(cfg config.SRV, records []srv.Record) []membership.Worker {
	sum, n := map[uint16]float64{}, map[uint16]float64{}
	for _, r := range records {
		sum[r.Priority] += float64(r.Weight)
		n[r.Priority]++
	}
	out := make([]membership.Worker, 0, len(records))
	for _, r := range records {
		weight := 1.0
		if total := sum[r.Priority]; total > 0 {
			weight = max(float64(r.Weight)*n[r.Priority]/total, minWeight)
		}
		out = append(out, membership.Worker{Target: r.Target, Addr: r.Addr.String(), Zone: cfg.Zone, Kind: cfg.Kind, Cell: cfg.Cell,
			Weight: weight, Priority: int(r.Priority), ExpiresAt: r.ExpiresAt})
	}
	return out
}

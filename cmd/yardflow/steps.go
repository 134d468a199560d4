package main

// This file owns the node's side of workflows: whether a policy's could be run here, and the runner
// that carries their steps.

import (
	"context"
	"fmt"
	"log"
	"reflect"
	"slices"
	"time"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/fleet/workflow/template"
	"yardflow/internal/gateway/workflowsteps"
	"yardflow/internal/platform/config"
)

// weighFlows tells what keeps a policy's workflows from being run under a configuration; nil: nothing.
func weighFlows(cfg *config.Config, doc policy.Document, p statemachine.Policy) error {
	if all := doc.Flows(); len(all)+len(p.Workflows) > 0 && !reflect.DeepEqual(all, p.Workflows) {
		return &template.Error{Step: -1, Key: "flow", What: "the templates agreed on are not those of the text", Expected: "both alike"}
	}
	for _, t := range p.Workflows {
		if len(cfg.Tenants) > 0 && !slices.Contains(cfg.Tenants, t.Tenant) {
			return &template.Error{Template: t.Name, Step: -1, Key: "tenant", What: t.Tenant, Expected: fmt.Sprintf("one of the settings' %q", cfg.Tenants)}
		}
		for i, s := range t.Steps {
			if !slices.Contains(cfg.Classes, s.Class) {
				return &template.Error{Template: t.Name, Step: i, Name: s.Name, Key: "class", What: s.Class, Expected: fmt.Sprintf("one of the settings' %q", cfg.Classes)}
			}
		}
	}
	_, err := pool.Bind(doc.Pool, cfg.Kinds, cfg.Zones)
	return err
}

// carry makes the runner of steps; hooks of the lease's holder are added to.
func (n *node) carry(cfg *config.Config, life uint64, hooks *transport.Hooks) {
	n.flows = workflowsteps.New(n.broker, workflowsteps.Hooks{Name: cfg.Name, Life: life, Now: n.deskNow, Live: n.live, Lines: n.lines, Log: func(s string) { log.Print(s) },
		Call: func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
			return n.holder.Do(ctx, c)
		},
		Gate: func() (uint64, time.Time, bool) {
			held, at := n.holder.Admits()
			return held.Version, at, held.Admits
		}})
	hooks.ClaimLeaseRenewed, hooks.StepsReady = n.flows.Stay, n.flows.Ready
}

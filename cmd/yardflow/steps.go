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
	if all := doc.Templates(); len(all)+len(p.Workflows) > 0 && !reflect.DeepEqual(all, p.Workflows) {
		return &template.Error{StepIndex: -1, Key: "flow", Problem: "the templates agreed on are not those of the text", Expected: "both alike"}
	}
	for _, t := range p.Workflows {
		if len(cfg.Tenants) > 0 && !slices.Contains(cfg.Tenants, t.Tenant) {
			return &template.Error{Template: t.Name, StepIndex: -1, Key: "tenant", Problem: t.Tenant, Expected: fmt.Sprintf("one of the settings' %q", cfg.Tenants)}
		}
		for i, s := range t.Steps {
			if !slices.Contains(cfg.Classes, s.Class) {
				return &template.Error{Template: t.Name, StepIndex: i, StepName: s.Name, Key: "class", Problem: s.Class, Expected: fmt.Sprintf("one of the settings' %q", cfg.Classes)}
			}
		}
	}
	_, err := pool.NewSet(doc.Pools, cfg.Kinds, cfg.Zones)
	return err
}

// carry makes the runner of steps; hooks of the lease's holder are added to.
func (n *node) carry(cfg *config.Config, life uint64, hooks *transport.Hooks) {
	n.flows = workflowsteps.New(n.broker, workflowsteps.Config{Dispatcher: cfg.Name, Incarnation: life, Now: n.deskNow, Settings: n.live, Workers: n.lines, Log: func(s string) { log.Print(s) },
		CallCoordinator: func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
			return n.holder.Do(ctx, c)
		},
		AdmissionGate: func() (uint64, time.Time, bool) {
			held, at := n.holder.Admission()
			return held.Version, at, held.Allowed
		}})
	hooks.ClaimLeaseRenewed, hooks.StepsReady = n.flows.RenewLease, n.flows.NotifyReady
}

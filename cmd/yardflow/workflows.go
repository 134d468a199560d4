package main

import (
	"context"
	"fmt"
	"reflect"
	"slices"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/workflowsteps"
	"yardflow/internal/workflow/pool"
	"yardflow/internal/workflow/template"
)

// checkWorkflows reports whether a policy's workflows could run under a configuration.
func checkWorkflows(cfg *config.Config, doc policy.Document, p statemachine.Policy) error {
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

// newWorkflowRunner makes the runner that carries out workflows' steps here. It uses the
// session, which is made after it, only once it runs.
func (f *fleetMember) newWorkflowRunner(incarnation uint64) *workflowsteps.Runner {
	n := f.node
	return workflowsteps.New(n.broker, workflowsteps.Config{
		Dispatcher: n.cfg.Name, Incarnation: incarnation, Now: f.now, Settings: n.inForce, Workers: n.workerConns, Log: logLine,
		CallCoordinator: func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
			return f.session.Do(ctx, c)
		},
		AdmissionGate: f.admission,
	})
}

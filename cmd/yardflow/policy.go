package main

import (
	"fmt"
	"log"
	"reflect"
	"slices"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/hotrestart"
	"yardflow/internal/workflow/pool"
)

// withPolicy returns a configuration with what a policy overrides in it.
func withPolicy(base *config.Config, doc policy.Document) (*config.Config, error) {
	own := *base
	if doc.MaxAttempts > 0 {
		own.Dispatch.Attempts.Max = min(own.Dispatch.Attempts.Max, doc.MaxAttempts)
	}
	if doc.MergeRule != "" {
		own.Membership.Rule = doc.MergeRule
	}
	if doc.Reservations != nil {
		own.Dispatch.Backfill = doc.Reservations.Settings()
	}
	if len(doc.Contracts) > 0 {
		own.SSE.Contracts = nil
		for _, k := range doc.Contracts {
			own.SSE.Contracts = append(own.SSE.Contracts, config.Contract(k))
		}
		if err := own.ValidateContracts("", own.SSE.Contracts); err != nil {
			return nil, err
		}
	}
	return &own, own.Dispatch.Validate()
}

// apply puts a configuration in force, under a policy, or returns an error and changes
// nothing. The caller holds policyMu.
func (n *node) apply(base *config.Config, doc policy.Document) error {
	before := n.inForce.Get()
	own, err := withPolicy(base, doc)
	var pools *pool.Set
	if err == nil && len(doc.Pools) > 0 {
		pools, err = pool.NewSet(doc.Pools, own.Kinds, own.Zones)
	}
	if err == nil {
		err = n.broker.Reconfigure(own.Dispatch)
	}
	if err != nil {
		return err
	}
	n.broker.SetContracts(brokerContracts(own))
	n.base, n.policy = base, doc
	n.inForce.Set(own)
	if n.fleet != nil {
		n.fleet.workflows.ApplyPolicy(len(doc.Workflows) > 0, pools)
	}
	if own.Membership.Rule != before.Membership.Rule {
		return n.sources.Reconfigure()
	}
	return nil
}

func brokerContracts(cfg *config.Config) (out []broker.Contract) {
	for _, k := range cfg.SSE.Contracts {
		out = append(out, broker.Contract{Team: k.Team, RequestsPerSecond: k.Rate, Burst: k.Burst, MaxInFlight: k.MaxOpen})
	}
	return out
}

// checkPolicy reports whether a policy could be applied here: whether what the
// coordinators took from its text is what this program takes from it, and whether it
// fits the configuration.
func (f *fleetMember) checkPolicy(p statemachine.Policy) (policy.Document, error) {
	doc, err := policy.Parse(p.Text)
	if err != nil {
		return doc, err
	}
	if limits, _ := doc.QuotaLimits(); !slices.Equal(limits, p.Limits) {
		return doc, fmt.Errorf("its limits are not those of its text: %d of %d", len(p.Limits), len(limits))
	}
	if coldStart := doc.ColdStartSettings(); !reflect.DeepEqual(coldStart, p.ColdStart) {
		return doc, fmt.Errorf("its cold start is not that of its text: %+v, %+v", p.ColdStart, coldStart)
	}
	if outliers := doc.OutlierSettings(); !reflect.DeepEqual(outliers, p.OutlierSettings) {
		return doc, fmt.Errorf("its verdicts are not those of its text: %+v, %+v", p.OutlierSettings, outliers)
	}
	f.node.policyMu.Lock()
	defer f.node.policyMu.Unlock()
	cfg, err := withPolicy(f.node.base, doc)
	if err != nil {
		return doc, err
	}
	return doc, checkWorkflows(cfg, doc, p)
}

// applyPolicy puts a policy in force. Requests in flight keep their class and the
// attempts that they have made.
func (f *fleetMember) applyPolicy(p statemachine.Policy) error {
	doc, err := f.checkPolicy(p)
	if err != nil {
		return err
	}
	n := f.node
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	ids, err := n.bans.Reload()
	if err != nil {
		return err
	}
	n.sources.SetBanned(slices.Concat(ids, doc.BannedWorkers))
	if err := n.apply(n.base, doc); err != nil {
		return err
	}
	f.limiter.SetLimits(f.now(), p.Limits)
	f.coldStart.SetEnabled(p.ColdStart != nil)
	if f.ejecting.Store(p.OutlierSettings != nil); p.OutlierSettings != nil {
		f.reporter.SetHalfLife(p.OutlierSettings.HalfLife)
	} else {
		f.reporter.SetHalfLife(0)
		n.broker.ApplyEjections(nil, false)
	}
	n.broker.RefreshWorkerLimits()
	return nil
}

// applyAndKeepPolicy also saves the policy for the next process.
func (f *fleetMember) applyAndKeepPolicy(p statemachine.Policy, file *hotrestart.PolicyFile) error {
	text, err := statemachine.Encode(p)
	if err != nil {
		return err
	}
	if err := f.applyPolicy(p); err != nil {
		return err
	}
	if err := file.Save(text); err != nil {
		log.Printf("policy: version %d is not kept for the next process: %v", p.Version, err)
	}
	return nil
}

// restorePolicy applies the policy that the process before had in force, if it kept one.
func (f *fleetMember) restorePolicy(file *hotrestart.PolicyFile) (p statemachine.Policy, ok bool) {
	text, err := file.Read()
	if err == nil && len(text) > 0 {
		if err = statemachine.Decode(text, &p); err == nil {
			err = f.applyPolicy(p)
		}
		ok = err == nil
	}
	if err != nil {
		log.Printf("policy: that of the process before is left out: %v", err)
	}
	return p, ok
}

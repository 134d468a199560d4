package main

// This file owns the node's side of what the fleet agrees on: policies, limits, verdicts, cold starts.

import (
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/discovery/relayedlist"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/hotrestart"
	"yardflow/internal/platform/config"
	"yardflow/internal/platform/timers"
)

// under is a configuration with what a policy takes from it and adds to it.
func under(base *config.Config, doc policy.Document) (*config.Config, error) {
	own := *base
	if doc.MaxAttempts > 0 {
		own.Dispatch.MaxAttempts = min(own.Dispatch.MaxAttempts, doc.MaxAttempts)
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

// put puts a configuration in force, under a policy. The caller holds policyMu.
func (n *node) put(base *config.Config, doc policy.Document) error {
	was := n.live.Get()
	own, err := under(base, doc)
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
	n.broker.SetContracts(contracts(own))
	n.base, n.policy = base, doc
	n.live.Set(own)
	if n.flows != nil {
		n.flows.ApplyPolicy(len(doc.Workflows) > 0, pools)
	}
	if own.Membership.Rule != was.Membership.Rule {
		return n.sources.Reconfigure()
	}
	return nil
}

func contracts(cfg *config.Config) (out []broker.Contract) {
	for _, k := range cfg.SSE.Contracts {
		out = append(out, broker.Contract{Team: k.Team, RequestsPerSecond: k.Rate, Burst: k.Burst, MaxInFlight: k.MaxOpen})
	}
	return out
}

// weigh tells whether a policy could be run here.
func (n *node) weigh(p statemachine.Policy) (policy.Document, error) {
	doc, err := policy.Parse(p.Text)
	if err == nil {
		if limits, _ := doc.QuotaLimits(); !slices.Equal(limits, p.Limits) {
			return doc, fmt.Errorf("its limits are not those of its text: %d of %d", len(p.Limits), len(limits))
		}
		if starts := doc.ColdStartSettings(); !reflect.DeepEqual(starts, p.ColdStart) {
			return doc, fmt.Errorf("its cold start is not that of its text: %+v, %+v", p.ColdStart, starts)
		}
		if judges := doc.OutlierSettings(); !reflect.DeepEqual(judges, p.OutlierSettings) {
			return doc, fmt.Errorf("its verdicts are not those of its text: %+v, %+v", p.OutlierSettings, judges)
		}
		n.policyMu.Lock()
		defer n.policyMu.Unlock()
		var cfg *config.Config
		if cfg, err = under(n.base, doc); err == nil {
			err = weighFlows(cfg, doc, p)
		}
	}
	return doc, err
}

// takePolicy runs by a policy from here on. Open requests keep their class and what they
// have tried.
func (n *node) takePolicy(p statemachine.Policy) error {
	doc, err := n.weigh(p)
	if err != nil {
		return err
	}
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	ids, err := n.bans.Reload()
	if err != nil {
		return err
	}
	n.sources.SetBanned(slices.Concat(ids, doc.BannedWorkers))
	if err := n.put(n.base, doc); err != nil {
		return err
	}
	n.desk.SetLimits(n.deskNow(), p.Limits)
	n.starts.SetEnabled(p.ColdStart != nil)
	if n.judged.Store(p.OutlierSettings != nil); p.OutlierSettings != nil {
		n.witness.SetHalfLife(p.OutlierSettings.HalfLife)
	} else {
		n.witness.SetHalfLife(0)
		n.broker.ApplyEjections(nil, false)
	}
	n.broker.RefreshWorkerLimits()
	return nil
}

// hold begins to hold a lease for the policy agreed on. Until it has one, nothing is admitted
// but, under Last, by the policy of the process before.
func (n *node) hold(cfg *config.Config, dir string) {
	began := time.Now()
	n.desk, n.deskNow = quota.NewLimiter(), func() time.Duration { return time.Since(began) }
	n.broker.SetLimiter(n.desk, n.deskNow)
	n.witness = outlier.NewReporter(outlier.DefaultSettings().HalfLife, uint64(began.UnixNano()))
	n.witness.SetHalfLife(0) // until a policy has workers judged
	n.broker.SetOutlierReporter(n.witness)
	// What the keepers have said of workers is not used for longer than a lease.
	n.stale = time.AfterFunc(time.Hour, func() { n.broker.ApplyEjections(nil, false) })
	fence, _ := statemachine.ParseLeaseLossMode(cfg.Coordinators.OnLeaseLoss) // checked with the file
	half := policylease.New(cfg.Name, uint64(time.Now().UnixNano()), fmt.Sprint("policies of form ", policy.FormatVersion()), fence)
	var more transport.Hooks
	n.carry(cfg, half.Incarnation(), &more)
	apply := n.takePolicy
	// Where nothing is admitted without a lease no list is needed before one: then the keepers are
	// waited for as long as a list may be old. Else but a moment.
	patience := time.Second
	if fence == statemachine.RefuseWork {
		patience = max(cfg.Dispatch.ListRefreshInterval, patience)
	}
	n.starts = coldstart.NewClient(n.deskNow, patience+backoff.BeforeFirstCall(cfg.Dispatch.DispatcherCount, rand.Float64()))
	if kept := hotrestart.OpenPolicyFile(dir, cfg.Name); fence == statemachine.KeepLastPolicy {
		if p, ok := n.lastPolicy(kept); ok {
			half.RestorePolicy(p)
			log.Printf("policy: version %d (%.12s) of the process before, until the keepers are asked", p.Version, p.Digest)
		}
		apply = func(p statemachine.Policy) error {
			text, err := statemachine.Encode(p)
			if err == nil {
				err = n.takePolicy(p)
			}
			if err != nil {
				return err
			}
			if err := kept.Save(text); err != nil {
				log.Printf("policy: version %d is not kept for the next process: %v", p.Version, err)
			}
			return nil
		}
	}
	var carrier *relayedlist.Relay
	hooks := transport.Hooks{
		CheckPolicy: func(p statemachine.Policy) error { _, err := n.weigh(p); return err },
		ApplyPolicy: apply, Log: func(s string) { log.Print(s) },
		QuotaRequests: func() []quota.Request {
			n.desk.ObserveBusiestWorker(int64(n.broker.BusiestWorkerInFlight()))
			n.broker.RefreshWorkerLimits()
			return n.desk.Requests(n.deskNow())
		},
		QuotaGranted: func(until time.Duration, parts []quota.Share) {
			n.desk.SetShares(n.deskNow(), until, parts)
			n.broker.RefreshWorkerLimits()
		},
		Zone: cfg.Dispatch.Zone, ColdStartRequest: n.starts.NextRequest, ListMark: n.starts.Watermark,
		ColdStartGranted: func(asked, until time.Duration, w *coldstart.Response) {
			list, speeds := n.starts.HandleResponse(asked, until, w)
			carrier.Apply(list)
			if speeds != nil {
				n.broker.Restore(speeds.Encode())
				log.Printf("speeds: told of %d kinds and %d classes by the fleet", len(speeds.Kinds), len(speeds.Classes))
			}
		},
		ListReceived:   func(u *relay.Update) { carrier.Apply(n.starts.HandleUpdate(u)) },
		QuotaExhausted: func() bool { return n.desk.Exhausted() || n.starts.Urgent() || n.judged.Load() && n.witness.Urgent() },
		AddReports: func(hold *statemachine.LeaseRequest) {
			if n.judged.Load() {
				hold.WorkerCount, hold.OutlierReports = n.broker.ListedWorkers(), n.witness.Reports(n.deskNow())
			}
		},
		ReportsUndelivered: n.witness.Undelivered,
		VerdictsReceived:   n.heardVerdicts, ClaimLeaseRenewed: more.ClaimLeaseRenewed, StepsReady: more.StepsReady}
	n.holder = transport.NewLeaseSession(transport.NewClient(cfg.Coordinators.Fleet, cfg.Coordinators.Addresses), half, began, hooks)
	carrier = relayedlist.New(cfg.Name, cfg.Dispatch.Zone, n.starts, n.table, n.holder, func(s string) { log.Print(s) })
	n.table.EnableSharing(n.starts, carrier.Publish)
	n.reader.SetAdmissionGate(func() (uint64, time.Time, bool) {
		held, at := n.holder.Admits()
		return held.Version, at, held.Allowed
	})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	n.release = func() { stop(); <-over }
	go func() {
		defer close(over)
		n.holder.Run(ctx)
	}()
	go carrier.Run(ctx)
	go n.learn(ctx)
	go n.flows.Run(ctx)
}

// learnEvery is how often the fleet is told what this dispatcher knows of speeds.
const learnEvery = 5 * time.Second

// learn says what the module has learned, for those that start with nothing.
func (n *node) learn(ctx context.Context) {
	tick := time.NewTicker(learnEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n.starts.Enabled() {
				n.starts.SetLearnedSpeeds(speeds.Decode(n.broker.Snapshot(200 * time.Millisecond)))
			}
		case <-ctx.Done():
			return
		}
	}
}

// heardVerdicts takes in the verdicts that hold here, until then.
func (n *node) heardVerdicts(until time.Duration, all []outlier.EjectionNotice, accused []outlier.Incarnation, news bool) {
	if !n.judged.Load() {
		return
	}
	own := slices.DeleteFunc(slices.Clone(all), func(v outlier.EjectionNotice) bool {
		return v.Zone != outlier.AllZones && v.Zone != n.cfg.Dispatch.Zone
	})
	n.witness.Reinstated(n.verdicts, own)
	n.verdicts = own
	n.broker.ApplyEjections(own, news)
	if !news {
		n.witness.SetSuspects(accused)
	}
	n.stale.Reset(timers.Positive(until - n.deskNow()))
}

// lastPolicy takes up the policy that the process before ran by, if there is one.
func (n *node) lastPolicy(kept *hotrestart.PolicyFile) (p statemachine.Policy, ok bool) {
	text, err := kept.Read()
	if err == nil && len(text) > 0 {
		if err = statemachine.Decode(text, &p); err == nil {
			err = n.takePolicy(p)
		}
		ok = err == nil
	}
	if err != nil {
		log.Printf("policy: that of the process before is left out: %v", err)
	}
	return p, ok
}

package main

import (
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/gateway/hotrestart"
	"yardflow/internal/gateway/relayedlist"
	"yardflow/internal/gateway/workflowsteps"
	"yardflow/internal/platform/timers"
)

const (
	// learnedSpeedsInterval is how often the fleet gets what this dispatcher has learned
	// of the workers' speeds, for those that start with nothing.
	learnedSpeedsInterval = 5 * time.Second
	// snapshotTimeout bounds the wait for the broker's learned state.
	snapshotTimeout = 200 * time.Millisecond
	// coordinatorWait is how long a start waits for the coordinators at the least before
	// it goes on without a turn at the list service or a relayed list.
	coordinatorWait = time.Second
)

// fleetMember is the node's part in what its fleet agrees on by way of the coordinators:
// the policy, quotas, ejections of workers, cold starts and workflows. Its session's
// goroutine calls the methods that are hooks, one at a time.
type fleetMember struct {
	node  *node
	began time.Time // now is measured from it

	session  *transport.LeaseSession // holds the lease for the policy
	limiter  *quota.Limiter          // of the fleet's limits
	reporter *outlier.Reporter
	// coldStart takes turns at the list service and handles the relayed list.
	coldStart *coldstart.Client
	relay     *relayedlist.Relay
	workflows *workflowsteps.Runner

	ejecting       atomic.Bool              // the policy in force has workers ejected
	ejections      []outlier.EjectionNotice // that hold here
	ejectionExpiry *time.Timer              // ends them if the lease is not renewed

	stop func() // gives the lease back, and returns once that is done
}

// now is the time on the fleet member's own clock, which begins at its start.
func (f *fleetMember) now() time.Duration { return time.Since(f.began) }

// joinFleet begins to hold a lease for the policy that the coordinators have in force.
// Until there is one nothing is admitted, or, under statemachine.KeepLastPolicy, what the
// policy of the process before admits. dir is the folder that keeps that policy.
func (n *node) joinFleet(dir string) {
	f := &fleetMember{node: n, began: time.Now()}
	n.fleet = f
	f.limiter = quota.NewLimiter()
	n.broker.SetLimiter(f.limiter, f.now)
	f.reporter = outlier.NewReporter(outlier.DefaultSettings().HalfLife, uint64(f.began.UnixNano()))
	f.reporter.SetHalfLife(0) // off until a policy asks for reports
	n.broker.SetOutlierReporter(f.reporter)
	// Set by each grant; an hour stands for never.
	f.ejectionExpiry = time.AfterFunc(time.Hour, func() { n.broker.ApplyEjections(nil, false) })

	cfg := n.cfg
	onLeaseLoss, _ := statemachine.ParseLeaseLossMode(cfg.Coordinators.OnLeaseLoss) // checked with the file
	lease := policylease.New(cfg.Name, uint64(time.Now().UnixNano()), fmt.Sprint("policies of form ", policy.FormatVersion()), onLeaseLoss)
	f.workflows = f.newWorkflowRunner(lease.Incarnation())
	// Where nothing is admitted without a lease no list is needed before one: then the
	// coordinators are waited for as long as a list may be old.
	wait := coordinatorWait
	if onLeaseLoss == statemachine.RefuseWork {
		wait = max(cfg.Dispatch.List.RefreshInterval, wait)
	}
	f.coldStart = coldstart.NewClient(f.now, wait+backoff.BeforeFirstCall(cfg.Dispatch.Fleet.Count, rand.Float64()))
	applyPolicy := f.applyPolicy
	if kept := hotrestart.OpenPolicyFile(dir, cfg.Name); onLeaseLoss == statemachine.KeepLastPolicy {
		if p, ok := f.restorePolicy(kept); ok {
			lease.RestorePolicy(p)
			log.Printf("policy: version %d (%.12s) of the process before, until the keepers are asked", p.Version, p.Digest)
		}
		applyPolicy = func(p statemachine.Policy) error { return f.applyAndKeepPolicy(p, kept) }
	}
	client := transport.NewClient(cfg.Coordinators.Fleet, cfg.Coordinators.Addresses)
	f.session = transport.NewLeaseSession(client, lease, f.began, f.hooks(applyPolicy))
	f.relay = relayedlist.New(cfg.Name, cfg.Dispatch.Fleet.Zone, f.coldStart, n.table, f.session, logLine)
	n.table.EnableSharing(f.coldStart, f.relay.Publish)
	n.requestReader.SetAdmissionGate(f.admission)
	f.run()
}

// run starts the member's goroutines; stop ends them.
func (f *fleetMember) run() {
	ctx, cancel := context.WithCancel(context.Background())
	released := make(chan struct{})
	f.stop = func() { cancel(); <-released }
	go func() {
		defer close(released)
		f.session.Run(ctx)
	}()
	go f.relay.Run(ctx)
	go f.shareLearnedSpeeds(ctx)
	go f.workflows.Run(ctx)
}

// admission is the admission gate: the version of the policy in force, and whether it
// admits requests now.
func (f *fleetMember) admission() (version uint64, at time.Time, allowed bool) {
	held, at := f.session.Admission()
	return held.Version, at, held.Allowed
}

// hooks are what the session calls: questions to the node, and notifications of it.
func (f *fleetMember) hooks(applyPolicy func(statemachine.Policy) error) transport.Hooks {
	return transport.Hooks{
		Log:         logLine,
		Zone:        f.node.cfg.Dispatch.Fleet.Zone,
		CheckPolicy: func(p statemachine.Policy) error { _, err := f.checkPolicy(p); return err },
		ApplyPolicy: applyPolicy,

		QuotaRequests:  f.quotaRequests,
		QuotaGranted:   f.quotaGranted,
		QuotaExhausted: f.urgent,

		ColdStartRequest: f.coldStart.NextRequest,
		ColdStartGranted: f.coldStartGranted,
		ListMark:         f.coldStart.Watermark,
		ListReceived:     func(u *relay.Update) { f.relay.Apply(f.coldStart.HandleUpdate(u)) },

		AddReports:         f.addReports,
		ReportsUndelivered: f.reporter.Undelivered,
		EjectionsReceived:  f.ejectionsReceived,

		ClaimLeaseRenewed: f.workflows.RenewLease,
		StepsReady:        f.workflows.NotifyReady,
	}
}

// urgent reports whether the session should renew its lease sooner than usual.
func (f *fleetMember) urgent() bool {
	return f.limiter.Exhausted() || f.coldStart.Urgent() || f.ejecting.Load() && f.reporter.Urgent()
}

func (f *fleetMember) quotaRequests() []quota.Request {
	f.limiter.ObserveBusiestWorker(int64(f.node.broker.BusiestWorkerInFlight()))
	f.node.broker.RefreshWorkerLimits()
	return f.limiter.Requests(f.now())
}

func (f *fleetMember) quotaGranted(until time.Duration, shares []quota.Share) {
	f.limiter.SetShares(f.now(), until, shares)
	f.node.broker.RefreshWorkerLimits()
}

func (f *fleetMember) coldStartGranted(asked, until time.Duration, r *coldstart.Response) {
	list, learned := f.coldStart.HandleResponse(asked, until, r)
	f.relay.Apply(list)
	if learned != nil {
		f.node.broker.Restore(learned.Encode())
		log.Printf("speeds: told of %d kinds and %d classes by the fleet", len(learned.Kinds), len(learned.Classes))
	}
}

func (f *fleetMember) addReports(r *statemachine.LeaseRequest) {
	if f.ejecting.Load() {
		r.WorkerCount, r.OutlierReports = f.node.broker.ListedWorkers(), f.reporter.Reports(f.now())
	}
}

// ejectionsReceived applies the ejections that hold in this zone, until the lease ends.
// news is set where only notices and no suspects came.
func (f *fleetMember) ejectionsReceived(until time.Duration, all []outlier.EjectionNotice, suspects []outlier.Incarnation, news bool) {
	if !f.ejecting.Load() {
		return
	}
	own := slices.DeleteFunc(slices.Clone(all), func(e outlier.EjectionNotice) bool {
		return e.Zone != outlier.AllZones && e.Zone != f.node.cfg.Dispatch.Fleet.Zone
	})
	f.reporter.Reinstated(f.ejections, own)
	f.ejections = own
	f.node.broker.ApplyEjections(own, news)
	if !news {
		f.reporter.SetSuspects(suspects)
	}
	f.ejectionExpiry.Reset(timers.Positive(until - f.now()))
}

// shareLearnedSpeeds passes on what the decision module has learned, until ctx ends.
func (f *fleetMember) shareLearnedSpeeds(ctx context.Context) {
	tick := time.NewTicker(learnedSpeedsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if f.coldStart.Enabled() {
				f.coldStart.SetLearnedSpeeds(speeds.Decode(f.node.broker.Snapshot(snapshotTimeout)))
			}
		case <-ctx.Done():
			return
		}
	}
}

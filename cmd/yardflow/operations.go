package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"yardflow/scheduling/dispatch"
)

var errStarting = errors.New("starting")

// reservationsTimeout bounds the wait for the broker's answer to a call.
const reservationsTimeout = 500 * time.Millisecond

// operations are a node's console.Operations. Until the node serves they must not touch
// its parts, which are being made.
type operations struct{ node *node }

// Ready reports why requests are not admitted, if they are not.
func (o operations) Ready() error {
	switch {
	case !o.node.serving.Load():
		return errStarting
	case o.node.frontend.Draining():
		return errors.New("stopping")
	case !o.node.requestReader.Admitting():
		return errors.New("no policy is in force here: ask with policy")
	}
	return nil
}

// Exclude takes a loan worker out.
func (o operations) Exclude(id string) error { return o.node.ban(id, true) }

// Include takes a loan worker back in.
func (o operations) Include(id string) error { return o.node.ban(id, false) }

// DescribeSources describes the sources of loan workers, and by which list the node serves.
func (o operations) DescribeSources() (string, error) {
	if !o.node.serving.Load() {
		return "", errStarting
	}
	return o.node.sources.Describe() + "; by the " + o.node.table.DescribeList(), nil
}

// DescribeReservations describes the slots reserved for large jobs.
func (o operations) DescribeReservations() (string, error) {
	if !o.node.serving.Load() {
		return "", errStarting
	}
	held, err := o.node.broker.Reservations(reservationsTimeout)
	if err != nil {
		return "", err
	}
	out := []string{fmt.Sprintf("%d held, %.2f%% of the slot time idle by it; since the start %d made, %d used, %d lapsed, %d jobs backfilled, %d kept waiting",
		len(held.Reservations), 100*held.IdleShare, held.Created, held.Fulfilled, held.Expired, held.Backfilled, held.Delayed)}
	clock := func(at time.Duration) string { return o.node.broker.WallTime(at).UTC().Format("15:04:05.000") }
	for _, r := range held.Reservations {
		out = append(out, fmt.Sprintf("%v slots at %s for job %d since %s, free by %s, until %s, %.1f slot seconds idle", r.Slots,
			o.node.broker.WorkerName(dispatch.WorkerID(r.Worker)), r.Job, clock(r.CreatedAt), clock(r.ShadowTime), clock(r.ExpiresAt), r.IdleSlotSeconds))
	}
	return strings.Join(out, "; "), nil
}

// DescribePolicy describes the policy in force here.
func (o operations) DescribePolicy() (string, error) {
	switch {
	case !o.node.serving.Load():
		return "", errStarting
	case o.node.fleet == nil:
		return "", errors.New("no keepers are named: [keepers] has no addresses")
	}
	return o.node.fleet.session.Describe(), nil
}

// DescribeWorker describes what each source reports of a worker.
func (o operations) DescribeWorker(name string) (string, error) {
	if !o.node.serving.Load() {
		return "", errStarting
	}
	return o.node.sources.DescribeWorker(name)
}

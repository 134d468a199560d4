package main

// This file owns what operators may ask of the node at the console.

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"yardflow/scheduling/dispatch"
)

var errStarting = errors.New("starting")

// door is what operators may ask of a node.
type door struct{ n *node }

func (d door) Ready() error {
	switch {
	case !d.n.serving.Load(): // until then the node's parts are not to be touched
		return errStarting
	case d.n.front.Draining():
		return errors.New("stopping")
	case !d.n.reader.Admitting():
		return errors.New("no policy is in force here: ask with policy")
	}
	return nil
}

func (d door) Exclude(id string) error { return d.n.ban(id, true) }
func (d door) Include(id string) error { return d.n.ban(id, false) }

func (d door) DescribeSources() (string, error) {
	if !d.n.serving.Load() {
		return "", errStarting
	}
	return d.n.sources.Describe() + "; by the " + d.n.table.DescribeList(), nil
}

func (d door) DescribeReservations() (string, error) {
	if !d.n.serving.Load() {
		return "", errStarting
	}
	held, err := d.n.broker.Reservations(500 * time.Millisecond)
	if err != nil {
		return "", err
	}
	out := []string{fmt.Sprintf("%d held, %.2f%% of the slot time idle by it; since the start %d made, %d used, %d lapsed, %d jobs backfilled, %d kept waiting",
		len(held.Reservations), 100*held.IdleShare, held.Created, held.Fulfilled, held.Expired, held.Backfilled, held.Delayed)}
	clock := func(at time.Duration) string { return d.n.broker.WallTime(at).UTC().Format("15:04:05.000") }
	for _, r := range held.Reservations {
		out = append(out, fmt.Sprintf("%v slots at %s for job %d since %s, free by %s, until %s, %.1f slot seconds idle", r.Slots,
			d.n.broker.WorkerName(dispatch.WorkerID(r.Worker)), r.Job, clock(r.CreatedAt), clock(r.ShadowTime), clock(r.ExpiresAt), r.IdleSlotSeconds))
	}
	return strings.Join(out, "; "), nil
}

func (d door) DescribePolicy() (string, error) {
	switch {
	case !d.n.serving.Load():
		return "", errStarting
	case d.n.holder == nil:
		return "", errors.New("no keepers are named: [keepers] has no addresses")
	}
	return d.n.holder.Describe(), nil
}

func (d door) DescribeWorker(name string) (string, error) {
	if !d.n.serving.Load() {
		return "", errStarting
	}
	return d.n.sources.DescribeWorker(name)
}

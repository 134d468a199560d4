package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// watchTime is how long one call waits for the state to change while a proposal is
// followed.
const watchTime = time.Second

// propose checks a policy, prints what it changes, and, unless it is a dry run, proposes
// it and follows the change to its end. from names the text in errors.
func (c *cli) propose(out io.Writer, from string, text []byte, p statemachine.Proposal, dryRun bool) error {
	doc, err := policy.Parse(text)
	if err != nil {
		return usageError("%s: %w", from, err)
	}
	return c.withClient(func(ctx context.Context, client *transport.Client) error {
		s, _, err := fetchState(ctx, client)
		if err != nil {
			return err
		}
		inForce, err := policy.Parse(s.CurrentPolicy().Text)
		if err != nil {
			return notDone("the policy in force can't be read by this program: %v", err)
		}
		for _, line := range inForce.Diff(doc) {
			fmt.Fprintln(out, line)
		}
		if dryRun {
			return nil
		}
		if err := completeProposal(&p, s, doc, text); err != nil {
			return err
		}
		if _, err := submit(ctx, client, statemachine.Command{Proposal: &p}); err != nil {
			return err
		}
		return c.follow(ctx, client, out, p.ID)
	})
}

// completeProposal fills in what follows from a policy's text and from the state. A
// proposal without an id gets one that differs after each change that has ended.
func completeProposal(p *statemachine.Proposal, s *statemachine.State, doc policy.Document, text []byte) (err error) {
	if p.ID == "" {
		p.ID = fmt.Sprintf("%.8s-%d", statemachine.Digest(text), s.Revision)
	}
	p.Text, p.BaseVersion = text, s.CurrentPolicy().Version
	if p.Limits, err = doc.QuotaLimits(); err != nil {
		return &exitError{exitUsage, err}
	}
	p.OutlierSettings, p.ColdStart, p.Workflows, p.Pools = doc.OutlierSettings(), doc.ColdStartSettings(), doc.Templates(), doc.PoolNames()
	return nil
}

// follow prints how far a change is, a line for each step, until it has ended.
func (c *cli) follow(ctx context.Context, client *transport.Client, out io.Writer, id string) error {
	printed := ""
	for {
		s, _, err := fetchState(ctx, client)
		switch {
		case err != nil && printed != "":
			return notDone("change %s goes on, and is not followed after %v: policy status tells", id, c.timeout)
		case err != nil:
			return err
		case s.Change == nil || s.Change.ID != id:
			return notDone("another change has followed: see policy history")
		}
		line := fmt.Sprintf("%v; %d of %d dispatchers have said that they could run it", s.Change.Stage, len(s.Change.Votes), len(s.ActiveHolders())) + waitingFor(s)
		if line != printed {
			fmt.Fprintln(out, line)
			printed = line
		}
		switch s.Change.Stage {
		case statemachine.InForce:
			fmt.Fprintf(out, "version %d in force from revision %d\n", s.Change.Policy.Version, s.Change.Policy.Revision)
			return nil
		case statemachine.Withdrawn:
			return notDone("withdrawn: %s", s.Change.Reason)
		}
		// An error only means that the next look comes sooner.
		_, _ = client.Watch(ctx, s.Revision, s.CurrentPolicy().Version, watchTime)
	}
}

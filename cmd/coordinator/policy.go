package main

// This file owns the staff's calls on policies: what is in force, and a change followed to its end.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

func (c *calls) policyCommand() *cobra.Command {
	p := &cobra.Command{Use: "policy", Short: "policies: what is in force, and changes of it"}
	var who, why, id string
	var dry, without bool
	propose := &cobra.Command{Use: "propose FILE", Short: "have a policy put in force", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return &coded{exitUsage, err}
		}
		return c.propose(cmd.OutOrStdout(), args[0], text, statemachine.Proposal{ID: id, Author: who, Reason: why, SkipUnresponsive: without}, dry)
	}}
	back := &cobra.Command{Use: "back VERSION", Short: "have an earlier version put in force again, as a change like any other", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		n, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return &coded{exitUsage, fmt.Errorf("%q: expected a version's number", args[0])}
		}
		var text []byte
		if err := c.look(func(s *statemachine.State, _ uint64) error {
			old, ok := s.PolicyByVersion(n)
			if !ok {
				return notDone("version %d is not remembered", n)
			}
			text = old.Text
			return nil
		}); err != nil {
			return err
		}
		return c.propose(cmd.OutOrStdout(), "version "+args[0], text, statemachine.Proposal{ID: id, Author: who, Reason: "back to version " + args[0] + ": " + why, SkipUnresponsive: without}, dry)
	}}
	for _, f := range []*cobra.Command{propose, back} {
		f.Flags().StringVar(&who, "who", os.Getenv("USER"), "who asks for it")
		f.Flags().StringVar(&why, "why", "", "and why")
		f.Flags().StringVar(&id, "id", "", "the change's name; asking twice by the same is asking once")
		f.Flags().BoolVar(&dry, "dry-run", false, "check it, and say what it would change")
		f.Flags().BoolVar(&without, "without-silent", false, "do without dispatchers that say nothing, once their leases have ended")
	}
	withdraw := &cobra.Command{Use: "withdraw ID", Short: "end a change that is not closing yet", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return c.call(func(ctx context.Context, cl *transport.Client) error {
			_, err := c.do(ctx, cl, statemachine.Command{Withdrawal: &statemachine.Withdrawal{ID: args[0], Author: who, Reason: why}})
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "withdrawn")
			}
			return err
		})
	}}
	withdraw.Flags().StringVar(&who, "who", os.Getenv("USER"), "who asks for it")
	withdraw.Flags().StringVar(&why, "why", "", "and why")
	show := func(use, short string, f func(out io.Writer, s *statemachine.State) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return c.look(func(s *statemachine.State, _ uint64) error { return f(cmd.OutOrStdout(), s) })
		}}
	}
	p.AddCommand(propose, back, withdraw,
		show("status", "the change under way, and what holds it up", func(out io.Writer, s *statemachine.State) error {
			if c.json {
				return json.NewEncoder(out).Encode(map[string]any{"in_force": s.CurrentPolicy(), "change": s.Change, "waits_for": s.WaitingFor()})
			}
			describe(out, s)
			return nil
		}),
		show("show", "the text in force", func(out io.Writer, s *statemachine.State) error {
			_, err := out.Write(s.CurrentPolicy().Text)
			return err
		}),
		show("history", "the versions remembered", func(out io.Writer, s *statemachine.State) error {
			if c.json {
				return json.NewEncoder(out).Encode(s.Policies)
			}
			for _, p := range s.Policies {
				fmt.Fprintf(out, "%d  revision %d  %.12s  %s: %s\n", p.Version, p.Revision, p.Digest, p.Author, p.Reason)
			}
			return nil
		}))
	return p
}

// propose checks a policy, asks for it, and follows it to its end.
func (c *calls) propose(out io.Writer, from string, text []byte, p statemachine.Proposal, dry bool) error {
	doc, err := policy.Parse(text)
	if err != nil {
		return &coded{exitUsage, fmt.Errorf("%s: %w", from, err)}
	}
	return c.call(func(ctx context.Context, cl *transport.Client) error {
		return c.follow(ctx, cl, out, doc, text, p, dry)
	})
}

// follow asks for the change, and says how far it is until it has ended.
func (c *calls) follow(ctx context.Context, cl *transport.Client, out io.Writer, doc policy.Document, text []byte, p statemachine.Proposal, dry bool) error {
	s, _, err := c.state(ctx, cl)
	if err != nil {
		return err
	}
	now, err := policy.Parse(s.CurrentPolicy().Text)
	if err != nil {
		return notDone("the policy in force can't be read by this program: %v", err)
	}
	for _, line := range now.Diff(doc) {
		fmt.Fprintln(out, line)
	}
	if dry {
		return nil
	}
	if p.ID == "" {
		p.ID = fmt.Sprintf("%.8s-%d", statemachine.Digest(text), s.Revision) // another after each change that ended
	}
	p.Text, p.BaseVersion = text, s.CurrentPolicy().Version
	if p.Limits, err = doc.QuotaLimits(); err != nil {
		return &coded{exitUsage, err}
	}
	p.OutlierSettings, p.ColdStart, p.Workflows, p.Pools = doc.OutlierSettings(), doc.ColdStartSettings(), doc.Templates(), doc.PoolNames()
	if _, err := c.do(ctx, cl, statemachine.Command{Proposal: &p}); err != nil {
		return err
	}
	said := ""
	for {
		if s, _, err = c.state(ctx, cl); err != nil && said != "" {
			return notDone("change %s goes on, and is not followed after %v: policy status tells", p.ID, c.within)
		} else if err != nil {
			return err
		}
		if s.Change == nil || s.Change.ID != p.ID {
			return notDone("another change has followed: see policy history")
		}
		line := fmt.Sprintf("%v; %d of %d dispatchers have said that they could run it", s.Change.Stage, len(s.Change.Votes), len(s.ActiveHolders()))
		if up := s.WaitingFor(); len(up) > 0 {
			line += "; waits for " + strings.Join(up, ", ")
		}
		if line != said {
			fmt.Fprintln(out, line)
			said = line
		}
		switch s.Change.Stage {
		case statemachine.InForce:
			fmt.Fprintf(out, "version %d in force from revision %d\n", s.Change.Policy.Version, s.Change.Policy.Revision)
			return nil
		case statemachine.Withdrawn:
			return notDone("withdrawn: %s", s.Change.Reason)
		}
		cl.Watch(ctx, s.Revision, s.CurrentPolicy().Version, time.Second)
	}
}

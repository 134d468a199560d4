package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

func newPolicyCommand(c *cli) *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "policies: what is in force, and changes of it"}
	cmd.AddCommand(
		newPolicyProposeCommand(c),
		newPolicyBackCommand(c),
		newPolicyWithdrawCommand(c),
		newPolicyViewCommand(c, "status", "the change under way, and what holds it up", c.printPolicyStatus),
		newPolicyViewCommand(c, "show", "the text in force", func(out io.Writer, s *statemachine.State) error {
			_, err := out.Write(s.CurrentPolicy().Text)
			return err
		}),
		newPolicyViewCommand(c, "history", "the versions remembered", c.printPolicyHistory),
	)
	return cmd
}

// proposalFlags are the flags of commands that propose a policy.
type proposalFlags struct {
	author, reason, id string
	dryRun             bool
	skipUnresponsive   bool
}

func (f *proposalFlags) register(cmd *cobra.Command) {
	registerAuthor(cmd, &f.author, &f.reason)
	cmd.Flags().StringVar(&f.id, "id", "", "the change's name; asking twice by the same is asking once")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "check it, and say what it would change")
	cmd.Flags().BoolVar(&f.skipUnresponsive, "without-silent", false, "do without dispatchers that say nothing, once their leases have ended")
}

// registerAuthor registers the flags that say who makes a change, and why.
func registerAuthor(cmd *cobra.Command, author, reason *string) {
	cmd.Flags().StringVar(author, "who", os.Getenv("USER"), "who asks for it")
	cmd.Flags().StringVar(reason, "why", "", "and why")
}

func (f *proposalFlags) proposal() statemachine.Proposal {
	return statemachine.Proposal{ID: f.id, Author: f.author, Reason: f.reason, SkipUnresponsive: f.skipUnresponsive}
}

func newPolicyProposeCommand(c *cli) *cobra.Command {
	var flags proposalFlags
	cmd := &cobra.Command{
		Use:   "propose FILE",
		Short: "have a policy put in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return c.propose(cmd.OutOrStdout(), args[0], text, flags.proposal(), flags.dryRun)
		},
	}
	flags.register(cmd)
	return cmd
}

func newPolicyBackCommand(c *cli) *cobra.Command {
	var flags proposalFlags
	cmd := &cobra.Command{
		Use:   "back VERSION",
		Short: "have an earlier version put in force again, as a change like any other",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError("%q: expected a version's number", args[0])
			}
			text, err := c.policyText(version)
			if err != nil {
				return err
			}
			p := flags.proposal()
			p.Reason = "back to version " + args[0] + ": " + p.Reason
			return c.propose(cmd.OutOrStdout(), "version "+args[0], text, p, flags.dryRun)
		},
	}
	flags.register(cmd)
	return cmd
}

// policyText returns the text of a version that the coordinators remember.
func (c *cli) policyText(version uint64) (text []byte, err error) {
	err = c.withState(func(s *statemachine.State, _ uint64) error {
		p, ok := s.PolicyByVersion(version)
		if !ok {
			return notDone("version %d is not remembered", version)
		}
		text = p.Text
		return nil
	})
	return text, err
}

func newPolicyWithdrawCommand(c *cli) *cobra.Command {
	var author, reason string
	cmd := &cobra.Command{
		Use:   "withdraw ID",
		Short: "end a change that is not closing yet",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withClient(func(ctx context.Context, client *transport.Client) error {
				_, err := submit(ctx, client, statemachine.Command{Withdrawal: &statemachine.Withdrawal{ID: args[0], Author: author, Reason: reason}})
				if err == nil {
					fmt.Fprintln(cmd.OutOrStdout(), "withdrawn")
				}
				return err
			})
		},
	}
	registerAuthor(cmd, &author, &reason)
	return cmd
}

// newPolicyViewCommand makes a command that prints something of the coordinators' state.
func newPolicyViewCommand(c *cli, use, short string, print func(out io.Writer, s *statemachine.State) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withState(func(s *statemachine.State, _ uint64) error { return print(cmd.OutOrStdout(), s) })
		},
	}
}

func (c *cli) printPolicyStatus(out io.Writer, s *statemachine.State) error {
	if c.json {
		return writeJSON(out, map[string]any{"in_force": s.CurrentPolicy(), "change": s.Change, "waits_for": s.WaitingFor()})
	}
	printChange(out, s)
	return nil
}

func (c *cli) printPolicyHistory(out io.Writer, s *statemachine.State) error {
	if c.json {
		return writeJSON(out, s.Policies)
	}
	for _, p := range s.Policies {
		fmt.Fprintf(out, "%d  revision %d  %.12s  %s: %s\n", p.Version, p.Revision, p.Digest, p.Author, p.Reason)
	}
	return nil
}

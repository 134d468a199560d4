package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// promoteRetryDelay is how often a learner that is not up to date yet is proposed anew.
const promoteRetryDelay = 200 * time.Millisecond

func newMembersCommand(c *cli) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "members",
		Short: "the keepers: who they are, and how far",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withClient(func(ctx context.Context, client *transport.Client) error {
				members, err := fetchMembers(ctx, client)
				if err != nil {
					return err
				}
				if c.json {
					return writeJSON(cmd.OutOrStdout(), members)
				}
				return printMembers(cmd.OutOrStdout(), members)
			})
		},
	}
	cmd.AddCommand(newMembersAddCommand(c), newMembersRemoveCommand(c))
	return cmd
}

func printMembers(out io.Writer, members []statemachine.Member) error {
	w := newTable(out)
	fmt.Fprintln(w, "keeper\taddress\tis\tanswers\tentries behind")
	for _, m := range members {
		role := "member"
		if m.Leader {
			role = "leads"
		} else if m.Learner {
			role = "learner"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%d\n", m.ID, m.Addr, role, m.Active, m.EntriesBehind)
	}
	return w.Flush()
}

func newMembersAddCommand(c *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "add ID ADDRESS",
		Short: "take in one that runs with --join, as a learner until it has all",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := parseMemberID(args[0])
			if err != nil {
				return err
			}
			return c.withClient(func(ctx context.Context, client *transport.Client) error {
				return addMember(ctx, client, cmd.OutOrStdout(), id, args[1])
			})
		},
	}
}

// addMember adds a learner, and promotes it once it is up to date.
func addMember(ctx context.Context, client *transport.Client, out io.Writer, id uint64, addr string) error {
	r, err := changeMembers(ctx, client, "learn", id, addr)
	if err == nil && r.Err != "" {
		err = notDone("%s", r.Err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "keeper %d learns\n", id)
	for {
		r, err := changeMembers(ctx, client, "promote", id, "")
		if err != nil {
			return err
		}
		if r.Err == "" {
			fmt.Fprintf(out, "keeper %d is a member\n", id)
			return nil
		}
		select {
		case <-time.After(promoteRetryDelay):
		case <-ctx.Done():
			return notDone("%s; ask again for the rest", r.Err)
		}
	}
}

func newMembersRemoveCommand(c *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "remove ID",
		Short: "take one out for good",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := parseMemberID(args[0])
			if err != nil {
				return err
			}
			return c.withClient(func(ctx context.Context, client *transport.Client) error {
				r, err := changeMembers(ctx, client, "remove", id, "")
				switch {
				case err != nil:
					return err
				case r.Err != "":
					return notDone("%s", r.Err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "keeper %d is none any more\n", id)
				return nil
			})
		},
	}
}

func parseMemberID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usageError("%q: expected a member's number, 1 and up", text)
	}
	return id, nil
}

// changeMembers asks for one change of the membership. A change that the coordinators
// reject is in the result's Err.
func changeMembers(ctx context.Context, client *transport.Client, change string, id uint64, addr string) (r statemachine.Result, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		r, err = client.ChangeMembers(ctx, change, id, addr)
		return err
	})
	if err != nil {
		return r, &exitError{exitNoAnswer, err}
	}
	return r, nil
}

// fetchMembers asks the coordinators in turn, until the one that leads is found.
func fetchMembers(ctx context.Context, client *transport.Client) (members []statemachine.Member, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		members, err = client.Members(ctx)
		return err
	})
	if err != nil {
		return nil, &exitError{exitNoAnswer, err}
	}
	return members, nil
}

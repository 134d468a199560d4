package main

// This file owns the staff's calls that take keepers in and out.

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

func (c *calls) membersCommand() *cobra.Command {
	m := &cobra.Command{Use: "members", Short: "the keepers: who they are, and how far", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return c.call(func(ctx context.Context, cl *transport.Client) error {
			all, err := c.members(ctx, cl)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if c.json {
				return json.NewEncoder(out).Encode(all)
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "keeper\taddress\tis\tanswers\tentries behind")
			for _, k := range all {
				is := "member"
				if k.Leader {
					is = "leads"
				} else if k.Learner {
					is = "learner"
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%d\n", k.ID, k.Addr, is, k.Active, k.EntriesBehind)
			}
			return w.Flush()
		})
	}}
	step := func(ctx context.Context, cl *transport.Client, what string, id uint64, addr string) (r statemachine.Result, err error) {
		err = transport.Retry(ctx, func(ctx context.Context) error {
			r, err = cl.ChangeMembers(ctx, what, id, addr)
			return err
		})
		if err != nil {
			return r, &coded{exitNoAnswer, err}
		}
		return r, nil
	}
	number := func(s string) (uint64, error) {
		id, err := strconv.ParseUint(s, 10, 64)
		if err != nil || id == 0 {
			return 0, &coded{exitUsage, fmt.Errorf("%q: expected a member's number, 1 and up", s)}
		}
		return id, nil
	}
	add := &cobra.Command{Use: "add ID ADDRESS", Short: "take in one that runs with --join, as a learner until it has all", Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
		id, err := number(args[0])
		if err != nil {
			return err
		}
		return c.call(func(ctx context.Context, cl *transport.Client) error {
			out := cmd.OutOrStdout()
			r, err := step(ctx, cl, "learn", id, args[1])
			if err == nil && r.Err != "" {
				err = notDone("%s", r.Err)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "keeper %d learns\n", id)
			for {
				if r, err = step(ctx, cl, "promote", id, ""); err != nil {
					return err
				}
				if r.Err == "" {
					fmt.Fprintf(out, "keeper %d is a member\n", id)
					return nil
				}
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
					return notDone("%s; ask again for the rest", r.Err)
				}
			}
		})
	}}
	remove := &cobra.Command{Use: "remove ID", Short: "take one out for good", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		id, err := number(args[0])
		if err != nil {
			return err
		}
		return c.call(func(ctx context.Context, cl *transport.Client) error {
			r, err := step(ctx, cl, "remove", id, "")
			switch {
			case err != nil:
				return err
			case r.Err != "":
				return notDone("%s", r.Err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "keeper %d is none any more\n", id)
			return nil
		})
	}}
	m.AddCommand(add, remove)
	return m
}

// members asks for the keepers' members, until the one that leads is found.
func (c *calls) members(ctx context.Context, cl *transport.Client) (all []statemachine.Member, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		all, err = cl.Members(ctx)
		return err
	})
	if err != nil {
		return nil, &coded{exitNoAnswer, err}
	}
	return all, nil
}

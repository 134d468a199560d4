package main

// This file owns staff's and callers' way to workflows: submit, show, cancel, settle. It must never
// say that a flow was taken before a majority of the keepers has it.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/expansion"
)

func (c *calls) flowCommand() *cobra.Command {
	f := &cobra.Command{Use: "flow", Short: "workflows: submitted, shown, cancelled, settled"}
	f.AddCommand(c.flowSubmit(), c.flowShow(), c.flowCancel(), c.flowSettle())
	return f
}

// flow has one command on workflows carried out.
func (c *calls) flow(f func(a claims.Answer) error, cmd claims.Command) error {
	return c.call(func(ctx context.Context, cl *transport.Client) error {
		r, err := c.do(ctx, cl, statemachine.Command{Workflow: &cmd})
		if err != nil {
			return err
		}
		if r.Workflow == nil {
			return notDone("the keepers are of an older program: they know no workflows")
		}
		return f(*r.Workflow)
	})
}

func (c *calls) flowSubmit() *cobra.Command {
	var key, who string
	var lists, counts, moments []string
	cmd := &cobra.Command{Use: "submit TEMPLATE", Short: "have a workflow begin; by the same key asked twice it is asked once", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		s := &claims.Submission{Key: key, Template: args[0], Submitter: who, Inputs: map[string]expansion.Input{}, Moments: map[string]time.Duration{}}
		err := errors.Join(
			pairs(lists, func(name, text string) error {
				items, err := list(text)
				s.Inputs[name] = expansion.Input{Items: items}
				return err
			}),
			pairs(counts, func(name, text string) error {
				n, err := strconv.Atoi(text)
				s.Inputs[name] = expansion.Input{Count: n}
				return err
			}),
			pairs(moments, func(name, text string) error {
				d, err := moment(text)
				s.Moments[name] = d
				return err
			}))
		if err != nil {
			return &coded{exitUsage, err}
		}
		return c.flow(func(a claims.Answer) error {
			if a.AlreadySubmitted {
				fmt.Fprintf(cmd.OutOrStdout(), "%s was submitted before\n", key)
			} else {
				fmt.Fprintf(cmd.OutOrStdout(), "%s submitted\n", key)
			}
			return nil
		}, claims.Command{Submit: s})
	}}
	cmd.Flags().StringVar(&key, "key", "", "the flow's name, chosen by who submits it")
	cmd.Flags().StringVar(&who, "who", os.Getenv("USER"), "who asks for it")
	cmd.Flags().StringArrayVar(&lists, "input", nil, "NAME=a,b,c or NAME=@FILE, an item a line: the items of a fan-out")
	cmd.Flags().StringArrayVar(&counts, "count", nil, "NAME=N: a fan-out over so many numbers, from 0")
	cmd.Flags().StringArrayVar(&moments, "moment", nil, "NAME=1h or NAME=2026-12-24T08:00:00Z: what steps wait for")
	cmd.MarkFlagRequired("key")
	return cmd
}

// pairs reads words of the form NAME=TEXT.
func pairs(words []string, f func(name, text string) error) error {
	for _, w := range words {
		name, text, ok := strings.Cut(w, "=")
		if !ok || name == "" {
			return fmt.Errorf("%q: expected NAME=...", w)
		}
		if err := f(name, text); err != nil {
			return fmt.Errorf("%s: %w", w, err)
		}
	}
	return nil
}

func list(text string) ([]string, error) {
	file, ok := strings.CutPrefix(text, "@")
	if !ok {
		return strings.Split(text, ","), nil
	}
	b, err := os.ReadFile(file)
	return strings.Split(strings.TrimSpace(string(b)), "\n"), err
}

// moment is how long it is until then.
func moment(text string) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return time.Until(at), err
}

func (c *calls) flowShow() *cobra.Command {
	return &cobra.Command{Use: "show [KEY]", Short: "how far a flow is, or all of them", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		key := strings.Join(args, "")
		return c.flow(func(a claims.Answer) error {
			out := cmd.OutOrStdout()
			if c.json {
				return json.NewEncoder(out).Encode(a)
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "flow\ttemplate\tstate\tage\tdone\tfailed\tunknown\tskipped\tout\twhy")
			for _, v := range a.Statuses {
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%s\n", v.Key, v.Template, v.State, v.Age.Round(time.Second), v.EndCounts[0], v.EndCounts[1], v.EndCounts[2], v.EndCounts[3], v.OpenClaims, v.Reason)
			}
			if err := w.Flush(); err != nil || key == "" {
				return err
			}
			return steps(out, a.Statuses[0].Steps)
		}, claims.Command{Query: &claims.StatusQuery{Workflow: key}})
	}}
}

func steps(out io.Writer, all []claims.StepStatus) error {
	if len(all) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "step\titems\tstate\tfor\tmay have run\tat\twhy")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%t\t%s\t%s\n", place(s.Name, s.Ref), strings.Join(s.ItemValues, ", "), s.State, s.InStateFor.Round(time.Second), s.PossiblyExecuted, s.ClaimedBy, s.Reason)
	}
	return w.Flush()
}

// place names a step as settle takes it: its name, and its item's place in each fan-out around it.
func place(name string, r expansion.StepRef) string {
	last := len(r.Path)
	for last > 0 && r.Path[last-1] == 0 {
		last--
	}
	var at []string
	for _, i := range r.Path[:last] {
		at = append(at, strconv.Itoa(i))
	}
	if len(at) == 0 {
		return name
	}
	return name + "[" + strings.Join(at, ",") + "]"
}

func (c *calls) flowCancel() *cobra.Command {
	var who string
	cmd := &cobra.Command{Use: "cancel KEY", Short: "begin nothing more of a flow", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return c.flow(func(claims.Answer) error {
			fmt.Fprintln(cmd.OutOrStdout(), "nothing more of it is begun; what is out is waited for")
			return nil
		}, claims.Command{Cancel: &claims.Cancellation{Workflow: args[0], RequestedBy: who}})
	}}
	cmd.Flags().StringVar(&who, "who", os.Getenv("USER"), "who asks for it")
	return cmd
}

func (c *calls) flowSettle() *cobra.Command {
	var who string
	cmd := &cobra.Command{Use: "settle KEY STEP done|failed|again", Short: "say how a step has ended that nobody knows of, or have it sent again", Args: cobra.ExactArgs(3), RunE: func(cmd *cobra.Command, args []string) error {
		as, ok := map[string]claims.Outcome{"done": claims.OutcomeDone, "failed": claims.OutcomeFailed, "again": claims.OutcomeRequeue}[args[2]]
		if !ok {
			return &coded{exitUsage, fmt.Errorf("%q: expected done, failed or again", args[2])}
		}
		var found *claims.StepStatus
		err := c.flow(func(a claims.Answer) error {
			if i := slices.IndexFunc(a.Statuses[0].Steps, func(s claims.StepStatus) bool { return place(s.Name, s.Ref) == args[1] }); i >= 0 {
				found = &a.Statuses[0].Steps[i]
				return nil
			}
			return notDone("step %q is not under way: flow show %s names those that are", args[1], args[0])
		}, claims.Command{Query: &claims.StatusQuery{Workflow: args[0]}})
		if err != nil {
			return err
		}
		return c.flow(func(claims.Answer) error {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[1], args[2])
			return nil
		}, claims.Command{Resolve: &claims.Resolution{Workflow: args[0], RequestedBy: who, Step: found.Ref, Outcome: as}})
	}}
	cmd.Flags().StringVar(&who, "who", os.Getenv("USER"), "who says so")
	return cmd
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
)

func newFlowCommand(c *cli) *cobra.Command {
	cmd := &cobra.Command{Use: "flow", Short: "workflows: submitted, shown, cancelled, settled"}
	cmd.AddCommand(newFlowSubmitCommand(c), newFlowShowCommand(c), newFlowCancelCommand(c), newFlowSettleCommand(c))
	return cmd
}

// workflow has one command on workflows committed, and returns its answer. So nothing is
// reported as done before a majority of the coordinators has it.
func (c *cli) workflow(cmd claims.Command) (answer claims.Answer, err error) {
	err = c.withClient(func(ctx context.Context, client *transport.Client) error {
		r, err := submit(ctx, client, statemachine.Command{Workflow: &cmd})
		if err != nil {
			return err
		}
		if r.Workflow == nil {
			return notDone("the keepers are of an older program: they know no workflows")
		}
		answer = *r.Workflow
		return nil
	})
	return answer, err
}

// inputFlags are the inputs of a workflow as the command line gives them, each NAME=TEXT.
type inputFlags struct{ lists, counts, moments []string }

func (f *inputFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringArrayVar(&f.lists, "input", nil, "NAME=a,b,c or NAME=@FILE, an item a line: the items of a fan-out")
	cmd.Flags().StringArrayVar(&f.counts, "count", nil, "NAME=N: a fan-out over so many numbers, from 0")
	cmd.Flags().StringArrayVar(&f.moments, "moment", nil, "NAME=1h or NAME=2026-12-24T08:00:00Z: what steps wait for")
}

// apply adds the inputs to a submission.
func (f *inputFlags) apply(s *claims.Submission) error {
	return errors.Join(
		parsePairs(f.lists, func(name, text string) error {
			items, err := parseItems(text)
			s.Inputs[name] = expansion.Input{Items: items}
			return err
		}),
		parsePairs(f.counts, func(name, text string) error {
			n, err := strconv.Atoi(text)
			s.Inputs[name] = expansion.Input{Count: n}
			return err
		}),
		parsePairs(f.moments, func(name, text string) error {
			d, err := parseMoment(text)
			s.Moments[name] = d
			return err
		}))
}

func newFlowSubmitCommand(c *cli) *cobra.Command {
	var key, submitter string
	var inputs inputFlags
	cmd := &cobra.Command{
		Use:   "submit TEMPLATE",
		Short: "have a workflow begin; by the same key asked twice it is asked once",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s := &claims.Submission{Key: key, Template: args[0], Submitter: submitter, Inputs: map[string]expansion.Input{}, Moments: map[string]time.Duration{}}
			if err := inputs.apply(s); err != nil {
				return &exitError{exitUsage, err}
			}
			answer, err := c.workflow(claims.Command{Submit: s})
			if err != nil {
				return err
			}
			result := "submitted"
			if answer.AlreadySubmitted {
				result = "was submitted before"
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", key, result)
			return nil
		},
	}
	cmd.Flags().StringVar(&key, "key", "", "the flow's name, chosen by who submits it")
	cmd.Flags().StringVar(&submitter, "who", os.Getenv("USER"), "who asks for it")
	inputs.register(cmd)
	mustRequire(cmd, "key")
	return cmd
}

// parsePairs calls f with the parts of each NAME=TEXT.
func parsePairs(words []string, f func(name, text string) error) error {
	for _, w := range words {
		name, text, ok := strings.Cut(w, "=")
		if !ok || name == "" {
			return fmt.Errorf("%q: expected NAME=...", w) //nolint:staticcheck,revive // ST1005, error-strings: the dots stand for a value
		}
		if err := f(name, text); err != nil {
			return fmt.Errorf("%s: %w", w, err)
		}
	}
	return nil
}

// parseItems reads items between commas, or with @ before it a file of one a line.
func parseItems(text string) ([]string, error) {
	file, ok := strings.CutPrefix(text, "@")
	if !ok {
		return strings.Split(text, ","), nil
	}
	b, err := os.ReadFile(file)
	return strings.Split(strings.TrimSpace(string(b)), "\n"), err
}

// parseMoment reads a duration from now, or a time (RFC 3339), and returns how long it is
// until then.
func parseMoment(text string) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return time.Until(at), err
}

func newFlowShowCommand(c *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "show [KEY]",
		Short: "how far a flow is, or all of them",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key := strings.Join(args, "") // empty: all
			answer, err := c.workflow(claims.Command{Query: &claims.StatusQuery{Workflow: key}})
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if c.json {
				return writeJSON(out, answer)
			}
			if err := printWorkflows(out, answer.Statuses); err != nil || key == "" {
				return err
			}
			return printSteps(out, answer.Statuses[0].Steps)
		},
	}
}

func printWorkflows(out io.Writer, statuses []claims.WorkflowStatus) error {
	w := newTable(out)
	fmt.Fprintln(w, "flow\ttemplate\tstate\tage\tdone\tfailed\tunknown\tskipped\tout\twhy")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Key, s.Template, s.State, s.Age.Round(time.Second),
			s.EndCounts[0], s.EndCounts[1], s.EndCounts[2], s.EndCounts[3], s.OpenClaims, s.Reason)
	}
	return w.Flush()
}

func printSteps(out io.Writer, steps []claims.StepStatus) error {
	if len(steps) == 0 {
		return nil
	}
	w := newTable(out)
	fmt.Fprintln(w, "step\titems\tstate\tfor\tmay have run\tat\twhy")
	for _, s := range steps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%t\t%s\t%s\n", stepName(s), strings.Join(s.ItemValues, ", "), s.State, s.InStateFor.Round(time.Second), s.PossiblyExecuted, s.ClaimedBy, s.Reason)
	}
	return w.Flush()
}

// stepName names a step as settle takes it: its name, and the index of its item in each
// fan-out around it, without the zeros at the end.
func stepName(s claims.StepStatus) string {
	path := s.Ref.Path
	last := len(path)
	for last > 0 && path[last-1] == 0 {
		last--
	}
	if last == 0 {
		return s.Name
	}
	var indices []string
	for _, i := range path[:last] {
		indices = append(indices, strconv.Itoa(i))
	}
	return s.Name + "[" + strings.Join(indices, ",") + "]"
}

func newFlowCancelCommand(c *cli) *cobra.Command {
	var requestedBy string
	cmd := &cobra.Command{
		Use:   "cancel KEY",
		Short: "begin nothing more of a flow",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := c.workflow(claims.Command{Cancel: &claims.Cancellation{Workflow: args[0], RequestedBy: requestedBy}}); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "nothing more of it is begun; what is out is waited for")
			return nil
		},
	}
	cmd.Flags().StringVar(&requestedBy, "who", os.Getenv("USER"), "who asks for it")
	return cmd
}

// outcomes are the outcomes that staff may settle a step with.
var outcomes = map[string]claims.Outcome{"done": claims.OutcomeDone, "failed": claims.OutcomeFailed, "again": claims.OutcomeRequeue}

func newFlowSettleCommand(c *cli) *cobra.Command {
	var requestedBy string
	cmd := &cobra.Command{
		Use:   "settle KEY STEP done|failed|again",
		Short: "say how a step has ended that nobody knows of, or have it sent again",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, step, text := args[0], args[1], args[2]
			outcome, ok := outcomes[text]
			if !ok {
				return usageError("%q: expected done, failed or again", text)
			}
			ref, err := c.findStep(key, step)
			if err != nil {
				return err
			}
			if _, err := c.workflow(claims.Command{Resolve: &claims.Resolution{Workflow: key, RequestedBy: requestedBy, Step: ref, Outcome: outcome}}); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", step, text)
			return nil
		},
	}
	cmd.Flags().StringVar(&requestedBy, "who", os.Getenv("USER"), "who says so")
	return cmd
}

// findStep finds a step of a workflow that is under way, by the name that show prints.
func (c *cli) findStep(key, name string) (expansion.StepRef, error) {
	answer, err := c.workflow(claims.Command{Query: &claims.StatusQuery{Workflow: key}})
	if err != nil {
		return expansion.StepRef{}, err
	}
	steps := answer.Statuses[0].Steps
	i := slices.IndexFunc(steps, func(s claims.StepStatus) bool { return stepName(s) == name })
	if i < 0 {
		return expansion.StepRef{}, notDone("step %q is not under way: flow show %s names those that are", name, key)
	}
	return steps[i].Ref, nil
}

package harness

// This file owns what scenarios of workflows share: a policy with templates, submissions, and what
// must hold of every step by what the workers have seen. It must never look into a dispatcher.

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
)

// course is a reading list: a loan a title, never twice; then its package; then one collection.
const course = `
[[flow]]
name = "course"
tenant = "univ-vltava"
most = %d
[[flow.step]]
name = "loan"
class = "issue-loan"
each = "titles"
on_unknown = "pass"
on_failed = "pass"
[[flow.step]]
name = "package"
class = "package-file"
each = "titles"
needs = ["loan"]
on_failed = "pass"
on_unknown = "pass"
[[flow.step]]
name = "collect"
class = "package-file"
needs = ["package"]
when = "any"
`

// Flow has a command on workflows carried out.
func (r *Rig) Flow(c claims.Command) (a claims.Answer, err error) {
	ctx, stop := context.WithTimeout(context.Background(), Patience)
	defer stop()
	err = transport.Retry(ctx, func(ctx context.Context) error {
		res, err := r.Client.Do(ctx, statemachine.Command{Workflow: &c})
		switch {
		case err != nil:
			return err
		case res.Workflow == nil:
			return errors.New(res.Err)
		}
		a = *res.Workflow
		return nil
	})
	return a, err
}

// Submit submits a flow over so many titles.
func (r *Rig) Submit(key, template string, titles int) error {
	_, err := r.Flow(claims.Command{Submit: &claims.Submission{Key: key, Template: template, Inputs: map[string]expansion.Input{"titles": {Count: titles}}, Submitter: "rig"}})
	return err
}

// View is how far a flow is.
func (r *Rig) View(key string) (claims.WorkflowStatus, error) {
	a, err := r.Flow(claims.Command{Query: &claims.StatusQuery{Workflow: key}})
	if err != nil || len(a.Statuses) != 1 {
		return claims.WorkflowStatus{}, errors.Join(err, fmt.Errorf("%d views of %s", len(a.Statuses), key))
	}
	return a.Statuses[0], nil
}

// Ends waits until a flow has come to a state.
func (r *Rig) Ends(key string, states ...string) (v claims.WorkflowStatus, err error) {
	limit := time.Now().Add(3 * Patience)
	for {
		if v, err = r.View(key); err == nil {
			for _, s := range states {
				if v.State == s {
					return v, nil
				}
			}
		}
		if time.Now().After(limit) {
			return v, fmt.Errorf("flow %s is never %v: %+v, %w", key, states, v, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Sent counts, by step, how often the workers were sent it, of those whose names begin so.
func (r *Rig) Sent(prefix string) map[string]int {
	out := map[string]int{}
	for _, w := range r.Workers {
		for _, a := range w.Arrivals() {
			if step, _, ok := strings.Cut(a.ID, "#"); ok && strings.HasPrefix(step, prefix) {
				out[step]++
			}
		}
	}
	return out
}

// CellsOf are the cells whose workers were sent a step, by step, of those whose names begin so.
func (r *Rig) CellsOf(prefix string) map[string]map[int]bool {
	out := map[string]map[int]bool{}
	for i, w := range r.Workers {
		for _, a := range w.Arrivals() {
			if step, _, ok := strings.Cut(a.ID, "#"); ok && strings.HasPrefix(step, prefix) {
				if out[step] == nil {
					out[step] = map[int]bool{}
				}
				out[step][i%max(r.Cells, 1)] = true
			}
		}
	}
	return out
}

// checkSentSoundly checks of a course that no loan was sent twice, and no package to two cells.
func checkSentSoundly(t T, r *Rig, flow string) {
	t.Helper()
	countSentOnce(t, r, flow, "loan")
	for step, cells := range r.CellsOf(flow + "/package") {
		if len(cells) > 1 {
			t.Errorf("%s was sent to cells %v", step, cells)
		}
	}
}

// countSentOnce checks that no step of a kind was sent twice, and counts those sent.
func countSentOnce(t T, r *Rig, flow, step string) int {
	t.Helper()
	sent := r.Sent(flow + "/" + step)
	for name, n := range sent {
		if n > 1 {
			t.Errorf("%s was sent %d times", name, n)
		}
	}
	return len(sent)
}

// inForce has a policy put in force.
func inForce(t T, r *Rig, id, text string, base uint64) {
	t.Helper()
	check(t, r.Propose(id, text, base, false))
	awaitStage(t, r, id, statemachine.InForce)
}

// awaitSent waits until so many steps were sent whose names begin with a prefix.
func awaitSent(t T, r *Rig, prefix string, n int) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%d of %s are sent", n, prefix), func() bool { return len(r.Sent(prefix)) >= n }))
}

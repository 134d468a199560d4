package policy

// This file owns workflows and pools as the document has them. It must never say whether a flow's
// classes are those of the settings: the dispatchers, who have them, do.

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/fleet/workflow/template"
)

// Workflow is one template of workflows.
type Workflow struct {
	Name               string   `toml:"name"`
	Tenant             string   `toml:"tenant,omitempty"`
	Team               string   `toml:"team,omitempty"`
	TargetDuration     Duration `toml:"wanted,omitempty"`
	MaxConcurrentItems int      `toml:"most,omitempty"`
	MaxFanOut          int      `toml:"fan,omitempty"`
	MaxDispatcherShare float64  `toml:"share,omitempty"`
	Steps              []Step   `toml:"step"`
}

// Step is one of its steps.
type Step struct {
	Name        string   `toml:"name"`
	Class       string   `toml:"class"`
	Pool        string   `toml:"pool,omitempty"`
	Needs       []string `toml:"needs,omitempty"`
	ForEach     string   `toml:"each,omitempty"`
	When        string   `toml:"when,omitempty"` // "done", "failed" or "any"
	NotBefore   Duration `toml:"not_before,omitempty"`
	At          string   `toml:"at,omitempty"`
	TypicalRun  Duration `toml:"runs,omitempty"`
	MaxAttempts int      `toml:"tries,omitempty"`
	OnFailed    string   `toml:"on_failed,omitempty"`  // "stop", "hold", "pass", "go STEP" or "undo STEP"; "stop" where nothing is said
	OnUnknown   string   `toml:"on_unknown,omitempty"` // likewise; "hold" where nothing is said
}

// maxFlows is how many templates a document may have.
const maxFlows = 1000

// Templates are the document's templates, as the keepers go by them.
func (d *Document) Templates() []template.Template {
	all, _ := d.flows("") // checked when it was read
	return all
}

// PoolNames are the names of the document's pools.
func (d *Document) PoolNames() (out []string) {
	for _, p := range d.Pools {
		out = append(out, p.Name)
	}
	return out
}

// flows are the templates, or what is wrong with them, each with its line where the text has it.
func (d *Document) flows(text string) ([]template.Template, error) {
	var all []error
	if len(d.Workflows) > maxFlows {
		all = append(all, fmt.Errorf("flow: %d of them; expected %d at most", len(d.Workflows), maxFlows))
	}
	if err := pool.Validate(d.Pools); err != nil {
		all = append(all, err)
	}
	var out []template.Template
	for i, f := range d.Workflows {
		t := template.Template{Name: f.Name, Tenant: f.Tenant, Team: f.Team, TargetMakespan: time.Duration(f.TargetDuration), MaxLiveItems: f.MaxConcurrentItems, MaxFanOut: f.MaxFanOut, DispatcherShare: f.MaxDispatcherShare}
		wrong := func(step int, key, what, expected string) {
			e := &template.Error{Template: f.Name, StepIndex: step, Key: key, Problem: what, Expected: expected}
			if step >= 0 {
				e.StepName = f.Steps[step].Name
			}
			all = append(all, at(text, i, step, e))
		}
		sound := len(all)
		if slices.ContainsFunc(d.Workflows[:i], func(o Workflow) bool { return o.Name == f.Name }) {
			wrong(-1, "name", fmt.Sprintf("%q", f.Name), "a name that no other flow has")
		}
		for j, s := range f.Steps {
			one := template.Step{Name: s.Name, Class: s.Class, Pool: s.Pool, Needs: s.Needs, FanOutOver: s.ForEach, StartDelay: time.Duration(s.NotBefore), StartMoment: s.At,
				TypicalDuration: time.Duration(s.TypicalRun), MaxAttempts: s.MaxAttempts}
			var ok bool
			if one.Trigger, ok = whens[s.When]; !ok {
				wrong(j, "when", fmt.Sprintf("%q", s.When), `"done", "failed" or "any"`)
			}
			if one.OnFailed, ok = reaction(s.OnFailed, template.FailWorkflow); !ok {
				wrong(j, "on_failed", fmt.Sprintf("%q", s.OnFailed), reactions)
			}
			if one.OnUnknown, ok = reaction(s.OnUnknown, template.HoldForOperator); !ok {
				wrong(j, "on_unknown", fmt.Sprintf("%q", s.OnUnknown), reactions)
			}
			if s.Pool != "" && !slices.ContainsFunc(d.Pools, func(p pool.Pool) bool { return p.Name == s.Pool }) {
				wrong(j, "pool", fmt.Sprintf("%q", s.Pool), "a pool of this document")
			}
			t.Steps = append(t.Steps, one)
		}
		if len(all) > sound {
			continue
		}
		if _, err := graph.Compile(t); err != nil {
			var e *template.Error
			if errors.As(err, &e) {
				err = at(text, i, e.StepIndex, e)
			}
			all = append(all, err)
		}
		out = append(out, t)
	}
	return out, errors.Join(all...)
}

var whens = map[string]template.TriggerRule{"": template.AllDone, "done": template.AllDone, "failed": template.AnyNotDone, "any": template.AllEnded}

const reactions = `"stop", "hold", "pass", "go STEP" or "undo STEP"`

// reaction reads what becomes of a flow.
func reaction(text string, none template.Action) (template.Reaction, bool) {
	word, step, named := strings.Cut(text, " ")
	act, ok := map[string]template.Action{"": none, "stop": template.FailWorkflow, "hold": template.HoldForOperator, "pass": template.Continue, "go": template.RunAlternative, "undo": template.Compensate}[word]
	return template.Reaction{Action: act, Step: step}, ok && named == (act == template.RunAlternative || act == template.Compensate)
}

// at adds the line at which a flow, or a step of it, begins in a document's text.
func at(text string, flow, step int, err error) error {
	n, m := -1, -1
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		switch strings.ReplaceAll(strings.TrimSpace(line), " ", "") {
		case "[[flow]]":
			n, m = n+1, -1
		case "[[flow.step]]":
			m++
		default:
			continue
		}
		if n == flow && m == step {
			return fmt.Errorf("%d: %w", i+1, err)
		}
	}
	return err
}

package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/pool"
	"yardflow/internal/workflow/template"
)

// Workflow is a template of workflows. Whether its classes are those of the settings is for the dispatchers to say, which
// have the settings.
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

// Step is one step of a workflow.
type Step struct {
	Name        string   `toml:"name"`
	Class       string   `toml:"class"`
	Pool        string   `toml:"pool,omitempty"`
	Needs       []string `toml:"needs,omitempty"`
	ForEach     string   `toml:"each,omitempty"`
	When        string   `toml:"when,omitempty"` // "done", "failed" or "any"; empty: "done"
	NotBefore   Duration `toml:"not_before,omitempty"`
	At          string   `toml:"at,omitempty"`
	TypicalRun  Duration `toml:"runs,omitempty"`
	MaxAttempts int      `toml:"tries,omitempty"`
	OnFailed    string   `toml:"on_failed,omitempty"`  // "stop", "hold", "pass", "go STEP" or "undo STEP"; empty: "stop"
	OnUnknown   string   `toml:"on_unknown,omitempty"` // likewise; empty: "hold"
}

// Templates are the document's workflows as the coordinators run them; nil where it has none.
func (d *Document) Templates() []template.Template {
	all, _ := d.templates("") // a document that was parsed has no problems
	return all
}

// PoolNames are the names of the document's pools.
func (d *Document) PoolNames() (names []string) {
	for _, p := range d.Pools {
		names = append(names, p.Name)
	}
	return names
}

// templates are the document's workflows. Its error joins all problems, each with its line in the text.
func (d *Document) templates(text string) (templates []template.Template, err error) {
	var all problems
	if len(d.Workflows) > maxWorkflows {
		all.add("flow: %d of them; expected %d at most", len(d.Workflows), maxWorkflows)
	}
	if err := pool.Validate(d.Pools); err != nil {
		all = append(all, err)
	}
	for i := range d.Workflows {
		reader := workflowReader{document: d, index: i, text: text}
		t := reader.read()
		if len(reader.problems) > 0 {
			all = append(all, reader.problems...)
			continue
		}
		if _, err := graph.Compile(t); err != nil {
			var e *template.Error
			if errors.As(err, &e) {
				err = withLine(text, i, e.StepIndex, e)
			}
			all = append(all, err)
		}
		templates = append(templates, t)
	}
	return templates, errors.Join(all...)
}

// wholeWorkflow stands for a step's index where a problem is the workflow's own.
const wholeWorkflow = -1

// workflowReader reads one workflow of a document into a template.
type workflowReader struct {
	document *Document
	index    int // of the workflow
	text     string
	problems problems
}

// reject notes a problem with a step's key, or, under wholeWorkflow, with the workflow's.
func (r *workflowReader) reject(step int, key, got, expected string) {
	w := r.document.Workflows[r.index]
	e := &template.Error{Template: w.Name, StepIndex: step, Key: key, Problem: got, Expected: expected}
	if step != wholeWorkflow {
		e.StepName = w.Steps[step].Name
	}
	r.problems = append(r.problems, withLine(r.text, r.index, step, e))
}

func (r *workflowReader) read() template.Template {
	w := r.document.Workflows[r.index]
	earlier := r.document.Workflows[:r.index]
	if slices.ContainsFunc(earlier, func(o Workflow) bool { return o.Name == w.Name }) {
		r.reject(wholeWorkflow, "name", fmt.Sprintf("%q", w.Name), "a name that no other flow has")
	}
	t := template.Template{Name: w.Name, Tenant: w.Tenant, Team: w.Team, TargetMakespan: time.Duration(w.TargetDuration),
		MaxLiveItems: w.MaxConcurrentItems, MaxFanOut: w.MaxFanOut, DispatcherShare: w.MaxDispatcherShare}
	for i := range w.Steps {
		t.Steps = append(t.Steps, r.readStep(i))
	}
	return t
}

func (r *workflowReader) readStep(i int) template.Step {
	stated := r.document.Workflows[r.index].Steps[i]
	step := template.Step{Name: stated.Name, Class: stated.Class, Pool: stated.Pool, Needs: stated.Needs, FanOutOver: stated.ForEach,
		StartDelay: time.Duration(stated.NotBefore), StartMoment: stated.At, TypicalDuration: time.Duration(stated.TypicalRun), MaxAttempts: stated.MaxAttempts}
	var ok bool
	if step.Trigger, ok = triggers[stated.When]; !ok {
		r.reject(i, "when", fmt.Sprintf("%q", stated.When), `"done", "failed" or "any"`)
	}
	if step.OnFailed, ok = parseReaction(stated.OnFailed, template.FailWorkflow); !ok {
		r.reject(i, "on_failed", fmt.Sprintf("%q", stated.OnFailed), reactions)
	}
	if step.OnUnknown, ok = parseReaction(stated.OnUnknown, template.HoldForOperator); !ok {
		r.reject(i, "on_unknown", fmt.Sprintf("%q", stated.OnUnknown), reactions)
	}
	if stated.Pool != "" && !slices.ContainsFunc(r.document.Pools, func(p pool.Pool) bool { return p.Name == stated.Pool }) {
		r.reject(i, "pool", fmt.Sprintf("%q", stated.Pool), "a pool of this document")
	}
	return step
}

// triggers are the values of when.
var triggers = map[string]template.TriggerRule{"": template.AllDone, "done": template.AllDone, "failed": template.AnyNotDone, "any": template.AllEnded}

// reactions says which values on_failed and on_unknown may have.
const reactions = `"stop", "hold", "pass", "go STEP" or "undo STEP"`

// parseReaction reads a value of on_failed or on_unknown.
func parseReaction(text string, unstated template.Action) (template.Reaction, bool) {
	word, step, hasStep := strings.Cut(text, " ")
	action, known := map[string]template.Action{"": unstated, "stop": template.FailWorkflow, "hold": template.HoldForOperator, "pass": template.Continue,
		"go": template.RunAlternative, "undo": template.Compensate}[word]
	needsStep := action == template.RunAlternative || action == template.Compensate
	return template.Reaction{Action: action, Step: step}, known && hasStep == needsStep
}

// withLine puts the line at which a workflow, or a step of it, begins in a document's text before an error; without a
// text, or where it does not stand there as a table, it returns the error as it is.
func withLine(text string, workflow, step int, err error) error {
	atWorkflow, atStep := -1, wholeWorkflow
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		switch strings.ReplaceAll(strings.TrimSpace(line), " ", "") {
		case "[[flow]]":
			atWorkflow, atStep = atWorkflow+1, wholeWorkflow
		case "[[flow.step]]":
			atStep++
		default:
			continue
		}
		if atWorkflow == workflow && atStep == step {
			return fmt.Errorf("%d: %w", i+1, err)
		}
	}
	return err
}

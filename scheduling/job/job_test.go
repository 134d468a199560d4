package job

import "testing"

func TestRequestValidation(t *testing.T) {
	valid := func(change func(*Request)) bool {
		request := Request{Spec: "s", Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
		change(&request)
		return request.Valid()
	}
	if !valid(func(*Request) {}) || !valid(func(r *Request) { r.Repeat = maxRepetitions }) {
		t.Error("valid request is rejected")
	}
	for name, change := range map[string]func(*Request){
		"no steps":                        func(r *Request) { r.Steps = nil },
		"step without tasks":              func(r *Request) { r.Steps[0].Count = 0 },
		"more tasks than the limit":       func(r *Request) { r.Steps[0].Count = maxTasks },
		"step depends on itself":          func(r *Request) { r.Steps[1].DependsOn = []int{1} },
		"step depends on step -1":         func(r *Request) { r.Steps[1].DependsOn = []int{-1} },
		"negative demand":                 func(r *Request) { r.Steps[0].CPU = -1 },
		"negative estimate":               func(r *Request) { r.Steps[0].EstimateMs = -1 },
		"more repetitions than the limit": func(r *Request) { r.Repeat = maxRepetitions + 1 },
		"negative number of repetitions":  func(r *Request) { r.Repeat = -1 },
		"spec beyond the limit":           func(r *Request) { r.Spec = string(make([]byte, MaxSpecBytes+1)) },
	} {
		if valid(change) {
			t.Errorf("%s: request is accepted as valid", name)
		}
	}
}

func TestDependenciesAreWithinOneRepetition(t *testing.T) {
	j := &Job{Request: Request{Repeat: 2, Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}}
	second := StepKey{Repetition: 1, Step: 1}
	j.MarkDone(TaskKey{Repetition: 1, Index: 0})
	j.MarkDone(TaskKey{Repetition: 1, Index: 0}) // a duplicate
	j.MarkDone(TaskKey{Repetition: 0, Index: 1})
	if j.DependenciesDone(second) {
		t.Error("dependencies count as done with one of two tasks done in the repetition")
	}
	j.MarkDone(TaskKey{Repetition: 1, Index: 1})
	if !j.DependenciesDone(second) || j.DependenciesDone(StepKey{Step: 1}) {
		t.Error("dependencies must be done in repetition 1 and not in repetition 0")
	}
}

package job

import "testing"

func TestRequestValidation(t *testing.T) {
	valid := func(change func(*Request)) bool {
		request := Request{Spec: "s", Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
		change(&request)
		return request.Valid()
	}
	if !valid(func(*Request) {}) || !valid(func(r *Request) { r.Repeat = maxRepetitions }) {
		t.Error("a plain job counts as invalid")
	}
	for name, change := range map[string]func(*Request){
		"no steps":                        func(r *Request) { r.Steps = nil },
		"a step without tasks":            func(r *Request) { r.Steps[0].Count = 0 },
		"too many tasks":                  func(r *Request) { r.Steps[0].Count = maxTasks },
		"depends on itself":               func(r *Request) { r.Steps[1].DependsOn = []int{1} },
		"depends on a step below 0":       func(r *Request) { r.Steps[1].DependsOn = []int{-1} },
		"a negative demand":               func(r *Request) { r.Steps[0].CPU = -1 },
		"estimate below 0":                func(r *Request) { r.Steps[0].EstimateMs = -1 },
		"more repetitions than the limit": func(r *Request) { r.Repeat = maxRepetitions + 1 },
		"repetitions below 0":             func(r *Request) { r.Repeat = -1 },
		"a spec beyond the limit":         func(r *Request) { r.Spec = string(make([]byte, MaxSpecBytes+1)) },
	} {
		if valid(change) {
			t.Errorf("%s: counts as valid", name)
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
		t.Error("a step is ready with one task of two done in its repetition")
	}
	j.MarkDone(TaskKey{Repetition: 1, Index: 1})
	if !j.DependenciesDone(second) || j.DependenciesDone(StepKey{Step: 1}) {
		t.Error("repetitions of a job share their progress")
	}
}

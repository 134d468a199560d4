package job

import (
	"encoding/json"
	"testing"
)

// FuzzRequest decodes arbitrary bodies: every step of a valid request can be visited, and its size is within the limits.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"Spec":"s","Steps":[{"Count":2,"Cpu":500},{"Count":1,"DependsOn":[0],"Gang":true}],"Repeat":3,"FirstRunMs":9,"IntervalMs":5}`))
	f.Add([]byte(`{"Steps":[{"Count":9223372036854775807},{"Count":1,"DependsOn":[-1]}]}`))
	f.Add([]byte(`{"Steps":[{"Count":1,"DependsOn":[0]}],"Repeat":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request := Request{}
		if json.Unmarshal(body, &request) != nil || !request.Valid() {
			return
		}
		tasks := 0
		for i := range request.Steps {
			tasks += request.Steps[i].Count
		}
		if tasks > maxTasks || len(request.Steps) > maxSteps || len(request.Spec) > MaxSpecBytes {
			t.Fatalf("%d tasks in %d steps pass as valid", tasks, len(request.Steps))
		}
		j := &Job{ID: "0123456789abcdef", Request: request}
		for step := range request.Steps {
			key := TaskKey{Step: step, Index: request.Steps[step].Count - 1}
			if !j.HasTask(key) {
				t.Fatalf("%v is no task of the job", key)
			}
			j.DependenciesDone(StepKey{Step: step})
			j.MarkDone(key)
		}
		request.DueMs(request.Repetitions() - 1)
	})
}

// FuzzName parses arbitrary names of tasks: a name that parses is written the same way again.
func FuzzName(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("...")
	f.Add("a.-1.0.0")
	f.Fuzz(func(t *testing.T, name string) {
		id, key, ok := ParseTaskName(name)
		if !ok {
			return
		}
		again, same, ok := ParseTaskName(key.Name(id))
		if !ok || again != id || same != key {
			t.Fatalf("%q becomes %q %v", name, again, same)
		}
	})
}

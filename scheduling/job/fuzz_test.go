package job

import (
	"encoding/json"
	"testing"
)

// FuzzRequest decodes arbitrary request bodies. A request that Valid accepts must be within the limits, and the methods of a
// job with this request must work for all of its steps.
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
			t.Fatalf("request with %d tasks in %d steps exceeds a limit but is accepted as valid", tasks, len(request.Steps))
		}
		j := &Job{ID: "0123456789abcdef", Request: request}
		for step := range request.Steps {
			key := TaskKey{Step: step, Index: request.Steps[step].Count - 1}
			if !j.HasTask(key) {
				t.Fatalf("HasTask(%v) is false for a task of the job", key)
			}
			j.DependenciesDone(StepKey{Step: step})
			j.MarkDone(key)
		}
		request.DueMs(request.Repetitions() - 1)
	})
}

// FuzzName parses arbitrary task names. A name that parses must still have the same ID and key after formatting and parsing
// it again.
func FuzzName(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("...")
	f.Add("a.-1.0.0")
	f.Fuzz(func(t *testing.T, name string) {
		id, key, ok := ParseTaskName(name)
		if !ok {
			return
		}
		idAgain, keyAgain, ok := ParseTaskName(key.Name(id))
		if !ok || idAgain != id || keyAgain != key {
			t.Fatalf("%q becomes ID %q and key %v after a round trip", name, idAgain, keyAgain)
		}
	})
}

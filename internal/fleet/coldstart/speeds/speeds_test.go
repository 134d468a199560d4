package speeds

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// What modules have learned is merged by evidence for one that has learned nothing; what can't be a figure is left out.
func TestEstimatesMergeByEvidence(t *testing.T) {
	first := Decode([]byte(`{"Version":1,"MeanRun":-1,"Kinds":[{"Slow":0.5,"Seen":30,"Slots":2}],"Classes":{"loan":[-1.2,30]}}`))
	second := Decode([]byte(`{"Version":1,"MeanRun":-2,"Kinds":[{"Slow":0.1,"Seen":10,"Slots":3}],"Classes":{"loan":[-0.8,10]}}`))
	if first == nil || second == nil {
		t.Fatal("logarithms below 0 are figures")
	}
	var merged Estimates
	merged.Merge(first)
	merged.Merge(second)
	if math.Abs(merged.MeanLogRunTime+1.25) > 1e-9 || math.Abs(merged.Kinds[0].LogSlowdown-0.4) > 1e-9 || merged.Kinds[0].Slots != 3 || math.Abs(merged.Classes["loan"][0]+1.1) > 1e-9 {
		t.Errorf("merged %+v", merged)
	}
	merged.Merge(&Estimates{Version: 1, MeanLogRunTime: math.NaN(), JobCount: 5})
	merged.Merge(&Estimates{Version: 2, MeanLogRunTime: 3, JobCount: 5})
	if math.Abs(merged.MeanLogRunTime+1.25) > 1e-9 {
		t.Errorf("no figure, or another version's, is merged: %v", merged.MeanLogRunTime)
	}
	var memory struct{ Speeds bool }
	if json.Unmarshal(merged.Encode(), &memory) != nil || !memory.Speeds {
		t.Error("the module is not told that it holds estimates alone")
	}
	for _, bad := range []string{"", "{}", `{"Version":1,"MeanRun":1e30,"Classes":{"a":[1,1]}}`, `{"Version":1,"Classes":{"a":[1,-1]}}`} {
		if Decode([]byte(bad)) != nil {
			t.Errorf("%s is accepted as estimates", bad)
		}
	}
}

// The same memory gives the same figures to the last bit: the coordinators' states have to be equal.
func TestDecodeGivesTheSameFiguresEachTime(t *testing.T) {
	classes := map[string][2]float64{}
	for i := range 40 {
		classes[fmt.Sprint("class-", i)] = [2]float64{0, 0.1 + 1e-9*math.Pow(3, float64(i%17))}
	}
	memory, err := json.Marshal(map[string]any{"Version": 1, "MeanRun": -1, "Classes": classes})
	if err != nil {
		t.Fatal(err)
	}
	first := Decode(memory)
	for range 50 {
		if again := Decode(memory); again.JobCount != first.JobCount {
			t.Fatalf("%v jobs, then %v", first.JobCount, again.JobCount)
		}
	}
}

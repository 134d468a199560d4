package speeds

import (
	"encoding/json"
	"math"
	"testing"
)

// What modules have learned goes by way of the fleet's to one that knows nothing, weighed by
// evidence; what can't be a figure is left out.
func TestSpeedsGoByEvidence(t *testing.T) {
	one := Decode([]byte(`{"Version":1,"MeanRun":-1,"Kinds":[{"Slow":0.5,"Seen":30,"Slots":2}],"Classes":{"loan":[-1.2,30]}}`))
	two := Decode([]byte(`{"Version":1,"MeanRun":-2,"Kinds":[{"Slow":0.1,"Seen":10,"Slots":3}],"Classes":{"loan":[-0.8,10]}}`))
	if one == nil || two == nil {
		t.Fatal("logarithms below 0 are figures")
	}
	var s Estimates
	s.Merge(one)
	s.Merge(two)
	if math.Abs(s.MeanLogRunTime+1.25) > 1e-9 || math.Abs(s.Kinds[0].LogSlowdown-0.4) > 1e-9 || s.Kinds[0].Slots != 3 || math.Abs(s.Classes["loan"][0]+1.1) > 1e-9 {
		t.Errorf("merged %+v", s)
	}
	s.Merge(&Estimates{Version: 1, MeanLogRunTime: math.NaN(), JobCount: 5})
	s.Merge(&Estimates{Version: 2, MeanLogRunTime: 3, JobCount: 5})
	if math.Abs(s.MeanLogRunTime+1.25) > 1e-9 {
		t.Errorf("no figure, or another version's, is taken in: %v", s.MeanLogRunTime)
	}
	var words struct{ Speeds bool }
	if json.Unmarshal(s.Encode(), &words) != nil || !words.Speeds {
		t.Error("the module is not told that it is speeds alone")
	}
	for _, bad := range []string{"", "{}", `{"Version":1,"MeanRun":1e30,"Classes":{"a":[1,1]}}`, `{"Version":1,"Classes":{"a":[1,-1]}}`} {
		if Decode([]byte(bad)) != nil {
			t.Errorf("%s is taken for speeds", bad)
		}
	}
}

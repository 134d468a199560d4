package speeds

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The golden file was written at b99a1ea: it is read by the decision module of another version.
func TestEncodingOfSpeedsDoesNotChange(t *testing.T) {
	speeds := Estimates{Version: 1, MeanLogRunTime: 0.5, JobCount: 12, Kinds: []Kind{{LogSlowdown: 0.25, JobCount: 4, Slots: 2}}, Classes: map[string][2]float64{"loan": {1.5, 12}}}
	text := speeds.Encode()
	goldie.New(t).Assert(t, "speeds", text)
	if got := Decode(text); got == nil || got.JobCount != 12 || got.Kinds[0] != speeds.Kinds[0] {
		t.Errorf("the figures are read as %+v", got)
	}
}
